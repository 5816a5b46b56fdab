// The table is one map under one lock, which is never held while waiting.
#include "cache/cache.hpp"

#include <algorithm>
#include <charconv>
#include <list>
#include <mutex>

namespace dunlinwing::cache {

struct Cache::Fill {
  std::mutex m;
  bool done = false;
  ItemPtr item;
  std::vector<std::shared_ptr<base::Condition>> waits;
};

struct Cache::Impl {
  struct Cell {
    ItemPtr item;
    size_t bytes;
    std::list<std::string>::iterator use;
  };
  mutable std::mutex m;
  std::map<std::string, Cell> by;
  std::list<std::string> uses;
  std::map<std::string, std::shared_ptr<Fill>> fills;
  size_t bytes = 0;

  void erase(std::map<std::string, Cell>::iterator i) {
    bytes -= i->second.bytes;
    uses.erase(i->second.use);
    by.erase(i);
  }
};

Cache::Cache() : p_(std::make_unique<Impl>()) {}
Cache::~Cache() = default;

ItemPtr Cache::find(const std::string& k) {
  std::lock_guard l(p_->m);
  auto f = p_->by.find(k);
  if (f == p_->by.end()) return {};
  p_->uses.splice(p_->uses.begin(), p_->uses, f->second.use);
  return f->second.item;
}

void Cache::put(const std::string& k, ItemPtr i, size_t most) {
  size_t n = i->receipt.body.size() + k.size() + 512;
  std::lock_guard l(p_->m);
  if (auto f = p_->by.find(k); f != p_->by.end()) p_->erase(f);
  if (n > most) return;
  while (p_->bytes + n > most && !p_->uses.empty()) p_->erase(p_->by.find(p_->uses.back()));
  p_->uses.push_front(k);
  p_->by[k] = {std::move(i), n, p_->uses.begin()};
  p_->bytes += n;
}

void Cache::sweep(TimePoint now) {
  std::lock_guard l(p_->m);
  for (auto i = p_->by.begin(); i != p_->by.end();) {
    auto at = i++;
    if (now - at->second.item->born > at->second.item->life) p_->erase(at);
  }
}

size_t Cache::bytes() const {
  std::lock_guard l(p_->m);
  return p_->bytes;
}

std::shared_ptr<Cache::Fill> Cache::join(const std::string& k, bool& lead) {
  std::lock_guard l(p_->m);
  auto& f = p_->fills[k];
  lead = !f;
  if (lead) f = std::make_shared<Fill>();
  return f;
}

void Cache::finish(const std::string& k, const std::shared_ptr<Fill>& f, ItemPtr i) {
  {
    std::lock_guard l(p_->m);
    if (auto x = p_->fills.find(k); x != p_->fills.end() && x->second == f) p_->fills.erase(x);
  }
  std::lock_guard l(f->m);
  f->done = true;
  f->item = std::move(i);
  for (auto& w : f->waits) w->notify();
  f->waits.clear();
}

std::optional<ItemPtr> Cache::wait(const std::shared_ptr<Fill>& f, std::shared_ptr<base::Condition> s,
                                   Duration limit) {
  {
    std::lock_guard l(f->m);
    if (f->done) return f->item;
    f->waits.push_back(s);
  }
  s->wait(limit);
  std::lock_guard l(f->m);
  if (f->done) return f->item;
  return {};
}

namespace {
std::optional<int64_t> number(std::string_view s) {
  int64_t v = 0;
  auto [p, e] = std::from_chars(s.data(), s.data() + s.size(), v);
  if (e != std::errc() || p != s.data() + s.size() || v < 0) return {};
  return v;
}

std::map<std::string, std::string> directives(const std::string& h) {
  std::map<std::string, std::string> out;
  for (auto& d : base::words(h, ',')) {
    auto q = d.find('=');
    auto n = d.substr(0, q);
    std::transform(n.begin(), n.end(), n.begin(), [](unsigned char c) { return std::tolower(c); });
    auto v = q == d.npos ? "" : d.substr(q + 1);
    if (v.size() >= 2 && v.front() == '"' && v.back() == '"') v = v.substr(1, v.size() - 2);
    if (!n.empty()) out[n] = v;
  }
  return out;
}

std::string joined(const std::vector<std::pair<std::string, std::string>>& hs, std::string_view name) {
  std::string out;
  for (auto& [k, v] : hs)
    if (base::same_word(k, name)) out += (out.empty() ? "" : ",") + v;
  return out;
}
}  // namespace

bool may_ask_cache(const base::Request& q, bool cuts) {
  if (q.method != "GET" && q.method != "HEAD") return false;
  for (auto* h :
       {"Authorization", "If-Modified-Since", "If-Match", "If-Unmodified-Since", "If-Range", "Cookie"})
    if (!base::header(q.headers, h).empty()) return false;
  if (!cuts)
    for (auto* h : {"Range", "If-None-Match"})
      if (!base::header(q.headers, h).empty()) return false;
  auto cc = directives(joined(q.headers, "Cache-Control"));
  return !cc.count("no-store") && !cc.count("no-cache");
}

std::optional<Duration> lifetime(const base::Request& q, const base::Response& r) {
  if (r.status != 200 || q.method != "GET") return {};
  if (!base::header(r.headers, "Vary").empty() || !base::header(r.headers, "Set-Cookie").empty()) return {};
  auto cc = directives(joined(r.headers, "Cache-Control"));
  for (auto* d : {"no-store", "private", "no-cache"})
    if (cc.count(d)) return {};
  for (auto* d : {"s-maxage", "max-age"})
    if (auto f = cc.find(d); f != cc.end()) {
      auto n = number(f->second);
      if (!n || *n == 0) return {};
      return Duration(std::min<int64_t>(*n, 31536000) * 1000);
    }
  return {};
}

std::optional<Duration> stated(const base::Response& r, Duration life) {
  if (r.status != 200 || !base::header(r.headers, "Set-Cookie").empty()) return {};
  auto cc = directives(joined(r.headers, "Cache-Control"));
  for (auto* d : {"no-store", "private", "no-cache"})
    if (cc.count(d)) return {};
  return life;
}

std::optional<Cut> cut(std::string_view s, size_t bytes) {
  constexpr std::string_view unit = "bytes=";
  if (s.substr(0, unit.size()) != unit) return {};
  s.remove_prefix(unit.size());
  auto dash = s.find('-');
  if (dash == s.npos || s.find(',') != s.npos) return {};
  auto from = number(s.substr(0, dash));
  auto to = dash + 1 == s.size() ? std::optional<int64_t>(INT64_MAX) : number(s.substr(dash + 1));
  if (!from || !to || *to < *from) return {};
  auto at = static_cast<size_t>(*from);
  if (at >= bytes) return Cut{at, 0};
  return Cut{at, static_cast<size_t>(std::min<int64_t>(*to, static_cast<int64_t>(bytes) - 1)) - at + 1};
}

Duration age_header(const base::Response& r) {
  auto n = number(base::header(r.headers, "Age"));
  return Duration(n ? std::min<int64_t>(*n, 31536000) * 1000 : 0);
}

}  // namespace dunlinwing::cache
