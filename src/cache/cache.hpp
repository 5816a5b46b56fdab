// Cached receipts, bounded by bytes, oldest use first out; and the fills under
// way, so that requests for one object wait for one fetch.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::cache {

struct CachedResponse {
  base::Response response;
  std::string service, version;
  std::vector<std::string> tags;
  TimePoint generated_at{0};  // before the fetch began, less the Age it came with
  Duration lifetime{0};
  uint64_t purge_number = 0;  // the purge number known when the fetch began
};
using CachedResponsePtr = std::shared_ptr<const CachedResponse>;

class Cache {
 public:
  Cache();
  ~Cache();
  CachedResponsePtr find(const std::string& key);
  void put(const std::string& key, CachedResponsePtr cached, size_t most_bytes);
  size_t bytes() const;
  void evict_expired(TimePoint now);

  // One fill a key: the first caller leads, the others wait for its item, which
  // is null when what came back may not be shared.
  struct Fetch;
  std::shared_ptr<Fetch> join_fetch(const std::string& key, bool& lead);
  void finish_fetch(const std::string& key, const std::shared_ptr<Fetch>& f, CachedResponsePtr cached);
  std::optional<CachedResponsePtr> await_fetch(const std::shared_ptr<Fetch>& f,
                                               std::shared_ptr<base::Condition> s, Duration limit);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// How long a shared cache may keep a receipt by RFC 9111, nothing when it may
// not; and the Age it came with.
std::optional<Duration> response_lifetime(const base::Request& request, const base::Response& response);
Duration age_header(const base::Response& response);
// `cuts`: single ranges and If-None-Match are answered from whole receipts.
bool is_cacheable_request(const base::Request& request, bool cuts);
// The operators' own lifetime, unless the worker forbids it.
std::optional<Duration> configured_lifetime(const base::Response& response, Duration life);
struct ByteRange {
  size_t first = 0, size = 0;  // size 0: beyond the end
};
// One range that names its first byte; nothing when it is another kind, which may be ignored.
std::optional<ByteRange> parse_byte_range(std::string_view range, size_t bytes);

}  // namespace dunlinwing::cache
