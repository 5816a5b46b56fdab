// The locks (shields', cache's, a fill's) are leaves: none is held while another is
// taken, nor while a fiber parks.
#include "traffic/fills.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace dunlinwing::traffic {
namespace {
constexpr Duration kShieldRest{2000};
constexpr int kFewNodes = 24;  // fewer fetch for themselves: a hop costs more than the origin is spared

// What was fetched by GET, as the answer to HEAD.
void shape_head(base::Response& r, const base::Request& q) {
  if (q.method != "HEAD") return;
  r.headers.emplace_back("Content-Length", std::to_string(r.body.size()));
  r.body.clear();
}

// A kept receipt as the answer to this request: its age told, cut to the one range
// that was asked for, or only confirmed when the caller has the same already.
base::Response answer(const cache::Item& i, const base::Request& q, TimePoint now, bool kept) {
  auto have = base::header(i.receipt.headers, "ETag");
  auto known = base::header(q.headers, "If-None-Match");
  auto range = base::header(q.headers, "Range");
  base::Response r{i.receipt.status, i.receipt.headers, {}};
  std::erase_if(r.headers, [](auto& h) { return base::same_word(h.first, "Age"); });
  if (!kept)
    r.headers.emplace_back("Age", std::to_string(std::max<int64_t>(0, (now - i.born).count()) / 1000));
  if (!known.empty() && known == have) {
    r.status = 304;
    return r;
  }
  size_t from = 0, size = i.receipt.body.size();
  if (auto c = range.empty() ? std::nullopt : cache::cut(range, size)) {
    if (!c->size) return {416, {{"Content-Range", fmt::format("bytes */{}", size)}}, {}};
    r.status = 206;
    r.headers.emplace_back("Content-Range",
                           fmt::format("bytes {}-{}/{}", c->from, c->from + c->size - 1, size));
    from = c->from;
    size = c->size;
  }
  r.body = i.receipt.body.substr(from, size);
  shape_head(r, q);
  return r;
}

// No part of a key can hold the line break that parts them. The host counts also where the
// route takes any: an object of one host is not another's.
std::string key_of(const Work& w) {
  auto host = base::header(w.q.headers, "Host");
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char c) { return std::tolower(c); });
  return w.service->name + "\n" + host + "\n" + w.q.target;
}

Named named(const Work& w, const cache::Item& i) { return {w.service->name, w.host, w.q.target, &i.tags}; }
}  // namespace

// Turned away, with when to come back, spread so that a crowd does not return at once.
Way Ways::away(int status, const std::string& why, Duration back) const {
  std::optional<Duration> b;
  if (status == 503 || status == 429)
    b = back + Duration(ps.random.below(static_cast<uint64_t>(back.count()) + 100));
  return {face.say(status, why, Outcome::not_run, b), Outcome::not_run};
}

Way Ways::unknown(const std::string& why) const {
  return {face.say(502, why, Outcome::unknown, {}), Outcome::unknown};
}

Way Ways::of(Fetched&& f) const {
  Way w;
  if (f.fate == Fate::answered) {
    face.clean(f.receipt);
    w = {std::move(f.receipt)};
  } else {
    w = f.fate == Fate::unknown ? unknown(f.why) : away(503, f.why, f.back);
  }
  w.back = f.back;
  w.overtaken = f.fate == Fate::overtaken;
  w.left = f.left;
  w.doubt = f.doubt;
  return w;
}

Fills::Fills(base::Ports& ps, const Face& face, std::string me, std::function<bool()> fresh,
             std::function<TablePtr()> table, UpstreamClient& shots, ServeCounts& counts)
    : ps_(ps),
      face_(face),
      ways_{ps, face},
      me_(std::move(me)),
      fresh_(std::move(fresh)),
      table_(std::move(table)),
      shots_(shots),
      n_(counts) {}

cache::ItemPtr Fills::kept(const Work& w) { return cache_.find(key_of(w)); }

bool Fills::usable(const cache::ItemPtr& i, const Work& w, TimePoint now) const {
  if (!i) return false;
  auto t = table_();
  Duration most = std::min(i->life, lifetime(w));
  auto st = t->states.find(w.service->name);
  bool banned = st != t->states.end() && st->second.quarantined().count(i->version);
  if (traffic::overtaken(*t, w.relay, w.generation)) return false;
  return now - i->born < most && !banned && !purged(*t, named(w, *i), i->purge) && fresh_();
}

Duration Fills::lifetime(const Work& w) {
  return w.route->keep > Duration(0) ? w.route->keep : Duration(w.service->lifetime_s * 1000);
}

// A shield that just failed is left alone for about as long as the fleet takes to notice.
void Fills::shield_failed(const std::string& address) {
  std::lock_guard l(m_);
  resting_[address] = ps_.clock.now() + kShieldRest;
}

std::string Fills::shield_for(const Table& t, const std::string& key) {
  const Shield* best = nullptr;
  size_t top = 0;
  if (t.nodes < kFewNodes) return {};
  std::lock_guard l(m_);
  for (auto& s : t.shields) {
    if (s.name == me_) return {};  // a shield fetches for itself
    if (auto f = resting_.find(s.address); f != resting_.end() && f->second > ps_.clock.now()) continue;
    auto h = std::hash<std::string>()(s.name + "\n" + key);
    if (!best || h > top) {
      best = &s;
      top = h;
    }
  }
  return best ? best->address : std::string();
}

// From the shield when there is one that can, else from a worker. The item is
// null when the receipt may not be kept.
std::pair<Way, cache::ItemPtr> Fills::fill(const Work& w, const std::string& key) {
  ++n_.fills;
  auto i = std::make_shared<cache::Item>();
  i->service = w.service->name;
  i->born = ps_.clock.now();
  i->purge = purge_number(*table_(), w.service->name);
  Work direct = w;
  direct.q.method = "GET";
  std::erase_if(direct.q.headers, [](auto& h) {
    return base::same_word(h.first, "Range") || base::same_word(h.first, "If-None-Match") ||
           base::same_word(h.first, "If-Range");
  });
  auto& get = direct.q;
  if (auto to = shield_for(*w.table, key); !to.empty()) {
    pb::Ask a;
    auto* c = a.mutable_carry();
    c->set_id(get.id);
    c->set_release(w.layout->name);
    c->set_service(w.service->name);
    c->set_target(get.target);
    c->set_left_ms(static_cast<uint32_t>(std::max<int64_t>(0, (w.deadline - ps_.clock.now()).count())));
    c->set_purge_seen(i->purge);
    c->set_relay(w.relay);
    c->set_generation(w.generation);
    for (auto& [k, v] : get.headers) {
      auto* h = c->add_headers();
      h->set_name(k);
      h->set_value(v);
    }
    ++n_.carried;
    auto r = ps_.net.ask(to, a, (w.deadline - ps_.clock.now()) / 2);
    auto* x = std::get_if<pb::Reply>(&r);
    auto* nd = std::get_if<base::NetError>(&r);
    bool reached = !nd || *nd != base::NetError::unreachable;
    if (reached) shots_.sent(w.service->name);
    if (nd) shield_failed(to);
    if (x && x->has_carry() && !x->carry().not_run() && !x->carry().unknown()) {
      auto& cr = x->carry();
      i->receipt.status = static_cast<int>(cr.status());
      for (auto& h : cr.headers()) i->receipt.headers.emplace_back(h.name(), h.value());
      i->receipt.body = cr.body();
      i->born -= Duration(static_cast<int64_t>(cr.age_ms()));
      i->life = Duration(static_cast<int64_t>(cr.life_ms()));
      i->purge = purge_least(i->purge, cr.fill_purge());
      i->version = cr.version();
      i->tags = face_.tags(i->receipt);
      // It may have been kept there, and this node may have slept since it asked.
      if (cr.cacheable() ? usable(i, w, ps_.clock.now())
                         : fresh_() && !purged(*table_(), named(w, *i), i->purge))
        return {Way{i->receipt}, cr.cacheable() ? cache::ItemPtr(i) : nullptr};
    }
    // The shield speaks for the origin: what it turns away is not tried around it.
    if (x && x->has_carry() && x->carry().turned_away())
      return {ways_.away(503, x->carry().why(), Duration(static_cast<int64_t>(x->carry().back_ms()))),
              nullptr};
    // What the shield did with it is not known, so a direct shot may be a repeat.
    direct.again = reached && !(x && x->has_carry() && x->carry().not_run());
  }
  auto f = shots_.run(direct);
  f.left |= direct.again;  // the shield may have had it run
  f.doubt |= direct.again;
  if (f.fate != Fate::answered) return {ways_.of(std::move(f)), nullptr};
  auto life =
      w.route->keep > Duration(0) ? cache::stated(f.receipt, w.route->keep) : cache::lifetime(get, f.receipt);
  i->born -= cache::age_header(f.receipt);
  i->version = f.version;
  i->tags = face_.tags(f.receipt);
  i->receipt = ways_.of(std::move(f)).receipt;
  if (!life) return {Way{i->receipt}, nullptr};
  i->life = *life;
  return {Way{i->receipt}, i};
}

Way Fills::cached(const Work& w) {
  bool kept = w.route->keep > Duration(0);
  auto key = key_of(w);
  if (auto i = cache_.find(key); usable(i, w, ps_.clock.now())) {
    ++n_.hits;
    return {answer(*i, w.q, ps_.clock.now(), kept)};
  }
  auto flight = fmt::format("{}|{}|{}", key, w.layout->name, purge_number(*table_(), w.service->name));
  bool lead = false;
  auto f = cache_.join(flight, lead);
  if (!lead) {
    // Half of its time is for the other's fetch, half for one of its own.
    auto i = cache_.wait(f, ps_.tasks.condition(),
                         std::max<Duration>(w.start_by() - ps_.clock.now(), Duration(0)));
    if (i && usable(*i, w, ps_.clock.now())) {
      ++n_.hits;
      return {answer(**i, w.q, ps_.clock.now(), kept)};
    }
    return ways_.of(shots_.run(w));  // what the other got was for it alone
  }
  std::pair<Way, cache::ItemPtr> got;
  struct Close {
    cache::Cache& c;
    std::string k;
    std::shared_ptr<cache::Cache::Fill> f;
    cache::ItemPtr i;
    ~Close() { c.finish(k, f, i); }
  } close{cache_, flight, f, nullptr};
  got = fill(w, key);
  close.i = got.second;
  if (got.second)
    cache_.put(key, got.second, std::min<size_t>(static_cast<size_t>(w.layout->cache_bytes), most_));
  if (got.second) return {answer(*got.second, w.q, ps_.clock.now(), kept)};
  shape_head(got.first.receipt, w.q);
  return got.first;
}

}  // namespace dunlinwing::traffic
