// The relay program: one for all machines. Flags, settings, ports, and an
// orderly end on SIGTERM within the five seconds the platform leaves.
#include <gflags/gflags.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "base/log.hpp"
#include "control_api/control.hpp"
#include "platform/face.hpp"
#include "platform/gate.hpp"
#include "relay/reread.hpp"
#include "relay/socket_budget.hpp"
#include "software/stager.hpp"
#include "storage/async_disk.hpp"
#include "storage/snapshot_store.hpp"
#include "wire/http.hpp"
#include "wire/peer.hpp"

DEFINE_string(config, "", "the settings file (JSON)");
DEFINE_bool(check, false, "check the settings and stop");
DEFINE_string(name, "", "overrides /name of the settings");
DEFINE_string(zone, "", "overrides /zone of the settings");
DEFINE_string(log_level, "", "overrides /log_level of the settings");

using namespace std::chrono_literals;
namespace dw = dunlinwing;

namespace {
constexpr dw::base::Log lg("relay");
constexpr int kBadSettings = 2, kCannotStart = 3;

std::optional<dw::relay::Config> settings() {
  if (FLAGS_config.empty()) {
    std::cerr << "relay: --config names no file\n";
    return {};
  }
  std::ifstream f(FLAGS_config);
  std::stringstream b;
  b << f.rdbuf();
  if (!f) {
    std::cerr << "relay: cannot read " << FLAGS_config << "\n";
    return {};
  }
  auto g = dw::relay::read_config(b.str());
  if (auto* ds = std::get_if<std::vector<dw::base::ValidationError>>(&g)) {
    for (auto& d : *ds)
      std::cerr << "relay: " << FLAGS_config << ": " << (d.at.empty() ? "/" : d.at) << " " << d.what << "\n";
    return {};
  }
  auto c = std::get<dw::relay::Config>(g);
  if (!FLAGS_name.empty()) c.node.name = FLAGS_name;
  if (!FLAGS_zone.empty()) c.node.zone = FLAGS_zone;
  if (!FLAGS_log_level.empty()) c.log_level = FLAGS_log_level;
  dw::base::Level l;
  if (!dw::base::parse_level(c.log_level, l)) {
    std::cerr << "relay: --log_level is none of debug, info, warn, error\n";
    return {};
  }
  dw::base::set_level(l);
  return c;
}

struct App {
  dw::relay::Config c;
  dw::wire::Pool pool;
  dw::wire::RealClock clock;
  dw::wire::RealChance random;
  dw::relay::SocketBudget sockets;
  dw::wire::PeerNet net;
  dw::wire::HttpOrigin origin;
  dw::base::Ports ports{clock, random, pool, net, origin};
  std::unique_ptr<dw::storage::AsyncDisk> disk;
  std::unique_ptr<dw::relay::Node> node;
  std::unique_ptr<dw::storage::ArtifactFiles> shelf;
  std::unique_ptr<dw::storage::DiskExecutor> hand;
  std::unique_ptr<dw::software::Artifacts> artifacts;
  std::unique_ptr<dw::software::Stager> stager;
  std::unique_ptr<dw::control_api::Control> control;
  std::unique_ptr<dw::wire::HttpServer> callers, operators, readiness;
  int next = 0;
  bool ending = false;

  explicit App(dw::relay::Config cc)
      : c(std::move(cc)),
        pool(c.threads),
        sockets(dw::relay::share_sockets(c.sockets, !c.data.empty())),
        net(sockets.peers_asked),
        origin(16u << 20, sockets.upstream_idle) {}

  // Carried requests are traffic: they run on a traffic thread, not on control's.
  dw::pb::Reply answer(const dw::pb::Ask& a) {
    if (!a.has_carry()) return node->answer(a);
    if (pool.size() == 1) {
      dw::pb::Reply r;
      *r.mutable_carry() = node->carry(a.carry());
      return r;
    }
    auto condition = pool.condition();
    auto out = std::make_shared<dw::pb::Reply>();
    auto done = std::make_shared<std::atomic<bool>>(false);
    next = next + 1 < pool.size() ? next + 1 : 1;
    pool.spawn_on(next, [this, a, out, done, condition] {
      *out->mutable_carry() = node->carry(a.carry());
      *done = true;
      condition->notify();
    });
    while (!*done) condition->wait(1000ms);
    return *out;
  }

  std::optional<std::string> listen() {
    if (auto e = dw::wire::serve_peers(
            pool, c.node.peer_address, [this](auto& a) { return answer(a); }, sockets.peers_served))
      return e;
    if (c.callers.empty()) return {};
    dw::wire::HttpLimits lim;
    lim.body_bytes = 8u << 20;
    lim.bodies = c.memory_mb > 0 ? static_cast<size_t>(c.memory_mb * (1 << 20) / 4) : lim.bodies;
    lim.most = sockets.operators;
    auto calls = lim;
    calls.most = sockets.clients;
    callers = std::make_unique<dw::wire::HttpServer>(pool, "callers", calls,
                                                     [this](auto& q) { return node->serve(q); });
    dw::wire::HttpHandler product = [this](auto& q) { return control->answer(q); };
    dw::wire::HttpHandler told = product;
    if (c.face == "platform")
      told = [this, product](auto& q) { return dw::platform::answer(q, c.beat, product); };
    operators = std::make_unique<dw::wire::HttpServer>(pool, "control", lim, told);
    if (auto e = operators->listen(c.control, 0, 1)) return e;
    if (!c.readiness.empty()) {
      lim.most = sockets.readiness;
      readiness = std::make_unique<dw::wire::HttpServer>(pool, "readiness", lim, told);
      if (auto e = readiness->listen(c.readiness, 0, 1)) return e;
    }
    return callers->listen(c.callers, pool.size() > 1 ? 1 : 0, pool.size());
  }

  // The limits of callers' connections are the layout's.
  void follow_limits() {
    std::shared_ptr<const dw::traffic::Layout> seen;
    for (;; clock.sleep(c.node.bound / 8)) {
      auto l = node->traffic().table()->layout;
      if (!l || l == seen || !callers) continue;
      seen = l;
      dw::wire::HttpLimits lim;
      lim.head_bytes = static_cast<size_t>(l->head_bytes);
      lim.body_bytes = static_cast<size_t>(l->body_bytes);
      if (c.memory_mb > 0) lim.bodies = static_cast<size_t>(c.memory_mb * (1 << 20) / 4);
      lim.most = sockets.clients;
      lim.read = l->head_time;
      lim.idle = l->idle_time;
      callers->limits(lim);
    }
  }

  void software(const std::string& program) {
    hand = std::make_unique<dw::storage::DiskExecutor>(pool);
    if (!c.data.empty()) shelf = std::make_unique<dw::storage::ArtifactFiles>(c.data);
    artifacts = std::make_unique<dw::software::Artifacts>(ports, node->registers(), node->state_cache(),
                                                          c.node.name, shelf.get(), hand.get(), c.node.bound);
    node->artifacts(artifacts.get());
    dw::software::StagerPorts sp;
    sp.wanted = [this] { return node->wanted_software(); };
    sp.defect = [this](auto& why) { node->software_defect(why); };
    sp.sound = [this] {
      return node->state_cache().fresh() && (node->ready() || !node->traffic().table()->layout);
    };
    sp.crowded = [this] {
      // At most a third of the nodes may be out at once; a duty's pair goes one by one.
      size_t in = node->state_cache().statuses().members(clock.now()).size();
      auto t = node->traffic().table();
      return in * 3 < static_cast<size_t>(t->nodes) * 2;
    };
    sp.end = [this](int status) { finish(status); };
    stager = std::make_unique<dw::software::Stager>(ports, *artifacts, *hand, sp, c.releases, program,
                                                    c.node.bound);
  }

  void finish(int status) {
    if (std::exchange(ending, true)) {
      for (;;) clock.sleep(1000ms);
    }
    // The platform asks each second whether this node is ready, so callers go on
    // coming for as long; they are served until it has heard the no.
    auto grace = c.grace > 0ms ? c.grace * 4 / 5 : c.node.bound * 2;
    auto end = clock.now() + grace,
         heard = clock.now() + (c.grace > 0ms ? c.grace * 9 / 20 : c.node.bound * 5 / 8);
    lg.info("{}: asked to stop; draining.", c.node.name);
    if (callers) callers->wind_down();
    node->leave();
    if (clock.now() < heard) clock.sleep(heard - clock.now());
    node->traffic().drain();
    if (callers) callers->close();
    if (callers) callers->close_idle();
    auto busy = [this] {
      return node->traffic().running() > 0 || (callers && callers->running() > 0) ||
             node->hands_over_replica();
    };
    while (busy() && clock.now() < end) clock.sleep(10ms);
    lg.info("{}: stopped.", c.node.name);
    dw::wire::Pool::stop(status);
  }
};
}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("a node of the dunlinwing delivery network\n  relay --config FILE [--check]");
  gflags::SetVersionString(dw::kSoftware);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc > 1) {
    std::cerr << "relay: what is \"" << argv[1] << "\"? See relay --help\n";
    return kBadSettings;
  }
  auto c = settings();
  if (!c) return kBadSettings;
  if (FLAGS_check) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  App app(*c);
  if (c->node.scale > 1)
    lg.warn("{}: HOLDS ARE DIVIDED BY {}. This is for trying things out, never for real machines.",
            c->node.name, c->node.scale);
  if (!c->data.empty()) {
    auto f = dw::storage::open_folder(c->data);
    if (auto* d = std::get_if<dw::storage::OpenError>(&f)) {
      lg.error("{}: {}.", c->node.name, d->what);
      return kCannotStart;
    }
    auto s = std::make_unique<dw::storage::SnapshotStore>(std::move(std::get<0>(f)), c->log_bytes);
    app.disk = std::make_unique<dw::storage::AsyncDisk>(std::move(s), app.pool);
  }
  if (c->face == "platform") c->node.face = dw::platform::face();
  app.node = std::make_unique<dw::relay::Node>(app.ports, c->node, app.disk.get());
  std::string program = argv[0];
  app.software(program.substr(program.rfind('/') + 1));
  app.control = std::make_unique<dw::control_api::Control>(app.ports, *app.node);
  if (auto e = app.listen()) {
    lg.error("{}: {}.", c->node.name, *e);
    return kCannotStart;
  }
  boost::asio::signal_set sigs(app.pool.io(0), SIGTERM, SIGINT);
  sigs.async_wait([&](auto ec, int) {
    if (!ec) app.pool.spawn([&] { app.finish(0); });
  });
  dw::relay::Reread reread(FLAGS_config, [&](auto seeds) { app.node->seeds(std::move(seeds)); });
  boost::asio::signal_set hups(app.pool.io(0), SIGHUP);
  std::function<void(boost::system::error_code, int)> on_hup = [&](auto ec, int) {
    if (ec) return;
    app.pool.spawn([&] { reread.look(true); });
    hups.async_wait(on_hup);
  };
  hups.async_wait(on_hup);
  lg.info("{}: relay {} in zone {}; callers {}, control {}, peers {}.", c->node.name, dw::kSoftware,
          c->node.zone, c->callers, c->control, c->node.peer_address);
  app.pool.run([&] {
    app.node->start();
    app.artifacts->start();
    app.pool.spawn([&] { app.follow_limits(); });
    app.stager->start();
    app.pool.spawn([&] {
      for (;; app.clock.sleep(c->node.bound)) reread.look(false);
    });
  });
}
