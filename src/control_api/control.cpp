// Reads and writes of the named resources. A read waits for a pull that began
// after it came in, so it shows whatever was acknowledged before. Writes are
// compare-and-set on the register of the resource.
#include "control_api/control.hpp"

#include <fmt/format.h>
#include <google/protobuf/util/message_differencer.h>

#include <algorithm>
#include <charconv>

#include "base/log.hpp"
#include "control_api/holders.hpp"
#include "control_api/moves.hpp"
#include "control_api/orders.hpp"
#include "control_api/report.hpp"
#include "control_api/schemas.hpp"
#include "control_api/self.hpp"
#include "control_api/views.hpp"
#include "rollout/checks.hpp"
#include "rollout/versions.hpp"

namespace dunlinwing::control_api {
namespace {
constexpr base::Log lg("control-api");
constexpr Duration kLongestWatch{30000};

std::variant<base::Json, base::Response> checked(const std::string& body, const base::Schema& s) {
  auto p = base::Json::parse(body);
  if (auto* d = std::get_if<base::ValidationError>(&p)) return defects({*d});
  auto& j = std::get<base::Json>(p);
  auto ds = s.check(j);
  if (!ds.empty()) return defects(ds);
  return j;
}

}  // namespace

struct Control::Impl {
  base::Ports& ps;
  relay::Node& n;
  Purger purger;

  Impl(base::Ports& p, relay::Node& node) : ps(p), n(node), purger(p, node.registers()) {}

  std::optional<consensus::VersionedValue> chosen(const std::string& key) {
    auto f = n.state_cache().chosen().find(key);
    if (f == n.state_cache().chosen().end() || f->second.version == 0) return {};
    return f->second;
  }

  std::string course(const pb::Rollout& r, const std::string& kind, const std::string& name) {
    for (auto& c : r.courses())
      if (c.kind() == kind && c.release() == name) return message_json(c);
    return "null";
  }

  base::Response release(const std::string& kind, const std::string& name, bool with_text) {
    auto h = chosen(rollout::release_key(kind, name));
    if (!h) return defect(404, "no such release");
    pb::Act act;
    auto a = chosen(rollout::act_key(kind, name));
    if (a) act.ParseFromString(a->data);
    auto roll = rollout::read_rollout(n.state_cache().chosen());
    std::string b = fmt::format(R"({{"kind":{},"name":{},"course":{},"acts":{})", base::quote(kind),
                                base::quote(name), course(roll, kind, name), message_json(act));
    if (with_text) b += ",\"document\":" + h->data;
    return json(200, b + "}", h->version);
  }

  base::Response releases(const std::string& kind) {
    std::string b;
    for (auto& [k, h] : n.state_cache().chosen()) {
      if (!k.starts_with("release/") || !h.version) continue;
      auto at = k.find('/', 8);
      auto kd = k.substr(8, at - 8), nm = k.substr(at + 1);
      if (!kind.empty() && kd != kind) continue;
      auto r = release(kd, nm, false);
      r.body.pop_back();
      b += (b.empty() ? "" : ",") + r.body;
    }
    return json(200, "{\"releases\":[" + b + "]}");
  }

  // A worker version goes into service by a move, on trial; never by a layout that
  // leaves out the one in place.
  std::optional<base::Response> leaves_out(const rollout::Release& r) {
    auto t = n.traffic().table();
    auto g = traffic::read_layout(r.name, r.content);
    auto* l = std::get_if<std::shared_ptr<const traffic::Layout>>(&g);
    if (!l) return {};
    for (auto& [name, s] : (*l)->services) {
      if (!t->layout || !t->layout->services.count(name)) continue;
      auto h = n.registers().read(rollout::service_key(name));
      if (auto* d = std::get_if<consensus::RegisterError>(&h)) return of(*d);
      pb::ServiceState st;
      st.ParseFromString(std::get<consensus::VersionedValue>(h).data);
      auto in = [&](const std::string& v) {
        return std::find(s.versions.begin(), s.versions.end(), v) != s.versions.end();
      };
      if (st.current().empty() || s.versions.empty() || in(st.current()) ||
          std::any_of(st.kept().begin(), st.kept().end(), in))
        continue;
      return json(
          409,
          fmt::format(
              R"({{"defects":[{{"at":"/content/services/{}/versions","what":"leaves out {}, the version in place; move the service first"}}]}})",
              name, st.current()));
    }
    return {};
  }

  base::Response put_release(Call& c) {
    auto &kind = c.path[2], &name = c.path[3];
    if (!rollout::is_kind(kind)) return defect(404, "no such kind of release");
    if (!rollout::good_name(name))
      return defect(422, "a release is named by letters, digits, '-', '_' and '.'");
    auto g = rollout::read_release(kind, name, c.q.body);
    if (auto* d = std::get_if<std::vector<base::ValidationError>>(&g)) return defects(*d);
    auto key = rollout::release_key(kind, name);
    if (kind == "layout" && !chosen(key))  // one that is recorded may be stated again
      if (auto d = leaves_out(std::get<rollout::Release>(g))) return *d;
    auto pre = base::header(c.q.headers, "If-Match");
    if (!pre.empty()) {
      auto r = n.registers().read(key);
      if (auto* d = std::get_if<consensus::RegisterError>(&r)) return of(*d);
      if (auto s = precondition(c.q, std::get<consensus::VersionedValue>(r).version)) return *s;
    }
    auto w = n.registers().write(key, 0, c.q.body);
    if (auto* d = std::get_if<consensus::RegisterError>(&w)) return of(*d);
    auto where = fmt::format("/v1/releases/{}/{}", kind, name);
    if (auto* s = std::get_if<consensus::VersionConflict>(&w)) {
      if (s->now.data == c.q.body && base::header(c.q.headers, "If-None-Match").empty())
        return json(200, fmt::format(R"({{"recorded":true,"was_known":true,"at":"{}"}})", where),
                    s->now.version);
      return json(412, R"({"defect":"a release of this name exists and is immutable"})", s->now.version);
    }
    lg.info("Release {} {} was recorded.", kind, name);
    auto r = json(202, fmt::format(R"({{"recorded":true,"was_known":false,"at":"{}"}})", where), 1);
    r.headers.emplace_back("Location", where);
    return r;
  }

  // waivers/CHECK, withdrawal, express: what operators say of a release.
  base::Response put_act(Call& c) {
    auto &kind = c.path[2], &name = c.path[3], &what = c.path[4];
    std::string check = c.path.size() > 5 ? c.path[5] : "";
    bool waiver = what == "waivers" && std::any_of(std::begin(rollout::kChecks), std::end(rollout::kChecks),
                                                   [&](auto* k) { return check == k; });
    if (!waiver && (c.path.size() != 5 || (what != "withdrawal" && what != "express")))
      return defect(404, "no such resource");
    auto b = checked(c.q.body, reason_schema());
    if (auto* r = std::get_if<base::Response>(&b)) return *r;
    auto why = std::get<base::Json>(b).at("reason").str();
    auto rel = n.registers().read(rollout::release_key(kind, name));
    if (auto* d = std::get_if<consensus::RegisterError>(&rel)) return of(*d);
    if (std::get<consensus::VersionedValue>(rel).version == 0) return defect(404, "no such release");
    return change<pb::Act>(c, rollout::act_key(kind, name), [&](pb::Act& a) -> std::optional<base::Response> {
      if (waiver)
        (*a.mutable_waived())[check] = why;
      else
        (what == "express" ? *a.mutable_express() : *a.mutable_withdrawn()) = why;
      return {};
    });
  }

  base::Response put_service(Call& c) {
    auto& name = c.path[2];
    auto b = checked(c.q.body, move_schema());
    if (auto* r = std::get_if<base::Response>(&b)) return *r;
    auto& j = std::get<base::Json>(b);
    auto to = j.at("version").str();
    auto t = n.traffic().table();
    const traffic::Service* s = nullptr;
    if (t->layout)
      if (auto f = t->layout->services.find(name); f != t->layout->services.end()) s = &f->second;
    if (!s) return defect(404, "the layout in force here has no such service");
    if (!s->versions.empty() && std::find(s->versions.begin(), s->versions.end(), to) == s->versions.end())
      return defects({{"/version", "the layout in force does not allow this version"}});
    return change<pb::ServiceState>(
        c, rollout::service_key(name), [&](pb::ServiceState& st) -> std::optional<base::Response> {
          if (st.switching()) return defect(409, "the service is being switched to version " + st.trial());
          if (st.current().empty())
            st.set_current(
                s->versions.empty()
                    ? rollout::commonest(n.state_cache().statuses().workers(ps.clock.now()), name, to)
                    : s->versions.front());
          if (st.quarantined().count(to)) {
            if (!j.at("lift_quarantine").flag())
              return defect(409, "the version is in quarantine: " + st.quarantined().at(to));
            st.mutable_quarantined()->erase(to);
          }
          if (st.current() == to) {
            rollout::drop_trial(st);
          } else if (st.trial() != to) {
            rollout::open_trial(st, to, Duration(0), s->deadline);
          }
          return {};
        });
  }

  // Read, change, compare-and-set; races are run again unless the caller named a version.
  template <class M, class F>
  base::Response change(Call& c, const std::string& key, F f) {
    bool named =
        !base::header(c.q.headers, "If-Match").empty() || !base::header(c.q.headers, "If-None-Match").empty();
    auto g = n.registers().read(key);
    if (auto* d = std::get_if<consensus::RegisterError>(&g)) return of(*d);
    auto now = std::get<consensus::VersionedValue>(g);
    for (int i = 0; i < 8; ++i) {
      if (auto s = precondition(c.q, now.version)) return *s;
      M m, old;
      old.ParseFromString(now.data);
      m = old;
      if (auto r = f(m)) return *r;
      auto data = m.SerializeAsString();
      if (now.version && google::protobuf::util::MessageDifferencer::Equals(m, old))
        return json(200, message_json(m), now.version);
      auto w = n.registers().write(key, now.version, data);
      if (auto* h = std::get_if<consensus::VersionedValue>(&w)) return json(200, message_json(m), h->version);
      if (auto* d = std::get_if<consensus::RegisterError>(&w)) return of(*d);
      now = std::get<consensus::VersionConflict>(w).now;
      if (named) break;
    }
    return json(412, fmt::format(R"({{"defect":"another write came first","version":{}}})", now.version),
                now.version);
  }

  base::Response put_purge(Call& c) {
    auto b = checked(c.q.body, purge_schema());
    if (auto* r = std::get_if<base::Response>(&b)) return *r;
    auto& j = std::get<base::Json>(b);
    pb::Purge p;
    if (c.path.size() > 2) p.set_name(c.path[2]);
    p.set_kind(j.at("kind").str());
    p.set_path(j.at(p.kind() == "tag" ? "tag" : "path").str());
    p.set_host(j.at("host").str());
    if (p.kind() != "service" && p.path().empty())
      return defects({{p.kind() == "tag" ? "/tag" : "/path", "is missing"}});
    auto service = j.at("service").str(traffic::kAllServices);
    if (service == traffic::kAllServices && p.kind() == "service")
      return defects({{"/service", "is missing"}});
    auto clash = [&](const std::string& of) {
      return defect(409,
                    "a purge of this name exists for service " + of + " and is another; take a new name");
    };
    for (auto& [k, h] : p.name().empty() ? membership::Chosen() : n.state_cache().chosen()) {
      pb::PurgeSet s;
      if (!k.starts_with("purge/") || k.substr(6) == service || !s.ParseFromString(h.data)) continue;
      for (auto& x : s.purges())
        if (x.name() == p.name()) return clash(k.substr(6));
    }
    auto r = purger.put(service, p);
    if (auto* d = std::get_if<PurgeError>(&r))
      return of(*d == PurgeError::no_majority ? consensus::RegisterError::no_majority
                                              : consensus::RegisterError::fate_unknown);
    auto& done = std::get<PurgeDone>(r);
    if (done.clash) return clash(service);
    return json(200, fmt::format(R"({{"purge":{},"number":{},"was_known":{}}})", base::quote(p.name()),
                                 done.number, done.known));
  }

  base::Response put_drain(Call& c) {
    if (c.path[2] != "node" && c.path[2] != "zone") return defect(404, "a node or a zone is drained");
    auto b = checked(c.q.body, drain_schema());
    if (auto* r = std::get_if<base::Response>(&b)) return *r;
    auto& j = std::get<base::Json>(b);
    return change<pb::Drain>(c, relay::drain_key(c.path[2], c.path[3]),
                             [&](pb::Drain& d) -> std::optional<base::Response> {
                               d.set_drained(j.at("drained").flag());
                               d.set_reason(j.at("reason").str());
                               return {};
                             });
  }

  // PUT /v1/artifacts/SHA256?offset=N: pieces in order, each of a mebibyte at most.
  base::Response artifact(Call& c, bool put) {
    auto* a = n.artifacts();
    if (!a) return defect(503, "this node takes no artifacts");
    uint64_t at = 0;
    if (auto f = c.query.find("offset"); f != c.query.end())
      if (std::from_chars(f->second.data(), f->second.data() + f->second.size(), at).ec != std::errc())
        return defect(422, "offset is no number");
    if (put && (c.q.body.empty() || c.q.body.size() > software::kPiece))
      return defect(413, "a piece has 1 to 1048576 bytes");
    auto r = put ? a->put(c.path[2], at, c.q.body) : a->look(c.path[2]);
    if (auto* d = std::get_if<software::PieceError>(&r)) {
      if (*d == software::PieceError::unknown_artifact)
        return defect(404, "no recorded software release names this digest");
      if (*d == software::PieceError::gap)
        return defect(409, "the piece does not follow what is held; GET says how much that is");
      return defect(503, "no majority of the holders answers; state the piece again");
    }
    auto& p = std::get<pb::Piece>(r);
    return json(200, fmt::format(R"({{"held":{},"whole":{}}})", p.held(), p.whole()));
  }

  base::Response beat(Call& c) {
    auto b = checked(c.q.body, beat_schema());
    if (auto* r = std::get_if<base::Response>(&b)) return *r;
    auto& j = std::get<base::Json>(b);
    pb::Beat x;
    x.set_service(j.at("service").str());
    x.set_version(j.at("version").str());
    x.set_instance(j.at("instance").str());
    x.set_zone(j.at("zone").str());
    x.set_address(j.at("address").str());
    x.set_capacity(static_cast<uint32_t>(j.at("capacity").num(1)));
    x.set_leaving(j.at("leaving").flag());
    x.set_number(static_cast<uint64_t>(j.at("number").num()));
    x.set_period_ms(static_cast<uint32_t>(j.at("period_ms").num()));
    x.set_cold_ms(static_cast<uint32_t>(j.at("cold_ms").num()));
    if (!n.beat(x)) return defect(503, "this node cannot pass the beat on; try another");
    return json(200, "{\"known\":true}");
  }

  base::Response assignments() {
    auto h = chosen(rollout::kRolloutKey);
    auto roll = rollout::read_rollout(n.state_cache().chosen());
    return json(200, message_json(roll), h ? h->version : 0);
  }

  base::Response read(Call& c) {
    auto& p = c.path;
    auto is = [&](size_t k, const char* name) { return p.size() == k && p[1] == name; };
    if (p.size() >= 2 && p.size() <= 4 && p[1] == "releases") {
      if (p.size() > 2 && !rollout::is_kind(p[2])) return defect(404, "no such kind of release");
      return p.size() == 4 ? release(p[2], p[3], true) : releases(p.size() == 3 ? p[2] : "");
    }
    if (is(2, "assignments")) return assignments();
    if (is(3, "assignments")) {
      auto roll = rollout::read_rollout(n.state_cache().chosen());
      auto f = roll.nodes().find(p[2]);
      if (f == roll.nodes().end()) return defect(404, "no such node");
      return json(200, message_json(f->second), f->second.generation());
    }
    if (is(2, "nodes")) return nodes(n, ps.clock.now());
    if (is(2, "workers")) return workers(n, ps.clock.now());
    if (is(2, "purges")) return purges(n);
    if (is(2, "drains")) return drains(n);
    if (is(2, "holders")) return holders(n);
    if (is(3, "layouts") && p[2] == "current") return order(n);
    if (is(3, "artifacts")) return artifact(c, false);
    if (is(2, "duties")) return json(200, "{\"rollout\":" + message_json(n.leadership().known()) + "}");
    if (is(3, "moves")) return move(n, c);
    if (is(3, "services")) {
      auto h = chosen(rollout::service_key(p[2]));
      if (!h) return defect(404, "no move of this service was ever asked for");
      pb::ServiceState s;
      s.ParseFromString(h->data);
      return json(200, message_json(s), h->version);
    }
    return defect(404, "no such resource");
  }

  // A watch is a read that waits until the answer's version is past `after`.
  base::Response watch(Call& c) {
    auto num = [&](const char* k) {
      int64_t v = -1;
      if (auto f = c.query.find(k); f != c.query.end())
        std::from_chars(f->second.data(), f->second.data() + f->second.size(), v);
      return v;
    };
    auto after = num("after");
    Duration most = std::clamp(Duration(num("wait_ms")), Duration(0), kLongestWatch);
    TimePoint end = ps.clock.now() + most;
    for (;;) {
      if (!n.state_cache().settle(n.config().bound)) return defect(503, "no majority of the holders answers");
      auto r = read(c);
      if (after < 0 || r.status != 200) return r;
      auto tag = base::header(r.headers, "ETag");
      int64_t v = 0;
      if (tag.size() > 2) std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, v);
      if (v > after) return r;
      if (ps.clock.now() >= end) return json(304, "", static_cast<uint64_t>(v));
    }
  }
};

Control::Control(base::Ports& ps, relay::Node& n) : p_(new Impl(ps, n)) {}
Control::~Control() = default;

base::Response Control::answer(base::Request& q) {
  auto& p = *p_;
  auto c = take_apart(q);
  if (c.path.size() == 1 && c.path[0] == "readyz")
    return p.n.ready() ? json(200, "{\"ready\":true}") : json(503, "{\"ready\":false}");
  bool get = q.method == "GET";
  if (get && c.path.size() == 1 && c.path[0] == "status") return json(200, status(p.n, p.ps.clock.now()));
  if (get && c.path.size() == 1 && c.path[0] == "metrics")
    return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics(p.n, p.ps.clock.now())};
  if (c.path.size() < 2 || c.path[0] != "v1") return defect(404, "no such resource");
  if (get && c.path.size() == 2 && c.path[1] == "self") return self(p.n);  // waits for no pull
  if (q.method == "GET" || q.method == "HEAD") return p.watch(c);
  if (q.method == "POST" && c.path.size() == 2 && c.path[1] == "beats") return p.beat(c);
  if (q.method == "POST" && c.path.size() == 2 && c.path[1] == "purges") return p.put_purge(c);
  if (q.method == "DELETE" && c.path.size() == 3 && c.path[1] == "workers")
    return p.n.gone(c.path[2]) ? json(200, "{\"known\":true}")
                               : defect(503, "this node cannot record it; try another");
  if (q.method != "PUT") return defect(405, "resources are read by GET and stated by PUT");
  if (c.path.size() == 4 && c.path[1] == "releases") return p.put_release(c);
  if (c.path.size() >= 5 && c.path.size() <= 6 && c.path[1] == "releases") return p.put_act(c);
  if (c.path.size() == 3 && c.path[1] == "services") return p.put_service(c);
  if (c.path.size() == 3 && c.path[1] == "layouts") return put_order(p.ps, p.n, c);
  if (c.path.size() == 3 && c.path[1] == "moves") return put_move(p.ps, p.n, c);
  if (c.path.size() == 3 && c.path[1] == "purges") return p.put_purge(c);
  if (c.path.size() == 3 && c.path[1] == "artifacts") return p.artifact(c, true);
  if (c.path.size() == 3 && c.path[1] == "holders") return put_holder(p.n, c);
  if (c.path.size() == 4 && c.path[1] == "drains") return p.put_drain(c);
  return defect(404, "no such resource");
}

}  // namespace dunlinwing::control_api
