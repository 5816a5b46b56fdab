#include "proxy/cached_response_rules.hpp"

#include <algorithm>

namespace dunlinwing::proxy {
namespace {
// In the last 1/8 of a lifetime a shield fetches the object again for other nodes and does not send its copy.
constexpr int kRefreshDivisor = 8;
constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr std::string_view kWeakPrefix = "W/";  // weak tags do not guarantee identical bytes

std::string strong_tag(const base::Response& response) {
  auto tag = base::header(response.headers, "ETag");
  return tag.starts_with(kWeakPrefix) ? std::string() : tag;
}
}  // namespace

std::vector<std::string> sorted_tags(const ProtocolAdapter& adapter, const base::Response& response) {
  auto tags = adapter.cache_tags(response);
  std::sort(tags.begin(), tags.end());
  return tags;
}

bool CachedResponseRules::is_quarantined(const cache::CachedResponse& cached,
                                         const RequestContext& context) const {
  const auto snapshot = node_.snapshot();
  const auto state = snapshot->service_states.find(context.service->name);
  return state != snapshot->service_states.end() && state->second.quarantined().count(cached.version) > 0;
}

bool CachedResponseRules::is_purged(const cache::CachedResponse& cached,
                                    const RequestContext& context) const {
  const PurgeTarget target{context.service->name, context.host, context.request->target, &cached.tags};
  return is_purged_since(*node_.snapshot(), target, cached.purge_number);
}

bool CachedResponseRules::is_usable(const cache::CachedResponsePtr& cached, const RequestContext& context,
                                    TimePoint now) const {
  if (!cached) return false;
  if (is_superseded(*node_.snapshot(), context.entry_node, context.generation)) return false;
  const Duration lifetime = std::min(cached->lifetime, configured_lifetime(context));
  // A copy sent to another node must still be fresh after the transfer, and stay fresh longer than the copy
  // that has just expired there.
  const Duration usable_for = context.is_forwarded ? lifetime - lifetime / kRefreshDivisor : lifetime;
  return now - cached->generated_at < usable_for && !is_quarantined(*cached, context) &&
         !is_purged(*cached, context) && node_.has_read_lease();
}

bool CachedResponseRules::can_be_revalidated(const cache::CachedResponsePtr& stored,
                                             const RequestContext& context) const {
  return stored && stored->response.status == kOk && !strong_tag(stored->response).empty() &&
         !is_quarantined(*stored, context);
}

std::shared_ptr<cache::CachedResponse> CachedResponseRules::begin_entry(const RequestContext& context) const {
  auto entry = std::make_shared<cache::CachedResponse>();
  entry->service = context.service->name;
  entry->generated_at = node_.ports.clock.now();
  entry->purge_number = purge_number(*node_.snapshot(), context.service->name);
  return entry;
}

Duration CachedResponseRules::configured_lifetime(const RequestContext& context) {
  return context.route->cache_lifetime > Duration(0) ? context.route->cache_lifetime
                                                     : Duration(context.service->cache_lifetime_s * 1000);
}

bool revalidates(const base::Response& response, const base::Response& stored) {
  return response.status == kNotModified && !strong_tag(stored).empty() &&
         base::header(response.headers, "ETag") == strong_tag(stored);
}

// No other header is taken from the 304: headers that identify the instance which generated the body stay.
base::Response refreshed(const base::Response& stored, const base::Response& confirmation) {
  base::Response response = stored;
  for (const char* name : {"Age", "Cache-Control", "Date", "Expires"}) {
    std::erase_if(response.headers,
                  [&](const auto& header) { return base::equals_ignore_case(header.name, name); });
    for (const auto& header : confirmation.headers)
      if (base::equals_ignore_case(header.name, name)) response.headers.push_back(header);
  }
  return response;
}

}  // namespace dunlinwing::proxy
