// All nodes of the process share the connections to a replica, since the product keeps one
// set by thread and address. Disks are simulated in memory without delay. Processor time is that
// of the whole process, including system time.
#include "sockets.hpp"

#include <fmt/format.h>
#include <sys/resource.h>

#include <future>
#include <thread>

#include "net/peer_client.hpp"
#include "net/peer_server.hpp"
#include "steady.hpp"

namespace dunlinwing::measure {
namespace {
constexpr int kPort = 23000;

double used_ms(bool system) {
  rusage u{};
  getrusage(RUSAGE_SELF, &u);
  auto& t = system ? u.ru_stime : u.ru_utime;
  return static_cast<double>(t.tv_sec) * 1000 + static_cast<double>(t.tv_usec) / 1000;
}

class CountingTransport final : public base::PeerTransport {
 public:
  std::variant<pb::PeerResponse, base::PeerError> call(const std::string& address,
                                                       const pb::PeerRequest& request,
                                                       const base::CallRules& rules) override {
    link_traffic.messages += 2;
    link_traffic.bytes += request.ByteSizeLong() + 8;
    auto r = net_.call(address, request, rules);
    if (auto* response = std::get_if<pb::PeerResponse>(&r)) link_traffic.bytes += response->ByteSizeLong();
    return r;
  }
  LinkTraffic link_traffic;

 private:
  net::PeerClient net_;
};

class NoOrigin final : public base::Origin {
 public:
  bool can_connect(const std::string&, Duration) override { return true; }
  std::variant<base::Response, base::AttemptError> send(const std::string&, const base::Request&,
                                                        const base::AttemptRules&) override {
    return base::AttemptError::not_sent;
  }
};

struct SocketNode {
  simulation::DiskContents disk_contents;
  CountingTransport net;
  NoOrigin origin;
  std::unique_ptr<base::Ports> ports;
  std::unique_ptr<storage::SnapshotStore> disk;
  std::unique_ptr<node::Node> node;
  std::unique_ptr<control_api::Router> control;
};

struct Run {
  net::EventLoopPool pool{1};
  net::SystemClock clock;
  net::SystemRandom random;
  std::vector<std::unique_ptr<SocketNode>> all;
  std::promise<Figures> result;

  bool wait_until(Duration most, const std::function<bool()>& f) {
    auto end = clock.now() + most;
    for (; !f(); clock.sleep(Duration(20)))
      if (clock.now() >= end) return false;
    return true;
  }
  bool each(const std::function<bool(SocketNode&)>& f) {
    for (auto& r : all)
      if (!f(*r)) return false;
    return true;
  }

  std::string up(const Shape& s) {
    std::vector<consensus::Replica> hs;
    auto addr = [](int i) { return fmt::format("127.0.0.1:{}", kPort + i); };
    for (int i = 0; i < s.replicas; ++i) hs.push_back({fmt::format("h{}", i + 1), addr(i)});
    for (int i = 0; i < s.nodes; ++i) {
      auto r = std::make_unique<SocketNode>();
      r->ports = std::make_unique<base::Ports>(base::Ports{clock, random, pool, r->net, r->origin});
      if (i < s.replicas)
        r->disk = std::make_unique<storage::SnapshotStore>(
            std::make_unique<simulation::MemoryFiles>(r->disk_contents), 16384);
      node::NodeConfig config;
      config.name = fmt::format("{}{}", i < s.replicas ? "h" : "e", i + 1);
      config.zone = fmt::format("z{}", i % s.zones);
      config.peer_address = config.control_address = addr(i);
      config.replicas = hs;
      config.bound = s.bound;
      config.scale = 600;
      r->node = std::make_unique<node::Node>(*r->ports, config, r->disk.get());
      r->control = std::make_unique<control_api::Router>(*r->ports, *r->node);
      auto* node = r->node.get();
      if (i < s.replicas)
        if (auto e = net::serve_peers(pool, config.peer_address,
                                      [node](const pb::PeerRequest& request, const auto&) {
                                        return node->handle_peer_request(request);
                                      }))
          return *e;
      all.push_back(std::move(r));
    }
    for (auto& r : all) {
      clock.sleep(Duration(250 / s.nodes));
      pool.spawn([n = r->node.get()] { n->start(); });
    }
    if (!wait_until(Duration(30000), [&] {
          return each([](SocketNode& r) { return r.node->state_cache().has_read_lease(); });
        }))
      return "not every node got a read lease";
    if (!wait_until(Duration(20000), [&] {
          base::Request q{"", "PUT", "/v1/releases/layout/first", layout_doc(0), {}};
          auto st = all.back()->control->handle(q).status;
          return st == 200 || st == 202;
        }))
      return "the first configuration was not accepted";
    if (!wait_until(Duration(30000), [&] {
          return each([](SocketNode& r) { return r.node->configuration_name() == "first"; });
        }))
      return "not every node runs the first configuration";
    return {};
  }

  Figures measure(const Shape& s, int seconds) {
    Figures o;
    auto why = up(s);
    o["ended"] = why.empty();
    if (!why.empty()) return o;
    clock.sleep(Duration(3000));
    auto link_traffic = [&] {
      LinkTraffic t;
      for (size_t i = static_cast<size_t>(s.replicas); i < all.size(); ++i) {
        t.bytes += all[i]->net.link_traffic.bytes;
        t.messages += all[i]->net.link_traffic.messages;
      }
      return t;
    };
    auto t0 = link_traffic();
    auto u0 = used_ms(false), s0 = used_ms(true);
    auto from = clock.now();
    int looks = 0, stale = 0;
    for (; clock.now() - from < Duration(seconds * 1000); clock.sleep(Duration(250)), ++looks)
      stale += !each([](SocketNode& r) { return r.node->state_cache().has_read_lease(); });
    double sec = static_cast<double>((clock.now() - from).count()) / 1000, n = s.nodes;
    auto t1 = link_traffic();
    o["relay_bytes"] = static_cast<double>(t1.bytes - t0.bytes) / sec / (n - s.replicas);
    o["relay_messages"] = static_cast<double>(t1.messages - t0.messages) / sec / (n - s.replicas);
    o["user_ms_s"] = (used_ms(false) - u0) / sec / n;
    o["system_ms_s"] = (used_ms(true) - s0) / sec / n;
    o["node_cpu_ms_s"] = o["user_ms_s"] + o["system_ms_s"];
    o["looks"] = looks;
    o["looks_without_all_permits"] = stale;
    return o;
  }
};
}  // namespace

Figures sockets(Shape s, int seconds) {
  auto* r = new Run;  // never deleted: its thread runs until the process ends
  auto f = r->result.get_future();
  std::thread([r, s, seconds] {
    r->pool.run([r, s, seconds] { r->result.set_value(r->measure(s, seconds)); });
  }).detach();
  return f.get();
}

}  // namespace dunlinwing::measure
