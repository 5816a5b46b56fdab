// Requests that go through a shield, and receipts that are kept: what a shield may have
// had run is never promised not to run, and what it hands on is judged anew.
#include "net/node_under_test.hpp"
#include "support/byte_backend.hpp"
#include "support/scripted_peer.hpp"

namespace dunlinwing::test {
namespace {
constexpr int kShortMs = 300;  // of a client whose shield falls silent

// An address at which nobody listens.
std::string nobody() {
  ScriptedPeer gone([](int, const pb::PeerRequest&) { return std::string(); });
  return gone.address();
}

std::string forwarded(const pb::PeerRequest& ask, const std::function<void(pb::ForwardResponse&)>& fill) {
  pb::PeerResponse reply;
  reply.set_request_id(ask.request_id());
  fill(*reply.mutable_forward());
  return ScriptedPeer::frame(reply);
}

void hand_on(pb::ForwardResponse& reply, uint64_t age_ms) {
  reply.set_status(200);
  reply.set_body("from the shield");
  reply.set_cacheable(true);
  reply.set_age_ms(age_ms);
  reply.set_lifetime_ms(60000);
}

// The shield had it, then fell silent or cut; no backend instance can be reached directly.
void lost_shield() {
  for (std::string end : {"", "cut", "reset"}) {
    int asked = 0;
    ScriptedPeer shield([&](int, const pb::PeerRequest&) {
      ++asked;
      return end;
    });
    Relay relay(nobody(), shield.address());
    auto answer = relay.get("/kept/x", "a", kShortMs);
    same(asked, 1, "asks at the shield");
    same(answer.status, 502, "what the shield may have had run was promised not to run: status");
  }
}

// A shield's word that nothing ran, and will not, is passed on with when to come back.
void declined_by_shield() {
  ScriptedPeer shield([](int, const pb::PeerRequest& ask) {
    return forwarded(ask, [](pb::ForwardResponse& reply) {
      reply.set_not_executed(true);
      reply.set_rejected(true);
      reply.set_retry_after_ms(200);
    });
  });
  ByteBackend backend(Plan{});
  Relay relay(backend.address(), shield.address());
  auto answer = relay.get("/kept/x", "a");
  same(answer.status, 503, "its status");
  expect(!base::header(answer.headers, "Retry-After").empty(), "it was not told when to come back");
  same(backend.received_count("a"), 0, "direct sends around the shield");
}

// A forwarded answer that is past its life is fetched anew; a fresh one is served and kept.
void judged_again() {
  for (uint64_t age_ms : {uint64_t(0), uint64_t(59000), uint64_t(60000), uint64_t(90000)}) {
    ScriptedPeer shield([&](int, const pb::PeerRequest& ask) {
      return forwarded(ask, [&](pb::ForwardResponse& reply) { hand_on(reply, age_ms); });
    });
    ByteBackend backend(Plan{});
    Relay relay(backend.address(), shield.address());
    auto answer = relay.get("/kept/x", "a");
    same(answer.status, 200, "its status");
    same(answer.body, age_ms < 60000 ? std::string("from the shield") : good_body("a"),
         fmt::format("an answer handed on at the age of {} ms", age_ms));
    same(base::header(answer.headers, "Attempt-Id"), "a", "the request it names");
  }
}

// A kept answer is served within its life and never past it.
void lifetime() {
  ByteBackend backend(Plan{});
  Relay relay(backend.address());
  net::SystemClock clock;
  auto from = clock.now();
  same(relay.get("/brief/x", "first").body, good_body("first"), "the fetch");
  auto again = relay.get("/brief/x", "second").body;
  if (clock.now() - from < Duration(100)) same(again, good_body("first"), "a kept answer within its life");
  clock.sleep(Duration(120));
  same(relay.get("/brief/x", "third").body, good_body("third"), "a kept answer past its life");
}
}  // namespace

std::vector<Case> forward_cases() {
  return {{"forward: what a lost shield may have had run is not promised", lost_shield},
          {"forward: a shield's decline is passed on", declined_by_shield},
          {"forward: what a shield hands on is judged again", judged_again},
          {"forward: a kept answer ends with its life", lifetime}};
}

}  // namespace dunlinwing::test
