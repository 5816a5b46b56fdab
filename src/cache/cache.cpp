// The table is one map under one lock, which is never held while waiting.
#include "cache/cache.hpp"

#include <algorithm>
#include <charconv>
#include <list>
#include <mutex>

namespace dunlinwing::cache {

struct Cache::Fetch {
  std::mutex mutex;
  bool done = false;
  CachedResponsePtr item;
  std::vector<std::shared_ptr<base::Condition>> waits;
};

struct Cache::Impl {
  struct Cell {
    CachedResponsePtr item;
    size_t bytes;
    std::list<std::string>::iterator use;
  };
  mutable std::mutex mutex;
  std::map<std::string, Cell> by;
  std::list<std::string> uses;
  std::map<std::string, std::shared_ptr<Fetch>> fills;
  size_t bytes = 0;

  void erase(std::map<std::string, Cell>::iterator i) {
    bytes -= i->second.bytes;
    uses.erase(i->second.use);
    by.erase(i);
  }
};

Cache::Cache() : impl_(std::make_unique<Impl>()) {}
Cache::~Cache() = default;

CachedResponsePtr Cache::find(const std::string& k) {
  std::lock_guard lock(impl_->mutex);
  auto f = impl_->by.find(k);
  if (f == impl_->by.end()) return {};
  impl_->uses.splice(impl_->uses.begin(), impl_->uses, f->second.use);
  return f->second.item;
}

void Cache::put(const std::string& k, CachedResponsePtr cached, size_t most) {
  size_t n = cached->response.body.size() + k.size() + 512;
  std::lock_guard lock(impl_->mutex);
  if (auto f = impl_->by.find(k); f != impl_->by.end()) impl_->erase(f);
  if (n > most) return;
  while (impl_->bytes + n > most && !impl_->uses.empty()) impl_->erase(impl_->by.find(impl_->uses.back()));
  impl_->uses.push_front(k);
  impl_->by[k] = {std::move(cached), n, impl_->uses.begin()};
  impl_->bytes += n;
}

void Cache::evict_expired(TimePoint now) {
  std::lock_guard lock(impl_->mutex);
  for (auto i = impl_->by.begin(); i != impl_->by.end();) {
    auto at = i++;
    if (now - at->second.item->generated_at > at->second.item->lifetime) impl_->erase(at);
  }
}

size_t Cache::bytes() const {
  std::lock_guard lock(impl_->mutex);
  return impl_->bytes;
}

std::shared_ptr<Cache::Fetch> Cache::join_fetch(const std::string& k, bool& lead) {
  std::lock_guard lock(impl_->mutex);
  auto& f = impl_->fills[k];
  lead = !f;
  if (lead) f = std::make_shared<Fetch>();
  return f;
}

void Cache::finish_fetch(const std::string& k, const std::shared_ptr<Fetch>& f, CachedResponsePtr cached) {
  {
    std::lock_guard lock(impl_->mutex);
    if (auto x = impl_->fills.find(k); x != impl_->fills.end() && x->second == f) impl_->fills.erase(x);
  }
  std::lock_guard lock(f->mutex);
  f->done = true;
  f->item = std::move(cached);
  for (auto& w : f->waits) w->notify();
  f->waits.clear();
}

std::optional<CachedResponsePtr> Cache::await_fetch(const std::shared_ptr<Fetch>& f,
                                                    std::shared_ptr<base::Condition> s, Duration limit) {
  {
    std::lock_guard lock(f->mutex);
    if (f->done) return f->item;
    f->waits.push_back(s);
  }
  s->wait(limit);
  std::lock_guard lock(f->mutex);
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
  for (auto& d : base::split_list(h, ',')) {
    auto q = d.find('=');
    auto n = d.substr(0, q);
    std::transform(n.begin(), n.end(), n.begin(), [](unsigned char c) { return std::tolower(c); });
    auto v = q == d.npos ? "" : d.substr(q + 1);
    if (v.size() >= 2 && v.front() == '"' && v.back() == '"') v = v.substr(1, v.size() - 2);
    if (!n.empty()) out[n] = v;
  }
  return out;
}

std::string joined(const std::vector<std::pair<std::string, std::string>>& headers, std::string_view name) {
  std::string out;
  for (auto& [k, v] : headers)
    if (base::equals_ignore_case(k, name)) out += (out.empty() ? "" : ",") + v;
  return out;
}
}  // namespace

bool is_cacheable_request(const base::Request& request, bool cuts) {
  if (request.method != "GET" && request.method != "HEAD") return false;
  for (auto* h :
       {"Authorization", "If-Modified-Since", "If-Match", "If-Unmodified-Since", "If-Range", "Cookie"})
    if (!base::header(request.headers, h).empty()) return false;
  if (!cuts)
    for (auto* h : {"Range", "If-None-Match"})
      if (!base::header(request.headers, h).empty()) return false;
  auto cc = directives(joined(request.headers, "Cache-Control"));
  return !cc.count("no-store") && !cc.count("no-cache");
}

std::optional<Duration> response_lifetime(const base::Request& request, const base::Response& response) {
  if (response.status != 200 || request.method != "GET") return {};
  if (!base::header(response.headers, "Vary").empty() ||
      !base::header(response.headers, "Set-Cookie").empty())
    return {};
  auto cc = directives(joined(response.headers, "Cache-Control"));
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

std::optional<Duration> configured_lifetime(const base::Response& response, Duration life) {
  if (response.status != 200 || !base::header(response.headers, "Set-Cookie").empty()) return {};
  auto cc = directives(joined(response.headers, "Cache-Control"));
  for (auto* d : {"no-store", "private", "no-cache"})
    if (cc.count(d)) return {};
  return life;
}

std::optional<ByteRange> parse_byte_range(std::string_view s, size_t bytes) {
  constexpr std::string_view unit = "bytes=";
  if (s.substr(0, unit.size()) != unit) return {};
  s.remove_prefix(unit.size());
  auto dash = s.find('-');
  if (dash == s.npos || s.find(',') != s.npos) return {};
  auto from = number(s.substr(0, dash));
  auto to = dash + 1 == s.size() ? std::optional<int64_t>(INT64_MAX) : number(s.substr(dash + 1));
  if (!from || !to || *to < *from) return {};
  auto at = static_cast<size_t>(*from);
  if (at >= bytes) return ByteRange{at, 0};
  return ByteRange{at, static_cast<size_t>(std::min<int64_t>(*to, static_cast<int64_t>(bytes) - 1)) - at + 1};
}

Duration age_header(const base::Response& response) {
  auto n = number(base::header(response.headers, "Age"));
  return Duration(n ? std::min<int64_t>(*n, 31536000) * 1000 : 0);
}

}  // namespace dunlinwing::cache
