// The relay program: one for all machines. Flags, settings, ports, and an
// orderly end on SIGTERM within the five seconds the platform leaves.
#include <gflags/gflags.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "base/log.hpp"
#include "control_api/router.hpp"
#include "net/http.hpp"
#include "net/peer.hpp"
#include "node/settings_reloader.hpp"
#include "node/socket_budget.hpp"
#include "platform/control_adapter.hpp"
#include "platform/protocol_adapter.hpp"
#include "software/stager.hpp"
#include "storage/async_disk.hpp"
#include "storage/snapshot_store.hpp"

DEFINE_string(config, "", "the settings file (JSON)");
DEFINE_bool(check, false, "check the settings and stop");
DEFINE_string(name, "", "overrides /name of the settings");
DEFINE_string(zone, "", "overrides /zone of the settings");
DEFINE_string(log_level, "", "overrides /log_level of the settings");

using namespace std::chrono_literals;
namespace dw = dunlinwing;

namespace {
constexpr dw::base::Log logger("relay");
constexpr int kBadSettings = 2, kCannotStart = 3;

std::optional<dw::node::Settings> settings() {
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
  auto g = dw::node::parse_settings(b.str());
  if (auto* ds = std::get_if<std::vector<dw::base::ValidationError>>(&g)) {
    for (auto& d : *ds)
      std::cerr << "relay: " << FLAGS_config << ": " << (d.pointer.empty() ? "/" : d.pointer) << " "
                << d.message << "\n";
    return {};
  }
  auto c = std::get<dw::node::Settings>(g);
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
  dw::node::Settings settings;
  dw::net::EventLoopPool pool;
  dw::net::SystemClock clock;
  dw::net::SystemRandom random;
  dw::node::SocketBudget sockets;
  dw::net::PeerClient net;
  dw::net::HttpClient origin;
  dw::base::Ports ports{clock, random, pool, net, origin};
  std::unique_ptr<dw::storage::AsyncDisk> disk;
  std::unique_ptr<dw::node::Node> node;
  std::unique_ptr<dw::storage::ArtifactFiles> shelf;
  std::unique_ptr<dw::storage::DiskExecutor> hand;
  std::unique_ptr<dw::software::Artifacts> artifacts;
  std::unique_ptr<dw::software::Stager> stager;
  std::unique_ptr<dw::control_api::Router> control;
  std::unique_ptr<dw::net::HttpServer> callers, operators, readiness;
  int next = 0;
  bool ending = false;

  explicit App(dw::node::Settings cc)
      : settings(std::move(cc)),
        pool(settings.threads),
        sockets(dw::node::share_sockets(settings.max_sockets, !settings.data_directory.empty())),
        net(sockets.peers_called),
        origin(16u << 20, sockets.upstream_idle) {}

  // Carried requests are traffic: they run on a traffic thread, not on control's.
  dw::pb::PeerResponse answer(const dw::pb::PeerRequest& request) {
    if (!request.has_forward()) return node->handle_peer_request(request);
    if (pool.size() == 1) {
      dw::pb::PeerResponse response;
      *response.mutable_forward() = node->handle_forwarded(request.forward());
      return response;
    }
    auto condition = pool.condition();
    auto out = std::make_shared<dw::pb::PeerResponse>();
    auto done = std::make_shared<std::atomic<bool>>(false);
    next = next + 1 < pool.size() ? next + 1 : 1;
    pool.spawn_on(next, [this, request, out, done, condition] {
      *out->mutable_forward() = node->handle_forwarded(request.forward());
      *done = true;
      condition->notify();
    });
    while (!*done) condition->wait(1000ms);
    return *out;
  }

  std::optional<std::string> listen() {
    if (auto e = dw::net::serve_peers(
            pool, settings.node.peer_address, [this](auto& a) { return answer(a); }, sockets.peers_served))
      return e;
    if (settings.client_address.empty()) return {};
    dw::net::HttpLimits lim;
    lim.body_bytes = 8u << 20;
    lim.all_bodies_bytes = settings.memory_mb > 0 ? static_cast<size_t>(settings.memory_mb * (1 << 20) / 4)
                                                  : lim.all_bodies_bytes;
    lim.max_connections = sockets.operators;
    auto calls = lim;
    calls.max_connections = sockets.clients;
    callers = std::make_unique<dw::net::HttpServer>(pool, "callers", calls,
                                                    [this](auto& q) { return node->handle(q); });
    dw::net::HttpHandler product = [this](auto& q) { return control->handle(q); };
    dw::net::HttpHandler told = product;
    if (settings.protocol_adapter == "platform")
      told = [this, product](auto& q) { return dw::platform::handle(q, settings.heartbeat_period, product); };
    operators = std::make_unique<dw::net::HttpServer>(pool, "control", lim, told);
    if (auto e = operators->listen(settings.control_address, 0, 1)) return e;
    if (!settings.readiness_address.empty()) {
      lim.max_connections = sockets.readiness;
      readiness = std::make_unique<dw::net::HttpServer>(pool, "readiness", lim, told);
      if (auto e = readiness->listen(settings.readiness_address, 0, 1)) return e;
    }
    return callers->listen(settings.client_address, pool.size() > 1 ? 1 : 0, pool.size());
  }

  // The limits of callers' connections are the layout's.
  void follow_limits() {
    std::shared_ptr<const dw::config::RoutingConfiguration> seen;
    for (;; clock.sleep(settings.node.bound / 8)) {
      auto configuration = node->request_handler().snapshot()->configuration;
      if (!configuration || configuration == seen || !callers) continue;
      seen = configuration;
      dw::net::HttpLimits lim;
      lim.head_bytes = static_cast<size_t>(configuration->head_bytes);
      lim.body_bytes = static_cast<size_t>(configuration->body_bytes);
      if (settings.memory_mb > 0)
        lim.all_bodies_bytes = static_cast<size_t>(settings.memory_mb * (1 << 20) / 4);
      lim.max_connections = sockets.clients;
      lim.head_timeout = configuration->head_time;
      lim.idle_timeout = configuration->idle_time;
      callers->set_limits(lim);
    }
  }

  void software(const std::string& program) {
    hand = std::make_unique<dw::storage::DiskExecutor>(pool);
    if (!settings.data_directory.empty())
      shelf = std::make_unique<dw::storage::ArtifactFiles>(settings.data_directory);
    artifacts = std::make_unique<dw::software::Artifacts>(
        ports, node->registers(), node->state_cache(), settings.node.name,
        dw::software::ArtifactStorage{shelf.get(), hand.get()}, settings.node.bound);
    node->set_artifacts(artifacts.get());
    dw::software::StagerPorts sp;
    sp.wanted = [this] { return node->wanted_software(); };
    sp.report_error = [this](auto& why) { node->report_software_error(why); };
    sp.is_healthy = [this] {
      return node->state_cache().has_read_lease() &&
             (node->ready() || !node->request_handler().snapshot()->configuration);
    };
    sp.too_many_restarting = [this] {
      // At most a third of the nodes may be out at once; a duty's pair goes one by one.
      size_t in = node->state_cache().statuses().members(clock.now()).size();
      auto snapshot = node->request_handler().snapshot();
      return in * 3 < static_cast<size_t>(snapshot->nodes) * 2;
    };
    sp.terminate = [this](int status) { finish(status); };
    stager = std::make_unique<dw::software::Stager>(
        ports, *artifacts, *hand, sp,
        dw::software::StagerOptions{settings.release_directory, program, settings.node.bound});
  }

  void finish(int status) {
    if (std::exchange(ending, true)) {
      for (;;) clock.sleep(1000ms);
    }
    // The platform asks each second whether this node is ready, so callers go on
    // coming for as long; they are served until it has heard the no.
    auto grace = settings.grace > 0ms ? settings.grace * 4 / 5 : settings.node.bound * 2;
    auto end = clock.now() + grace,
         heard = clock.now() + (settings.grace > 0ms ? settings.grace * 9 / 20 : settings.node.bound * 5 / 8);
    logger.info("{}: asked to stop; draining.", settings.node.name);
    if (callers) callers->drain();
    node->begin_shutdown();
    if (clock.now() < heard) clock.sleep(heard - clock.now());
    node->request_handler().start_draining();
    if (callers) callers->close();
    if (callers) callers->close_idle();
    auto busy = [this] {
      return node->request_handler().running_requests() > 0 || (callers && callers->running_requests() > 0) ||
             node->can_transfer_replica();
    };
    while (busy() && clock.now() < end) clock.sleep(10ms);
    logger.info("{}: stopped.", settings.node.name);
    dw::net::EventLoopPool::stop(status);
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
    logger.warn("{}: HOLDS ARE DIVIDED BY {}. This is for trying things out, never for real machines.",
                c->node.name, c->node.scale);
  if (!c->data_directory.empty()) {
    auto f = dw::storage::open_folder(c->data_directory);
    if (auto* d = std::get_if<dw::storage::OpenError>(&f)) {
      logger.error("{}: {}.", c->node.name, d->what);
      return kCannotStart;
    }
    auto s = std::make_unique<dw::storage::SnapshotStore>(std::move(std::get<0>(f)), c->log_bytes);
    app.disk = std::make_unique<dw::storage::AsyncDisk>(std::move(s), app.pool);
  }
  if (c->protocol_adapter == "platform") c->node.protocol_adapter = dw::platform::protocol_adapter();
  app.node = std::make_unique<dw::node::Node>(app.ports, c->node, app.disk.get());
  std::string program = argv[0];
  app.software(program.substr(program.rfind('/') + 1));
  app.control = std::make_unique<dw::control_api::Router>(app.ports, *app.node);
  if (auto e = app.listen()) {
    logger.error("{}: {}.", c->node.name, *e);
    return kCannotStart;
  }
  boost::asio::signal_set sigs(app.pool.io(0), SIGTERM, SIGINT);
  sigs.async_wait([&](auto ec, int) {
    if (!ec) app.pool.spawn([&] { app.finish(0); });
  });
  dw::node::SettingsReloader reread(FLAGS_config, [&](auto seeds) { app.node->set_seeds(std::move(seeds)); });
  boost::asio::signal_set hups(app.pool.io(0), SIGHUP);
  std::function<void(boost::system::error_code, int)> on_hup = [&](auto ec, int) {
    if (ec) return;
    app.pool.spawn([&] { reread.check(true); });
    hups.async_wait(on_hup);
  };
  hups.async_wait(on_hup);
  logger.info("{}: relay {} in zone {}; callers {}, control {}, peers {}.", c->node.name, dw::kSoftware,
              c->node.zone, c->client_address, c->control_address, c->node.peer_address);
  app.pool.run([&] {
    app.node->start();
    app.artifacts->start();
    app.pool.spawn([&] { app.follow_limits(); });
    app.stager->start();
    app.pool.spawn([&] {
      for (;; app.clock.sleep(c->node.bound)) reread.check(false);
    });
  });
}
