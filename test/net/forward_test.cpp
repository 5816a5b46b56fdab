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

// A backend that reads each request and closes the connection without a response.
ScriptedBackend::Script cut_all() {
  return [](int, int, const std::string&) { return std::string("cut"); };
}

constexpr int kAllowedAttempts = 2;  // of the route /kept/ (node_under_test.hpp)

struct ShieldReply {
  std::string name;
  std::function<std::string(const pb::PeerRequest&)> reply;
  int left;  ///< attempts that the entry node may make itself
};

// A request of a route that allows two attempts is sent to two backend instances at most, over all its paths.
//
// Guards against: each shield, and then the entry node, counted the attempts anew, so that one try of a
// request ran on up to three times as many instances as allowed.
void one_account_of_attempts() {
  const auto unknown_after = [](uint32_t attempts) {
    return [attempts](const pb::PeerRequest& request) {
      return forwarded(request, [attempts](pb::ForwardResponse& response) {
        response.set_outcome_unknown(true);
        response.set_attempts(attempts);
      });
    };
  };
  const auto ends_with = [](std::string end) { return [end](const pb::PeerRequest&) { return end; }; };
  const std::vector<ShieldReply> replies = {
      {"it used one attempt", unknown_after(1), 1},
      {"it used both", unknown_after(2), 0},
      {"it used more than it was given", unknown_after(9), 0},
      {"it does not say how many", unknown_after(0), 0},
      {"its connection ended", ends_with("cut"), 0},
      {"its connection was reset", ends_with("reset"), 0},
      {"it was not ready",
       [](const pb::PeerRequest& request) {
         return forwarded(request, [](pb::ForwardResponse& response) { response.set_not_executed(true); });
       },
       kAllowedAttempts},
  };
  for (const auto& shield_reply : replies) {
    uint32_t granted = 0;
    ScriptedPeer shield([&](int, const pb::PeerRequest& request) {
      granted = request.forward().attempts_left();
      return shield_reply.reply(request);
    });
    ScriptedBackend backend(cut_all());
    Relay relay(backend.addr(), shield.address());
    same(relay.get("/kept/x", "a").status, 502, shield_reply.name + ": the status");
    same(granted, uint32_t(kAllowedAttempts), shield_reply.name + ": the attempts that the shield was given");
    same(backend.served, shield_reply.left, shield_reply.name + ": attempts of the entry node");
  }
  ScriptedBackend backend(cut_all());
  Relay relay(backend.addr(), unused_address());
  relay.get("/kept/x", "a");
  same(backend.served, kAllowedAttempts, "attempts of the entry node when the shield is unreachable");
}

pb::ForwardRequest forward_request(uint32_t attempts_left) {
  pb::ForwardRequest request;
  request.set_configuration("l");
  request.set_service("s");
  request.set_target("/kept/x");
  request.set_remaining_ms(kPlentyMs);
  request.set_attempts_left(attempts_left);
  return request;
}

// A process of an earlier version sends no number: then one is left.
void shield_uses_what_is_left() {
  for (const auto& [left, used] : std::map<uint32_t, int>{{0, 1}, {1, 1}, {2, 2}, {9, 2}, {UINT32_MAX, 2}}) {
    ScriptedBackend backend(cut_all());
    Relay relay(backend.addr());
    const auto response = relay.forward(forward_request(left), nullptr);
    same(backend.served, used, fmt::format("attempts of a shield that was given {}", left));
    same(response.attempts(), static_cast<uint32_t>(used),
         fmt::format("the attempts it reports of {}", left));
    expect(response.outcome_unknown() && !response.not_executed(), "the outcome is reported as known");
  }
}

// Every instance said that it did not run the request: so does the shield, and nothing is sent again.
void refused_by_all_instances() {
  ScriptedBackend backend([](int, int, const std::string& head) {
    const auto at = head.find("Attempt-Id: ") + 12;
    const auto id = head.substr(at, head.find('\r', at) - at);
    return "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\nAttempt-Id: " + id + "\r\n\r\n";
  });
  Relay relay(backend.addr());
  const auto response = relay.forward(forward_request(kAllowedAttempts), nullptr);
  same(backend.served, kAllowedAttempts, "attempts");
  expect(response.not_executed() && response.rejected() && !response.outcome_unknown(),
         "a refusal by all instances is reported as an unknown outcome");
}

// A header's value may hold octets that are not UTF-8.
//
// Guards against: the shield's response was dropped for them, and the request ran again elsewhere.
void octets_beyond_ascii() {
  const std::string octets = "caf\xe9 \xff\xfe";
  int asked = 0;
  ScriptedPeer shield([&](int, const pb::PeerRequest& request) {
    ++asked;
    expect(request.forward().target() == "/kept/\xe9", "the target was changed");
    return forwarded(request, [&](pb::ForwardResponse& response) {
      fill_response(response, 0);
      auto* header = response.add_headers();
      header->set_name("X-Name");
      header->set_value(octets);
    });
  });
  ScriptedBackend backend(cut_all());
  Relay relay(backend.addr(), shield.address());
  const auto answer = relay.get("/kept/\xe9", "a");
  same(answer.status, 200, "the status");
  expect(base::header(answer.headers, "X-Name") == octets, "the value was changed");
  same(asked, 1, "calls to the shield");
  same(backend.served, 0, "requests that ran again");
}
}  // namespace

std::vector<Case> forward_cases() {
  return {{"forward: what a lost shield may have executed is not reported as not executed", lost_shield},
          {"forward: a shield's decline is passed on", declined_by_shield},
          {"forward: what a shield hands on is checked for freshness again", judged_again},
          {"forward: a request has one account of attempts over all its paths", one_account_of_attempts},
          {"forward: a shield uses the attempts that are left", shield_uses_what_is_left},
          {"forward: a refusal by all instances is passed on as one", refused_by_all_instances},
          {"forward: octets that are not UTF-8 are passed on", octets_beyond_ascii},
          {"forward: a kept answer ends with its lifetime", lifetime}};
}

}  // namespace dunlinwing::test
