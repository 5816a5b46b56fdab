// What a simulated worker does with a request; what it ran goes to the journal.
#include "simulation/origin.hpp"

#include <fmt/format.h>

namespace dunlinwing::simulation {
namespace {
std::vector<std::pair<std::string, std::string>> head(const Worker& x, const std::string& rid,
                                                      std::vector<std::pair<std::string, std::string>> more) {
  more.emplace_back("Dunlinwing-Service", x.service);
  more.emplace_back("Dunlinwing-Version", x.version);
  more.emplace_back("Dunlinwing-Instance", x.instance);
  more.emplace_back("Dunlinwing-Request", rid);
  more.emplace_back("Dunlinwing-Load", std::to_string(x.load));
  return more;
}
}  // namespace

bool SimOrigin::reach(const std::string& addr, Duration) {
  Wait x;
  f_.w_.wait(l_, Duration(1), x);
  if (f_.breaks(l_->host, "reach")) return ++f_.w_.met["unreachable"], false;
  if (f_.s_.stands) return f_.s_.stands(addr);
  for (auto& w : f_.workers_)
    if (w->alive && w->address == addr) return true;
  return false;
}

std::variant<base::Response, base::AttemptError> SimOrigin::send(const std::string& addr,
                                                                 const base::Request& q,
                                                                 const base::AttemptRules& rules) {
  Duration limit = rules.limit;
  auto& w = f_.w_;
  if (addr.starts_with("http:")) return relay(addr.substr(5), q, limit);
  if (f_.s_.send) return f_.s_.send(l_, addr, q, rules);
  auto sleep = [&](Duration s) {
    Wait x;
    w.wait(l_, s, x);
  };
  auto find = [&]() -> Worker* {
    for (auto& x : f_.workers_)
      if (x->alive && x->address == addr) return x.get();
    return nullptr;
  };
  sleep(Duration(1));
  auto* x = find();
  if (!x) return base::AttemptError::unsent;
  auto h = [&](const char* n) { return base::header(q.headers, n); };
  if (x->foreign) {
    ++w.met["foreign"];
    w.journal.push_back(fmt::format(
        R"({{"t":"run","id":"{}","method":"{}","target":"{}","in":"{}","out":"","service":"{}","version":"{}","instance":"{}","at":{},"bad":true}})",
        h("Caller-Id"), q.method, q.target, base::sha256_base64(q.body), h("Dunlinwing-Service"),
        h("Dunlinwing-Version"), x->instance, w.now().count()));
    return base::Response{421, {}, ""};
  }
  if (h("Dunlinwing-Instance") != x->instance || h("Dunlinwing-Service") != x->service ||
      h("Dunlinwing-Version") != x->version) {
    ++w.met["wrong_address"];
    return base::Response{421, head(*x, h("Dunlinwing-Request"), {{"Dunlinwing-Outcome", "not-run"}}), ""};
  }
  if (static_cast<int>(w.below(100)) < x->refuse_percent) {
    ++w.met["worker_refused"];
    return base::Response{503, head(*x, h("Dunlinwing-Request"), {{"Dunlinwing-Outcome", "not-run"}}), ""};
  }
  Duration took = x->least + Duration(w.below(static_cast<uint64_t>((x->most - x->least).count()) + 1));
  auto at = w.now().count();
  if (w.now() < x->warm_at) took *= 2;
  int times = x->spoils ? x->spoils(q.target) : 1;
  if (times > 1) took *= times;
  bool bad = static_cast<int>(w.below(100)) < x->bad_percent || !times,
       wrong = static_cast<int>(w.below(100)) < x->wrong_percent;
  auto body = fmt::format(R"({{"target":"{}","echo":"{}","produced":{}}})", q.target, h("Caller-Id"), at);
  auto sum = base::sha256_base64(body);
  w.journal.push_back(fmt::format(
      R"({{"t":"run","id":"{}","method":"{}","target":"{}","in":"{}","out":"{}","service":"{}","version":"{}","instance":"{}","relay":"{}","gen":"{}","at":{},"bad":{}}})",
      h("Caller-Id"), q.method, q.target, base::sha256_base64(q.body), sum, x->service, x->version,
      x->instance, h("Dunlinwing-Relay"), h("Dunlinwing-Generation"), at, bad || wrong || times > 1));
  auto name = x->instance;
  ++x->running;
  sleep(std::min(took, limit));
  --x->running;
  if (took > limit) {
    ++w.met["slow_worker"];
    return base::AttemptError::unknown;
  }
  x = find();
  if (!x || x->instance != name) {
    ++w.met["worker_died_in_request"];
    return base::AttemptError::unknown;
  }
  if (static_cast<int>(w.below(100)) < x->lose_percent) {
    ++w.met["lost_answer"];
    sleep(limit - took);
    return base::AttemptError::unknown;
  }
  base::Response r{bad ? 500 : 200,
                   head(*x, h("Dunlinwing-Request"), {{"Content-Digest", "sha-256=:" + sum + ":"}}), body};
  if (wrong) r.body[r.body.size() / 2] ^= 1;
  if (bad) ++w.met["bad_answer"];
  if (wrong) ++w.met["wrong_bytes"];
  if (x->max_age && q.method == "GET")
    r.headers.emplace_back("Cache-Control", fmt::format("max-age={}", x->max_age));
  return r;
}

}  // namespace dunlinwing::simulation
