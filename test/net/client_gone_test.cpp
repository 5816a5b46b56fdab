// Clients that disconnect before their response: every operation that waits on their behalf is cancelled at
// once. A fetch that others share continues, and so does a running request that must not be sent twice.
#include "net/node_under_test.hpp"
#include "net/peer_server.hpp"
#include "support/holding_backend.hpp"
#include "support/scripted_peer.hpp"

namespace dunlinwing::test {
namespace {
constexpr Duration kAtOnce{400};  // within which a disconnect must take effect everywhere
constexpr Duration kLater{300};   // after which an event is assumed not to happen

/// A relay behind its own HTTP server, as clients reach it.
struct Front {
  Relay relay;
  TestServer server;

  explicit Front(const std::string& backend, const std::string& shield = {})
      : relay(backend, shield), server({}, [this](base::Request& request) { return relay.get(request); }) {}

  /// A client that has sent a request.
  std::unique_ptr<RawClient> client(const std::string& method, const std::string& target,
                                    const std::string& id, const std::string& more_headers = {}) const {
    auto client = std::make_unique<RawClient>(server.address);
    client->send(
        fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {}\r\n"
                    "Time-Remaining: {}\r\n{}Content-Length: 0\r\n\r\n",
                    method, target, id, kPlentyMs, more_headers));
    return client;
  }
};

/// Waits for the condition, at most kAtOnce.
void expect_at_once(const std::function<bool()>& holds, const std::string& what) {
  net::SystemClock clock;
  for (const auto end = clock.now() + kAtOnce; !holds() && clock.now() < end;) clock.sleep(1ms);
  expect(holds(), "not at once: " + what);
}

void wait_a_while() { net::SystemClock().sleep(kLater); }

void attempt_ends() {
  HoldingBackend backend;
  Front front(backend.address());
  for (const std::string target : {"/any/x", "/kept/x"}) {
    auto client = front.client("GET", target, target);
    until([&] { return backend.has(target); }, "the request runs");
    client.reset();
    expect_at_once([&] { return backend.was_abandoned(target); }, "the end of the attempt on " + target);
    wait_a_while();
    same(backend.count(target), 1, "attempts at " + target);
  }
}

void client_reset_ends_attempt() {
  HoldingBackend backend;
  Front front(backend.address());
  auto client = front.client("GET", "/any/x", "a");
  until([&] { return backend.has("a"); }, "the request runs");
  client->connection->reset();
  expect_at_once([&] { return backend.was_abandoned("a"); }, "the end of the attempt");
}

void pipelined_request_is_no_end() {
  HoldingBackend backend;
  Front front(backend.address());
  auto client = front.client("GET", "/any/x", "a");
  until([&] { return backend.has("a"); }, "the request runs");
  client->send("GET /any/y HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: b\r\n\r\n");
  wait_a_while();
  expect(!backend.was_abandoned("a"), "a further request was taken for the client's end");
  client.reset();
  expect_at_once([&] { return backend.was_abandoned("a"); },
                 "the end of the attempt when the client disconnects after a further request");
  wait_a_while();
  expect(!backend.has("b"), "the further request ran");
}

void unsafe_and_keyed_runs_go_on() {
  HoldingBackend backend;
  Front front(backend.address());
  auto unsafe = front.client("POST", "/once/x", "unsafe");
  auto keyed = front.client("POST", "/any/x", "keyed", "Idempotency-Key: k\r\n");
  until([&] { return backend.has("unsafe") && backend.has("keyed"); }, "both run");
  unsafe.reset();
  keyed.reset();
  wait_a_while();
  for (const std::string id : {"unsafe", "keyed"}) {
    expect(!backend.was_abandoned(id), "the running attempt was cancelled: " + id);
    backend.release(id);
  }
}

void queued_request_is_not_sent() {
  HoldingBackend backend;
  Front front(backend.address());
  auto first = front.client("GET", "/narrow/x", "first");
  until([&] { return backend.has("first"); }, "the first runs");
  auto repeatable = front.client("GET", "/narrow/y", "repeatable");
  auto unsafe = front.client("POST", "/narrow-once/y", "unsafe");
  until([&] { return front.server.http_server.running_requests() == 3; }, "two requests wait");
  repeatable.reset();
  unsafe.reset();
  expect_at_once([&] { return front.server.http_server.running_requests() == 1; },
                 "the end of the waiting requests");
  backend.release("first");
  wait_a_while();
  expect(!backend.has("repeatable") && !backend.has("unsafe"), "a waiting request was sent");
  auto last = front.client("GET", "/narrow/z", "last");
  until([&] { return backend.has("last"); }, "the queue continues");
}

void paced_request_is_not_sent() {
  HoldingBackend backend;
  Front front(backend.address());
  auto client = front.client("GET", "/paced/x", "a");
  until([&] { return front.server.http_server.running_requests() == 1; },
        "the request waits for the rate limit");
  client.reset();
  expect_at_once([&] { return front.server.http_server.running_requests() == 0; }, "the end of the wait");
  net::SystemClock().sleep(kPacedInterval);
  expect(!backend.has("a"), "the request was sent");
}

void no_retry() {
  HoldingBackend backend;
  Front front(backend.address());
  auto client = front.client("POST", "/any/x", "a", "Idempotency-Key: k\r\n");
  until([&] { return backend.has("a"); }, "the request runs");
  client.reset();
  wait_a_while();
  backend.cut("a");
  wait_a_while();
  same(backend.count("a"), 1, "attempts for a client that had disconnected");
}

/// The clients of a running fetch: the one whose request started it, and another that waits for it.
std::pair<std::unique_ptr<RawClient>, std::unique_ptr<RawClient>> share_fetch(const Front& front,
                                                                              const HoldingBackend& backend) {
  auto first = front.client("GET", "/kept/x", "first");
  until([&] { return backend.has("first"); }, "the fetch runs");
  auto second = front.client("GET", "/kept/x", "second");
  until([&] { return front.server.http_server.running_requests() == 2; }, "another waits for it");
  return {std::move(first), std::move(second)};
}

void shared_fetch_goes_on() {
  HoldingBackend backend;
  Front front(backend.address());
  auto [first, second] = share_fetch(front, backend);
  first.reset();
  wait_a_while();
  expect(!backend.was_abandoned("first"), "a fetch that another waits for was ended");
  backend.release("first");
  const auto answer = second->read("made for first");
  expect(answer.starts_with("HTTP/1.1 200") && !backend.has("second"),
         "the other client was answered " + answer);
}

void fetch_ends_with_the_last() {
  HoldingBackend backend;
  Front front(backend.address());
  auto [first, second] = share_fetch(front, backend);
  first.reset();
  second.reset();
  expect_at_once([&] { return backend.was_abandoned("first"); }, "the end of the fetch");
  auto third = front.client("GET", "/kept/x", "third");
  until([&] { return backend.has("third"); }, "a later request starts a new fetch");
}

void shield_is_left() {
  auto may_answer = pool().condition();
  int asked = 0, answered = 0;
  ScriptedPeer shield([&](int, const pb::PeerRequest&) {
    ++asked;
    may_answer->wait(20s);
    ++answered;
    return std::string("cut");
  });
  HoldingBackend backend;
  Front front(backend.address(), shield.address());
  auto client = front.client("GET", "/kept/x", "a");
  until([&] { return asked == 1; }, "the shield is called");
  client.reset();
  expect_at_once([&] { return front.server.http_server.running_requests() == 0; },
                 "the end of the wait for the shield");
  may_answer->notify();
  until([&] { return answered == 1; }, "the shield ends");
  wait_a_while();
  expect(!backend.has("a"), "the request was sent directly, bypassing the shield");
}
/// Serves a relay to others, as their shield.
std::string serve_as_shield(Relay& relay) {
  constexpr int kFirstPort = 22500, kPorts = 500;
  for (int port = kFirstPort + static_cast<int>(::getpid() % kPorts);; ++port) {
    std::string address = fmt::format("127.0.0.1:{}", port);
    const auto handler = [&relay](const pb::PeerRequest& call, const base::CancellationPtr& cancellation) {
      pb::PeerResponse response;
      *response.mutable_forward() = relay.forward(call.forward(), cancellation);
      return response;
    };
    if (!net::serve_peers(pool(), address, handler)) return address;
  }
}

// The disconnect cancels the shield's own attempt, unless another relay waits for the same fetch.
void shield_ends_its_attempt() {
  static HoldingBackend backend;  // the server of peers lives as long as the process
  static Relay shield(backend.address());
  const std::string address = serve_as_shield(shield);
  Front one("127.0.0.1:1", address);
  Front other("127.0.0.1:1", address);
  auto first = one.client("GET", "/kept/x", "first");
  until([&] { return backend.has("first"); }, "the shield fetches");
  auto second = other.client("GET", "/kept/x", "second");
  wait_a_while();
  first.reset();
  wait_a_while();
  expect(!backend.was_abandoned("first"), "a fetch that another relay waits for was ended");
  second.reset();
  expect_at_once([&] { return backend.was_abandoned("first"); }, "the end of the shield's attempt");
}
}  // namespace

std::vector<Case> client_gone_cases() {
  return {{"gone: the attempt of a disconnected client is cancelled", attempt_ends},
          {"gone: also when the client's connection is reset", client_reset_ends_attempt},
          {"gone: a pipelined request does not count as a disconnect", pipelined_request_is_no_end},
          {"gone: running unsafe and keyed requests continue", unsafe_and_keyed_runs_go_on},
          {"gone: a request in the admission queue is not sent", queued_request_is_not_sent},
          {"gone: a request that waits for the origin's rate is not sent", paced_request_is_not_sent},
          {"gone: no attempt is retried", no_retry},
          {"gone: a fetch that others wait for continues", shared_fetch_goes_on},
          {"gone: a fetch ends when the last client that waits for it disconnects", fetch_ends_with_the_last},
          {"gone: the wait for a shield ends", shield_is_left},
          {"gone: a shield ends a fetch that no relay waits for", shield_ends_its_attempt}};
}

}  // namespace dunlinwing::test
