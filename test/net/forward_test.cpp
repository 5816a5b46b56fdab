// Requests forwarded to a shield, and cached responses: a request that a shield may have
// executed is never reported as not executed, and its responses' freshness is rechecked.
#include "net/node_under_test.hpp"
#include "support/byte_backend.hpp"
#include "support/scripted_peer.hpp"

namespace dunlinwing::test {
namespace {
constexpr int kShortMs = 300;  // timeout of a client whose shield stops responding

// An address without a listening socket.
std::string unused_address() {
  ScriptedPeer gone([](int, const pb::PeerRequest&) { return std::string(); });
  return gone.address();
}

std::string forwarded(const pb::PeerRequest& request, const std::function<void(pb::ForwardResponse&)>& fill) {
  pb::PeerResponse response;
  response.set_request_id(request.request_id());
  fill(*response.mutable_forward());
  return ScriptedPeer::frame(response);
}

void fill_response(pb::ForwardResponse& response, uint64_t age_ms) {
  response.set_status(200);
  response.set_body("from the shield");
  response.set_cacheable(true);
  response.set_age_ms(age_ms);
  response.set_lifetime_ms(60000);
}

// The shield received the request, then stopped responding or closed the connection; no backend instance can
// be reached directly.
void lost_shield() {
  for (std::string end : {"", "cut", "reset"}) {
    int asked = 0;
    ScriptedPeer shield([&](int, const pb::PeerRequest&) {
      ++asked;
      return end;
    });
    Relay relay(unused_address(), shield.address());
    auto answer = relay.get("/kept/x", "a", kShortMs);
    same(asked, 1, "calls to the shield");
    same(answer.status, 502, "the status of a request that the shield may have executed");
  }
}

// A shield's response that the request did not run is passed on, with Retry-After.
void declined_by_shield() {
  ScriptedPeer shield([](int, const pb::PeerRequest& request) {
    return forwarded(request, [](pb::ForwardResponse& response) {
      response.set_not_executed(true);
      response.set_rejected(true);
      response.set_retry_after_ms(200);
    });
  });
  ByteBackend backend(Plan{});
  Relay relay(backend.address(), shield.address());
  auto answer = relay.get("/kept/x", "a");
  same(answer.status, 503, "its status");
  expect(!base::header(answer.headers, "Retry-After").empty(), "the response has no Retry-After");
  same(backend.received_count("a"), 0, "direct requests that bypassed the shield");
}

// A forwarded response that has expired is fetched again; a fresh one is served and cached.
void judged_again() {
  for (uint64_t age_ms : {uint64_t(0), uint64_t(59000), uint64_t(60000), uint64_t(90000)}) {
    ScriptedPeer shield([&](int, const pb::PeerRequest& request) {
      return forwarded(request, [&](pb::ForwardResponse& response) { fill_response(response, age_ms); });
    });
    ByteBackend backend(Plan{});
    Relay relay(backend.address(), shield.address());
    auto answer = relay.get("/kept/x", "a");
    same(answer.status, 200, "its status");
    same(answer.body, age_ms < 60000 ? std::string("from the shield") : good_body("a"),
         fmt::format("a response forwarded at the age of {} ms", age_ms));
    same(base::header(answer.headers, "Attempt-Id"), "a", "its Attempt-Id");
  }
}

// A cached response is served within its lifetime and never after it.
void lifetime() {
  ByteBackend backend(Plan{});
  Relay relay(backend.address());
  net::SystemClock clock;
  auto from = clock.now();
  same(relay.get("/brief/x", "first").body, good_body("first"), "the fetch");
  auto again = relay.get("/brief/x", "second").body;
  if (clock.now() - from < Duration(100))
    same(again, good_body("first"), "a cached response within its lifetime");
  clock.sleep(Duration(120));
  same(relay.get("/brief/x", "third").body, good_body("third"), "a cached response after its lifetime");
}
}  // namespace

std::vector<Case> forward_cases() {
  return {{"forward: what a lost shield may have executed is not reported as not executed", lost_shield},
          {"forward: a shield's decline is passed on", declined_by_shield},
          {"forward: what a shield hands on is checked for freshness again", judged_again},
          {"forward: a kept answer ends with its lifetime", lifetime}};
}

}  // namespace dunlinwing::test
