/// @file
/// What the headers of a request and of a response allow a shared cache to do (RFC 9111), and which part
/// of a response a range asks for (RFC 9110). Pure functions: no state, no time of their own.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::cache {

/// Whether a request may be answered from the cache.
/// @param conditions_answered  single ranges and If-None-Match are answered from whole responses, so they
///                             do not keep the request from the cache
bool is_cacheable_request(const base::Request& request, bool conditions_answered);

/// How long a shared cache may keep the response by its own headers; nothing when it may not.
std::optional<Duration> response_lifetime(const base::Request& request, const base::Response& response);

/// The lifetime that the configuration states, unless the response forbids that it is kept.
std::optional<Duration> configured_lifetime(const base::Response& response, Duration configured);

/// The Age that a response came with; 0 when it names none.
Duration age_header(const base::Response& response);

/// A part of a response's body.
struct ByteRange {
  size_t first = 0;
  size_t size = 0;  ///< 0: it begins beyond the end
};

/// The part that a Range header asks for when it is a single range that names its first byte.
/// @param range  the header's value
/// @param bytes  the size of the whole body
/// @return nothing for any other kind of range, which may be ignored
std::optional<ByteRange> parse_byte_range(std::string_view range, size_t bytes);

}  // namespace dunlinwing::cache
