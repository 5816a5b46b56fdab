// Calls between relays when the peer fails at each byte, responds twice, out of order
// or late, and when connections are reset while calls wait.
#include "net/peer_client.hpp"
#include "net/peer_connections.hpp"
#include "net/peer_server.hpp"
#include "support/scripted_peer.hpp"

namespace dunlinwing::test {
namespace {
constexpr Duration kPatience(60), kPlenty(10000);

pb::PeerRequest fetch(uint64_t name) {
  pb::PeerRequest request;
  request.mutable_artifact_read()->set_offset(name);
  return request;
}

pb::PeerResponse response_to(const pb::PeerRequest& request) {
  pb::PeerResponse response;
  response.mutable_artifact_chunk()->set_received(request.artifact_read().offset());
  return response;
}

using Answer = std::variant<pb::PeerResponse, base::PeerError>;

// True when the call was answered; a response to another call fails the test.
bool own(const Answer& answer, uint64_t name) {
  auto* response = std::get_if<pb::PeerResponse>(&answer);
  if (!response) return false;
  expect(response->has_artifact_chunk(), "a response of another kind");
  same(response->artifact_chunk().received(), name, "the call that a response belongs to");
  return true;
}

pb::PeerResponse numbered(const pb::PeerRequest& request) {
  auto response = response_to(request);
  response.set_request_id(request.request_id());
  return response;
}

// A response truncated at any byte is rejected, and the next call gets its own response.
void cut() {
  for (std::string end : {"cut", "reset", ""})
    for (bool kept : {false, true})
      for (size_t at = 0; at < ScriptedPeer::frame(numbered(fetch(7))).size(); ++at) {
        ScriptedPeer peer([&](int, const pb::PeerRequest& request) {
          auto whole = ScriptedPeer::frame(numbered(request));
          return request.artifact_read().offset() == 7 ? whole.substr(0, at) + end : whole;
        });
        net::PeerClient net;
        if (kept) expect(own(net.call(peer.address(), fetch(1), kPlenty), 1), "the first call");
        auto answer = net.call(peer.address(), fetch(7), kPatience);
        expect(!own(answer, 7), fmt::format("a response truncated after {} bytes was accepted", at));
        expect(own(net.call(peer.address(), fetch(9), kPlenty), 9), "the call after it");
      }
}

// The peer responds twice, in one segment or later, or to the previous call.
void duplicated() {
  for (int kind = 0; kind < 4; ++kind) {
    std::string before;
    ScriptedPeer peer([&](int, const pb::PeerRequest& request) {
      auto mine = ScriptedPeer::frame(numbered(request));
      auto last = std::exchange(before, mine);
      if (request.artifact_read().offset() % 3) return mine;
      switch (kind) {
        case 0:
          return mine + mine;
        case 1:
          return last;
        case 2:
          return last + mine;
        default:
          return mine + last.substr(0, 3);
      }
    });
    net::PeerClient net;
    int answered = 0;
    for (uint64_t name = 1; name <= 60; ++name)
      answered += own(net.call(peer.address(), fetch(name), kPatience), name);
    expect(answered >= 30, fmt::format("kind {}: only {} of 60 calls were answered", kind, answered));
  }
}

// A duplicate response arrives late, when the connection is idle or carries the next call.
void late_duplicate() {
  std::vector<std::shared_ptr<net::Connection>> lines;
  ScriptedPeer peer([&](int, const pb::PeerRequest& request) {
    auto mine = ScriptedPeer::frame(numbered(request));
    return request.artifact_read().offset() % 2
               ? mine
               : ScriptedPeer::frame(numbered(fetch(request.artifact_read().offset() - 1))) + mine;
  });
  net::PeerClient net;
  for (uint64_t name = 1; name <= 40; ++name) own(net.call(peer.address(), fetch(name), kPlenty), name);
}

// Many calls wait when all connections are reset; each later call gets its own response.
void reset_during_calls() {
  auto go = pool().condition();
  int waiting = 0;
  bool down = true;
  ScriptedPeer peer([&](int, const pb::PeerRequest& request) -> std::string {
    if (down) {
      ++waiting;
      while (down) net::SystemClock().sleep(1ms);
      return request.artifact_read().offset() % 2 ? "reset"
                                                  : ScriptedPeer::frame(numbered(request)) + "reset";
    }
    return ScriptedPeer::frame(numbered(request));
  });
  net::PeerClient net;
  constexpr int kCalls = 24;
  int left = kCalls, wrong = 0;
  for (int i = 0; i < kCalls; ++i)
    pool().spawn([&, i] {
      try {
        own(net.call(peer.address(), fetch(100 + i), kPlenty), 100 + i);
        expect(own(net.call(peer.address(), fetch(200 + i), kPlenty), 200 + i), "a call after the resets");
      } catch (const std::exception&) {
        ++wrong;
      }
      --left;
    });
  until([&] { return waiting == kCalls; }, "all calls wait");
  down = false;
  until([&] { return left == 0; }, "all calls end");
  same(wrong, 0, "calls with another call's response, or unanswered after the resets");
}

// A forwarded request whose response is lost on a reused connection is not sent again.
void forwarded_once() {
  int asked = 0;
  ScriptedPeer peer([&](int, const pb::PeerRequest& request) -> std::string {
    if (!request.has_forward()) return ScriptedPeer::frame(numbered(request));
    ++asked;
    return "reset";
  });
  net::PeerClient net;
  expect(own(net.call(peer.address(), fetch(1), kPlenty), 1), "the first call");
  pb::PeerRequest forward;
  forward.mutable_forward()->set_id("a");
  auto answer = net.call(peer.address(), forward, kPlenty);
  expect(std::holds_alternative<base::PeerError>(answer), "a response that was never sent");
  same(asked, 1, "times a forwarded request was sent");
}

// Calls to an unresponsive relay and to responsive ones, many more than the connection limit.
void bounded_connections() {
  constexpr size_t kMost = 6;
  constexpr int kCalls = 40, kPrompt = 4;
  constexpr Duration kSilentLimit(3000), kPromptLimit(2500);
  auto& connections = net::peer_connections();
  ScriptedPeer silent([&](int, const pb::PeerRequest&) -> std::string { return ""; });
  std::vector<std::unique_ptr<ScriptedPeer>> prompt;
  for (int i = 0; i < kPrompt; ++i)
    prompt.push_back(std::make_unique<ScriptedPeer>([&](int, const pb::PeerRequest& request) {
      net::SystemClock().sleep(1ms);
      return ScriptedPeer::frame(numbered(request));
    }));
  net::PeerClient net(kMost);
  expect(own(net.call(prompt[0]->address(), fetch(1), kPlenty), 1),
         "a first call, which closes idle connections of earlier cases");
  int left = (kPrompt + 1) * kCalls, answered = 0;
  size_t peak = 0;
  auto start_call = [&](const ScriptedPeer& peer, int name, Duration limit) {
    pool().spawn([&, name, limit] {
      answered += own(net.call(peer.address(), fetch(name), limit), name);
      peak = std::max(peak, connections.open());
      --left;
    });
  };
  for (int i = 0; i < kCalls; ++i) start_call(silent, i, kSilentLimit);
  for (auto& peer : prompt)
    for (int i = 0; i < kCalls; ++i) start_call(*peer, i, kPromptLimit);
  until(
      [&] {
        peak = std::max(peak, connections.open());
        return left == 0;
      },
      "all calls end");
  same(answered, kPrompt * kCalls, "calls answered by the responsive relays, beside an unresponsive one");
  expect(peak <= kMost, fmt::format("{} connections were open, {} are allowed", peak, kMost));
  expect(own(net.call(prompt[0]->address(), fetch(1), kPlenty), 1), "a call after them");
}

// Every call has a request id, which this process's server returns in its response.
void served() {
  std::string address;
  std::vector<uint64_t> numbers;
  for (int port = 23100 + static_cast<int>(::getpid() % 500);; ++port) {
    address = fmt::format("127.0.0.1:{}", port);
    if (!net::serve_peers(pool(), address, [&](const pb::PeerRequest& request, const auto&) {
          numbers.push_back(request.request_id());
          return response_to(request);
        }))
      break;
  }
  net::PeerClient net;
  for (uint64_t name = 1; name <= 5; ++name)
    expect(own(net.call(address, fetch(name), kPlenty), name), "a call");
  std::sort(numbers.begin(), numbers.end());
  expect(std::unique(numbers.begin(), numbers.end()) == numbers.end(), "a request id was used twice");
  expect(numbers.front() > 0, "a call without a request id");
}
}  // namespace

std::vector<Case> peer_cases() {
  return {{"peer: a reply truncated at any byte is rejected", cut},
          {"peer: replies given twice or out of order are not matched to another call", duplicated},
          {"peer: a late duplicate is not matched to another call", late_duplicate},
          {"peer: connections reset while calls wait", reset_during_calls},
          {"peer: a forwarded request is sent once", forwarded_once},
          {"peer: connections are bounded, and a silent relay does not exhaust them", bounded_connections},
          {"peer: each call has a unique request id", served}};
}

}  // namespace dunlinwing::test
