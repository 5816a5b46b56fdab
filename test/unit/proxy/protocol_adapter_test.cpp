// Which headers are forwarded, and the freshness lifetime from Cache-Control.
#include "proxy/protocol_adapter.hpp"

#include "cache/cacheability.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
// In milliseconds; -1: not cacheable.
int64_t lifetime_ms(base::Headers headers) {
  const base::Request request{"", "GET", "/x", "", {}};
  auto lifetime = cache::response_lifetime(request, {200, std::move(headers), "b"});
  return lifetime ? lifetime->count() : -1;
}

void lifetimes_by_headers() {
  same(lifetime_ms({{"Cache-Control", "max-age=5"}}), int64_t(5000), "max-age");
  same(lifetime_ms({{"Cache-Control", "max-age=5, S-MaxAge=\"2\""}}), int64_t(2000), "s-maxage");
  same(lifetime_ms({{"Cache-Control", "max-age=5"}, {"Cache-Control", "private"}}), int64_t(-1), "private");
  same(lifetime_ms({{"Cache-Control", "max-age=5"}, {"Vary", "Accept"}}), int64_t(-1), "vary");
  same(lifetime_ms({{"Cache-Control", "max-age=x"}}), int64_t(-1), "max-age is not a number");
  same(lifetime_ms({}), int64_t(-1), "no Cache-Control");
}

void headers_that_are_not_forwarded() {
  base::Response response;
  auto& headers = response.headers;
  headers = {{"connection", "close, X-Mine"}, {"X-Mine", "1"},          {"TE", "trailers"},
             {"dunlinwing-instance", "x"},    {"Idempotency-Key", "k"}, {"Accept", "a"}};
  proxy::native_protocol_adapter()->strip_internal_headers(response);
  expect(headers.size() == 3 && headers[2].name == "Via" && headers[0].name == "Idempotency-Key" &&
             headers[1].name == "Accept",
         "remaining headers");
}
}  // namespace

std::vector<Case> protocol_adapter_cases() {
  return {
      {"cache: lifetimes by RFC 9111", lifetimes_by_headers},
      {"headers: hop-by-hop and Dunlinwing- headers are not forwarded", headers_that_are_not_forwarded},
  };
}

}  // namespace dunlinwing::test
