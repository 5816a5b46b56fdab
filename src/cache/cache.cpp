/// @file
/// One lock guards the entries and the map of running fetches; each fetch's state has its own lock. Neither
/// is held while the other is taken or while waiting.
#include "cache/cache.hpp"

#include <algorithm>
#include <list>
#include <mutex>

namespace dunlinwing::cache {
namespace {
/// Estimated size of an entry's bookkeeping, and of each of its headers and tags beside their text.
constexpr size_t kEntryOverheadBytes = 512;
constexpr size_t kTextOverheadBytes = 64;
/// The number of lifetimes for which a response is kept: after the first one it can still be revalidated.
constexpr int kRetainedLifetimes = 2;

/// Memory that an entry takes. A backend instance decides how many headers and tags there are, and how long.
size_t size_of(const std::string& key, const CachedResponse& cached) {
  size_t bytes = kEntryOverheadBytes + 2 * key.size() + cached.response.body.size();
  for (const auto& header : cached.response.headers)
    bytes += header.name.size() + header.value.size() + kTextOverheadBytes;
  for (const auto& tag : cached.tags) bytes += tag.size() + kTextOverheadBytes;
  return bytes;
}
}  // namespace

struct Cache::Fetch {
  std::mutex mutex;
  bool done = false;
  SharedFetchResult end;                                     ///< valid once done
  std::vector<std::shared_ptr<base::Condition>> conditions;  ///< of the waiting requests; empty once done
  const base::CancellationPtr cancellation = std::make_shared<base::Cancellation>();
  int participants = 0;  ///< number of requests that use it; guarded by the cache's mutex
};

struct Cache::Impl {
  struct Entry {
    CachedResponsePtr cached;
    size_t bytes;
    std::list<std::string>::iterator use;  ///< its position in `uses`
  };
  using Entries = std::map<std::string, Entry>;

  mutable std::mutex mutex;     ///< guards all below
  Entries entries;              ///< by key
  std::list<std::string> uses;  ///< the keys of all entries, the most recently used first
  std::map<std::string, std::shared_ptr<Fetch>> fetches;  ///< the running ones, by key
  size_t bytes = 0;                                       ///< the sum over the entries

  void erase(Entries::iterator entry) {
    bytes -= entry->second.bytes;
    uses.erase(entry->second.use);
    entries.erase(entry);
  }
};

Cache::Cache() : impl_(std::make_unique<Impl>()) {}
Cache::~Cache() = default;

CachedResponsePtr Cache::find(const std::string& key) {
  std::lock_guard lock(impl_->mutex);
  auto found = impl_->entries.find(key);
  if (found == impl_->entries.end()) return {};
  impl_->uses.splice(impl_->uses.begin(), impl_->uses, found->second.use);
  return found->second.cached;
}

void Cache::put(const std::string& key, CachedResponsePtr cached, size_t max_bytes) {
  const size_t added = size_of(key, *cached);
  std::lock_guard lock(impl_->mutex);
  if (auto found = impl_->entries.find(key); found != impl_->entries.end()) impl_->erase(found);
  if (added > max_bytes) return;
  while (impl_->bytes + added > max_bytes && !impl_->uses.empty())
    impl_->erase(impl_->entries.find(impl_->uses.back()));
  impl_->uses.push_front(key);
  impl_->entries[key] = {std::move(cached), added, impl_->uses.begin()};
  impl_->bytes += added;
}

void Cache::evict(size_t bytes) {
  std::lock_guard lock(impl_->mutex);
  const size_t left = impl_->bytes - std::min(bytes, impl_->bytes);
  while (impl_->bytes > left && !impl_->uses.empty()) impl_->erase(impl_->entries.find(impl_->uses.back()));
}

void Cache::evict_expired(TimePoint now) {
  std::lock_guard lock(impl_->mutex);
  for (auto it = impl_->entries.begin(); it != impl_->entries.end();) {
    auto entry = it++;
    const auto& kept = *entry->second.cached;
    if (now - kept.generated_at > kept.lifetime * kRetainedLifetimes) impl_->erase(entry);
  }
}

size_t Cache::bytes() const {
  std::lock_guard lock(impl_->mutex);
  return impl_->bytes;
}

Cache::JoinedFetch Cache::join_fetch(const std::string& key) {
  std::lock_guard lock(impl_->mutex);
  auto& fetch = impl_->fetches[key];
  const bool must_fetch = !fetch || fetch->participants == 0;
  if (must_fetch) fetch = std::make_shared<Fetch>();
  ++fetch->participants;
  return {fetch, must_fetch};
}

void Cache::leave_fetch(const std::shared_ptr<Fetch>& fetch) {
  {
    const std::lock_guard lock(impl_->mutex);
    if (--fetch->participants > 0) return;
  }
  fetch->cancellation->cancel();
}

base::CancellationPtr Cache::cancellation(const std::shared_ptr<Fetch>& fetch) { return fetch->cancellation; }

void Cache::finish_fetch(const std::string& key, const std::shared_ptr<Fetch>& fetch, SharedFetchResult end) {
  {
    std::lock_guard lock(impl_->mutex);
    auto found = impl_->fetches.find(key);
    if (found != impl_->fetches.end() && found->second == fetch) impl_->fetches.erase(found);
  }
  std::lock_guard lock(fetch->mutex);
  fetch->done = true;
  fetch->end = std::move(end);
  for (auto& condition : fetch->conditions) condition->notify();
  fetch->conditions.clear();
}

std::optional<SharedFetchResult> Cache::await_fetch(const std::shared_ptr<Fetch>& fetch,
                                                    const std::shared_ptr<base::Condition>& condition,
                                                    Duration limit,
                                                    const base::CancellationPtr& cancellation) {
  {
    std::lock_guard lock(fetch->mutex);
    if (fetch->done) return fetch->end;
    fetch->conditions.push_back(condition);
  }
  {
    const base::CancellationSubscription subscription(cancellation, [&] { condition->notify(); });
    condition->wait(limit);
  }
  leave_fetch(fetch);
  std::lock_guard lock(fetch->mutex);
  if (fetch->done) return fetch->end;
  return {};
}

}  // namespace dunlinwing::cache
