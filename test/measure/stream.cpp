// Every 10 ms each running node is compared with the acknowledged writes; times are measured
// from the request.
#include <fmt/format.h>

#include "config/routing_configuration.hpp"
#include "control_api/purge_writer.hpp"
#include "steady.hpp"

namespace dunlinwing::measure {
namespace {
constexpr int kKeys = 64, kServices = 8;
constexpr size_t kChangeBytes = 200;
}  // namespace

std::string layout_doc(int k) {
  return fmt::format(R"({{"content":{{"services":{{
"content":{{"versions":["1"],"deadline_ms":{},"cache":{{"lifetime_s":4}}}},
"app":{{"versions":["1"],"deadline_ms":2000}}}},
"routes":[{{"prefix":"/c/","service":"content","methods":["GET","HEAD"]}},{{"prefix":"/a/","service":"app","methods":["GET"]}}]}},
"express":"measured"}})",
                     2000 + k);
}

bool put_layout(HollowFleet& f, const std::string& name, int k) {
  bool ok = false;
  for (int i = 0; i < 20 && !ok; ++i) {
    auto& n = f.random_running_node();
    auto st = std::make_shared<int>(0);
    f.run_on_node(n, Duration(5000), [&n, name, k, st] {
      base::Request request{"", "PUT", "/v1/releases/layout/" + name, layout_doc(k), {}};
      *st = n.control().handle(request).status;
    });
    ok = *st == 200 || *st == 202;
  }
  return ok;
}

struct Stream::Impl {
  struct Want {
    std::string key;
    uint64_t least;
    TimePoint from;
    bool purge;
  };
  struct Seen {
    uint64_t version = 0, number = 0;
  };
  HollowFleet& f;
  std::vector<Want> wants;
  std::map<std::string, std::vector<Seen>> seen;
  std::map<std::string, uint64_t> version;
  std::map<std::string, bool> busy;
  Distribution change, purge, change_acknowledged, purge_acknowledged;
  uint64_t asked_changes = 0, asked_purges = 0, failed = 0, named = 0, under_way = 0, folded = 0;
  bool looking = false;

  // The version, or the purge number, of a key at the node that is furthest behind.
  uint64_t least(const std::string& key, bool purges) {
    auto& v = seen[key];
    v.resize(f.nodes.size());
    uint64_t out = UINT64_MAX;
    for (size_t i = 0; i < v.size(); ++i) {
      if (!f.nodes[i]->up()) continue;
      auto& chosen = f.nodes[i]->relay().state_cache().chosen();
      auto h = chosen.find(key);
      if (h == chosen.end()) return 0;
      if (h->second.version != v[i].version) {
        v[i].version = v[i].number = h->second.version;
        pb::PurgeSet s;
        if (purges && s.ParseFromString(h->second.data)) v[i].number = s.number();
        if (i == 0)
          for (auto& x : s.purges()) folded += x.kind() == "service";
      }
      out = std::min(out, v[i].number);
    }
    return out;
  }

  void watch_propagation() {
    if (std::exchange(looking, true)) return;
    f.outside([this] {
      for (;; f.sleep(Duration(10))) {
        std::map<std::string, uint64_t> at;
        for (auto& x : wants)
          if (!at.count(x.key)) at[x.key] = least(x.key, x.purge);
        std::erase_if(wants, [&](auto& x) {
          if (at[x.key] < x.least) return false;
          (x.purge ? purge : change).add(static_cast<double>((f.world.now() - x.from).count()));
          return true;
        });
      }
    });
  }

  void change_one() {
    auto key = fmt::format("measured/{}", named++ % kKeys);
    if (busy[key]) return void(++failed);
    busy[key] = true;
    auto from = f.world.now();
    auto* n = &f.random_running_node();
    ++under_way;
    f.world.spawn(n->life(), [this, key, from, n] {
      auto r = n->relay().registers().write(key, version[key], std::string(kChangeBytes, 'x'));
      --under_way;
      busy[key] = false;
      auto* h = std::get_if<consensus::VersionedValue>(&r);
      if (!h) return void(++failed);
      version[key] = h->version;
      change_acknowledged.add(static_cast<double>((f.world.now() - from).count()));
      wants.push_back({key, h->version, from, false});
    });
  }

  void purge_one() {
    auto i = f.world.below(f.nodes.size());
    auto* n = f.nodes[i].get();
    if (!n->up()) return;
    auto service = fmt::format("s{}", f.world.below(kServices));
    pb::Purge purge;
    purge.set_kind("path");
    purge.set_name(fmt::format("p{}", ++named));
    purge.set_path(fmt::format("/c/{:012}", f.world.draw() % 1000000000000));
    auto from = f.world.now();
    ++under_way;
    f.world.spawn(n->life(), [this, n, service, purge, from] {
      constexpr Duration kLimit(800);
      auto r = control_api::write_purge(n->relay().register_updater(), service, purge, from + kLimit);
      --under_way;
      auto* d = std::get_if<control_api::PurgeResult>(&r);
      if (!d) return void(++failed);
      purge_acknowledged.add(static_cast<double>((f.world.now() - from).count()));
      wants.push_back({"purge/" + service, d->number, from, true});
    });
  }

  void flow(double a_second, TimePoint until, uint64_t& count, std::function<void()> one) {
    if (a_second <= 0) return;
    watch_propagation();
    f.outside([this, a_second, until, &count, one] {
      double due = 0;
      for (; f.world.now() < until; f.sleep(Duration(5)))
        for (due += a_second * 0.005; due >= 1; due -= 1, ++count) one();
    });
  }
};

Stream::Stream(HollowFleet& f) : impl_(std::make_shared<Impl>(f)) {}
Stream::~Stream() = default;
void Stream::changes(double n, TimePoint until) {
  impl_->flow(n, until, impl_->asked_changes, [p = impl_] { p->change_one(); });
}
void Stream::purges(double n, TimePoint until) {
  impl_->flow(n, until, impl_->asked_purges, [p = impl_] { p->purge_one(); });
}
bool Stream::await_propagation(Duration most) {
  return impl_->f.wait_until(most, [p = impl_] { return p->wants.empty() && !p->under_way; });
}

void Stream::figures(Figures& o) const {
  auto put_figures = [&](const char* n, const Distribution& all, const Distribution& acknowledged,
                         uint64_t asked) {
    if (!asked) return;
    o[fmt::format("{}_asked", n)] = static_cast<double>(asked);
    o[fmt::format("{}_everywhere", n)] = static_cast<double>(all.count());
    o[fmt::format("{}_told_p50_ms", n)] = acknowledged.at(0.5);
    o[fmt::format("{}_told_p99_ms", n)] = acknowledged.at(0.99);
    o[fmt::format("{}_p50_ms", n)] = all.at(0.5);
    o[fmt::format("{}_p99_ms", n)] = all.at(0.99);
    o[fmt::format("{}_most_ms", n)] = all.most();
  };
  put_figures("change", impl_->change, impl_->change_acknowledged, impl_->asked_changes);
  put_figures("purge", impl_->purge, impl_->purge_acknowledged, impl_->asked_purges);
  if (impl_->asked_purges) o["purge_folds_seen"] = static_cast<double>(impl_->folded);
  if (impl_->asked_changes + impl_->asked_purges) o["stream_failed"] = static_cast<double>(impl_->failed);
}

}  // namespace dunlinwing::measure
