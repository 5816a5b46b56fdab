#include "net/message_framing.hpp"

#include <algorithm>
#include <vector>

#include "base/text.hpp"

namespace dunlinwing::net {
namespace http = boost::beast::http;

namespace {
constexpr int kBadRequest = 400;
constexpr int kNotImplemented = 501;
constexpr unsigned kVersionWithCodings = 11;  // HTTP/1.1

bool is_chunked(const std::string& coding) { return base::equals_ignore_case(coding, "chunked"); }

bool is_number(std::string_view text) {
  return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

/// The codings of all Transfer-Encoding fields, in order.
std::vector<std::string> transfer_codings(const http::fields& fields) {
  std::vector<std::string> codings;
  const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
  for (auto field = first; field != last; ++field)
    for (auto& coding : base::split_list(std::string_view(field->value()), ','))
      codings.push_back(std::move(coding));
  return codings;
}
}  // namespace

std::optional<FramingError> find_framing_error(const http::fields& fields, unsigned version) {
  const auto lengths = fields.count(http::field::content_length);
  if (lengths > 1) return FramingError{kBadRequest, "more than one Content-Length"};
  if (lengths == 1 && !is_number(std::string_view(fields[http::field::content_length])))
    return FramingError{kBadRequest, "a Content-Length that is not one number"};
  if (fields.count(http::field::transfer_encoding) == 0) return {};
  if (lengths > 0) return FramingError{kBadRequest, "both Content-Length and Transfer-Encoding"};
  if (version < kVersionWithCodings) return FramingError{kBadRequest, "Transfer-Encoding before HTTP/1.1"};
  const auto codings = transfer_codings(fields);
  if (codings.empty() || !is_chunked(codings.back()))
    return FramingError{kBadRequest, "the last transfer coding is not chunked"};
  if (std::count_if(codings.begin(), codings.end(), is_chunked) > 1)
    return FramingError{kBadRequest, "chunked more than once"};
  if (codings.size() > 1) return FramingError{kNotImplemented, "a transfer coding other than chunked"};
  return {};
}

bool has_folded_line(std::string_view head) {
  for (size_t at = head.find("\r\n"); at != std::string_view::npos; at = head.find("\r\n", at + 2))
    if (at + 2 < head.size() && (head[at + 2] == ' ' || head[at + 2] == '\t')) return true;
  return false;
}

}  // namespace dunlinwing::net
