/// @file
/// The rules for a shared cache that follow from the headers of requests and responses (RFC 9111), and the
/// parsing of byte ranges (RFC 9110). Pure functions: no state, no clock.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::cache {

/// Whether a request may be served from the cache.
/// @param conditions_answered  single ranges and If-None-Match are evaluated on complete cached responses, so
///                             they do not prevent use of the cache
bool is_cacheable_request(const base::Request& request, bool conditions_answered);

/// The freshness lifetime for a shared cache by the response's headers; nothing when it may not be cached.
std::optional<Duration> response_lifetime(const base::Request& request, const base::Response& response);

/// The configured lifetime; nothing when the response forbids caching.
std::optional<Duration> configured_lifetime(const base::Response& response, Duration configured);

/// The value of the response's Age header; 0 when there is none.
Duration age_header(const base::Response& response);

/// A part of a response's body.
struct ByteRange {
  size_t first = 0;
  size_t size = 0;  ///< 0: the range begins beyond the end
};

/// Parses a Range header that contains a single range with a first byte.
/// @param range  the header's value
/// @param bytes  the size of the complete body
/// @return nothing for any other kind of range, which may be ignored
std::optional<ByteRange> parse_byte_range(std::string_view range, size_t bytes);

}  // namespace dunlinwing::cache
