#include "cache/cacheability.hpp"

#include <algorithm>
#include <charconv>

namespace dunlinwing::cache {
namespace {
using Directives = std::map<std::string, std::string>;  ///< of Cache-Control, by lower-case name

constexpr int64_t kMaxLifetimeSeconds = 31536000;  ///< one year, the maximum of lifetimes and ages

/// Parses a complete text as a non-negative number; nothing if it is not one.
std::optional<int64_t> number(std::string_view text) {
  int64_t value = 0;
  const auto* end = text.data() + text.size();
  auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || rest != end || value < 0) return {};
  return value;
}

Duration seconds(int64_t count) { return Duration(std::min(count, kMaxLifetimeSeconds) * 1000); }

std::string unquoted(const std::string& value) {
  bool quoted = value.size() >= 2 && value.front() == '"' && value.back() == '"';
  return quoted ? value.substr(1, value.size() - 2) : value;
}

/// The values of all headers with one name, as a comma-separated list.
std::string joined(const base::Headers& headers, std::string_view name) {
  std::string list;
  for (const auto& [key, value] : headers) {
    if (!base::equals_ignore_case(key, name)) continue;
    if (!list.empty()) list += ",";
    list += value;
  }
  return list;
}

Directives cache_control(const base::Headers& headers) {
  Directives directives;
  for (auto& directive : base::split_list(joined(headers, "Cache-Control"), ',')) {
    auto equals = directive.find('=');
    auto name = directive.substr(0, equals);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    auto value = equals == std::string::npos ? "" : directive.substr(equals + 1);
    if (!name.empty()) directives[name] = unquoted(value);
  }
  return directives;
}

bool has_header(const base::Headers& headers, const char* name) {
  return !base::header(headers, name).empty();
}

bool forbid_storing(const Directives& directives) {
  return directives.count("no-store") || directives.count("private") || directives.count("no-cache");
}
}  // namespace

bool is_cacheable_request(const base::Request& request, bool conditions_answered) {
  if (request.method != "GET" && request.method != "HEAD") return false;
  for (const auto* name :
       {"Authorization", "If-Modified-Since", "If-Match", "If-Unmodified-Since", "If-Range", "Cookie"})
    if (has_header(request.headers, name)) return false;
  if (!conditions_answered)
    for (const auto* name : {"Range", "If-None-Match"})
      if (has_header(request.headers, name)) return false;
  auto directives = cache_control(request.headers);
  return !directives.count("no-store") && !directives.count("no-cache");
}

std::optional<Duration> response_lifetime(const base::Request& request, const base::Response& response) {
  if (response.status != 200 || request.method != "GET") return {};
  if (has_header(response.headers, "Vary") || has_header(response.headers, "Set-Cookie")) return {};
  auto directives = cache_control(response.headers);
  if (forbid_storing(directives)) return {};
  for (const auto* name : {"s-maxage", "max-age"}) {
    auto found = directives.find(name);
    if (found == directives.end()) continue;
    auto count = number(found->second);
    if (!count || *count == 0) return {};
    return seconds(*count);
  }
  return {};
}

std::optional<Duration> configured_lifetime(const base::Response& response, Duration configured) {
  if (response.status != 200 || has_header(response.headers, "Set-Cookie")) return {};
  if (forbid_storing(cache_control(response.headers))) return {};
  return configured;
}

std::optional<ByteRange> parse_byte_range(std::string_view range, size_t bytes) {
  constexpr std::string_view kUnit = "bytes=";
  if (!range.starts_with(kUnit)) return {};
  range.remove_prefix(kUnit.size());
  auto dash = range.find('-');
  if (dash == std::string_view::npos || range.find(',') != std::string_view::npos) return {};
  auto first = number(range.substr(0, dash));
  bool open_ended = dash + 1 == range.size();
  auto last = open_ended ? std::optional<int64_t>(INT64_MAX) : number(range.substr(dash + 1));
  if (!first || !last || *last < *first) return {};
  auto from = static_cast<size_t>(*first);
  if (from >= bytes) return ByteRange{from, 0};
  auto until = static_cast<size_t>(std::min<int64_t>(*last, static_cast<int64_t>(bytes) - 1)) + 1;
  return ByteRange{from, until - from};
}

Duration age_header(const base::Response& response) {
  return seconds(number(base::header(response.headers, "Age")).value_or(0));
}

}  // namespace dunlinwing::cache
