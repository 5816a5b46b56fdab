// The cache's size: all that a backend instance decides the length of counts, not only the body.
#include "cache/cache.hpp"

#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
constexpr size_t kCacheBytes = 1U << 20;
constexpr int kResponses = 100;

cache::CachedResponsePtr response_with(const base::Headers& headers, std::vector<std::string> tags) {
  auto cached = std::make_shared<cache::CachedResponse>();
  cached->response = {200, headers, "body"};
  cached->tags = std::move(tags);
  return cached;
}

/// How many of the responses the cache keeps.
int kept(const cache::CachedResponsePtr& cached) {
  cache::Cache cache;
  for (int i = 0; i < kResponses; ++i) cache.put(std::to_string(i), cached, kCacheBytes);
  int count = 0;
  for (int i = 0; i < kResponses; ++i) count += cache.find(std::to_string(i)) != nullptr;
  expect(cache.bytes() <= kCacheBytes, "the cache is larger than its limit");
  return count;
}

// Guards against: 512 bytes counted for the headers of each response, which may have 64 KiB of them.
void headers_and_tags_count() {
  same(kept(response_with({{"X", "y"}}, {"t"})), kResponses, "small responses kept");
  const std::string long_text(60'000, 'x');
  const auto most = static_cast<int>(kCacheBytes / long_text.size());
  expect(kept(response_with({{"X", long_text}}, {})) <= most, "long headers do not count");
  expect(kept(response_with({}, {long_text})) <= most, "long tags do not count");
  constexpr size_t kShortTags = 20'000;
  const std::vector<std::string> short_tags(kShortTags, "t");
  expect(kept(response_with({}, short_tags)) <=
             static_cast<int>(kCacheBytes / (kShortTags * sizeof(std::string))),
         "short tags count for their text alone");
}
}  // namespace

std::vector<Case> cache_cases() {
  return {{"cache: headers and tags count as bytes of the cache", headers_and_tags_count}};
}

}  // namespace dunlinwing::test
