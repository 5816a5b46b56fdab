/// @file
/// How the length of a message's body is stated (RFC 9112, section 6), more strictly than Beast reads it:
/// what is not accepted here could be read as another message by the next recipient.
///
/// Accepted: no Transfer-Encoding and at most one Content-Length, or, in HTTP/1.1, a Transfer-Encoding that
/// is `chunked` alone and no Content-Length. Pure functions.
#pragma once
#include <boost/beast/http/fields.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace dunlinwing::net {

/// Why a message is rejected.
struct FramingError {
  int status = 400;  ///< of the response to a request: 501 for a coding that is not implemented, else 400
  std::string reason;
};

/// @param fields   of the message's head
/// @param version  of HTTP, 10 or 11
std::optional<FramingError> find_framing_error(const boost::beast::http::fields& fields, unsigned version);

/// Whether a line of the head is folded: obsolete, and read differently by different recipients.
/// @param head  the bytes of a head, with the empty line at its end
bool has_folded_line(std::string_view head);

}  // namespace dunlinwing::net
