// Cached receipts, bounded by bytes, oldest use first out; and the fills under
// way, so that requests for one object wait for one fetch.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::cache {

struct Item {
  base::Response receipt;
  std::string service, version;
  std::vector<std::string> tags;
  TimePoint born{0};  // before the fetch began, less the Age it came with
  Duration life{0};
  uint64_t purge = 0;  // the purge number known when the fetch began
};
using ItemPtr = std::shared_ptr<const Item>;

class Cache {
 public:
  Cache();
  ~Cache();
  ItemPtr find(const std::string& key);
  void put(const std::string& key, ItemPtr i, size_t most_bytes);
  size_t bytes() const;
  void sweep(TimePoint now);

  // One fill a key: the first caller leads, the others wait for its item, which
  // is null when what came back may not be shared.
  struct Fill;
  std::shared_ptr<Fill> join(const std::string& key, bool& lead);
  void finish(const std::string& key, const std::shared_ptr<Fill>& f, ItemPtr i);
  std::optional<ItemPtr> wait(const std::shared_ptr<Fill>& f, std::shared_ptr<base::Condition> s,
                              Duration limit);

 private:
  struct Impl;
  std::unique_ptr<Impl> p_;
};

// How long a shared cache may keep a receipt by RFC 9111, nothing when it may
// not; and the Age it came with.
std::optional<Duration> lifetime(const base::Request& q, const base::Response& r);
Duration age_header(const base::Response& r);
// `cuts`: single ranges and If-None-Match are answered from whole receipts.
bool may_ask_cache(const base::Request& q, bool cuts);
// The operators' own lifetime, unless the worker forbids it.
std::optional<Duration> stated(const base::Response& r, Duration life);
struct Cut {
  size_t from = 0, size = 0;  // size 0: beyond the end
};
// One range that names its first byte; nothing when it is another kind, which may be ignored.
std::optional<Cut> cut(std::string_view range, size_t bytes);

}  // namespace dunlinwing::cache
