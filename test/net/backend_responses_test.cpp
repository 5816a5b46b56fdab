// Requests through RequestHandler and real connections to a backend that fails at
// each byte in turn. A non-idempotent request reaches a backend completely at most
// once, no client gets another request's response, a truncated response never counts
// as complete, and a request reported as not executed never runs.
#include "net/node_under_test.hpp"
#include "support/byte_backend.hpp"

namespace dunlinwing::test {
namespace {
constexpr int kFibers = 24;      // cases run concurrently
constexpr int kPatienceMs = 60;  // timeout of a client whose backend stops responding

bool reports_not_executed(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Checks that a response is allowed, whatever fault occurred.
void check_response(const base::Response& answer, const std::string& id, const ByteBackend& backend,
                    bool safe) {
  bool named_other = base::header(answer.headers, "Attempt-Id") != id;
  expect(!named_other, "the response has another request's Attempt-Id");
  if (answer.status < 300) {
    same(answer.body, good_body(id), "a successful response without its complete body");
    same(base::header(answer.headers, "Edge-Signature"), "s." + id,
         "a successful response with another request's Edge-Signature");
  }
  if (safe) return;
  expect(backend.received_count(id) <= 1,
         fmt::format("the request ran {} times", backend.received_count(id)));
  if (reports_not_executed(answer.status))
    same(backend.received_count(id), 0, "runs of a request reported as not executed");
}

struct FaultCase {
  Plan plan;
  bool safe = false;
  bool kept = false;  // the connection has carried an earlier request
  std::string text() const {
    return fmt::format("trouble {} {} byte {}, {}, {}, {}", static_cast<int>(plan.fault),
                       plan.receiving ? "receiving" : "sending", plan.at, plan.chunked ? "chunked" : "length",
                       safe ? "repeatable" : "once", kept ? "kept connection" : "new connection");
  }
};

// Sends the request that meets the fault, then another client's request to the same relay.
base::Response run_case(const FaultCase& one) {
  ByteBackend backend(one.plan);
  Relay relay(backend.address());
  if (one.kept)
    same(relay.post("warm-up", false, kPlentyMs).status, 200,
         "the status of the first request on the connection");
  backend.expect_victim();
  bool silent = one.plan.fault == BackendFault::silence;
  auto answer = relay.post(one.plan.victim, one.safe, silent ? kPatienceMs : kPlentyMs);
  auto next = relay.post("follower", false, kPlentyMs);
  // Late bytes may arrive where the next response is expected, so the next request's outcome may be unknown.
  bool in_doubt = !one.plan.later.empty() && next.status == 502;
  if (!in_doubt) same(next.status, 200, "the status of the next client's response");
  check_response(next, "follower", backend, false);
  check_response(answer, one.plan.victim, backend, one.safe);
  return answer;
}

// Runs all cases, kFibers of them concurrently, and reports the first that failed.
void run_cases(const std::vector<FaultCase>& all, const std::function<void(const FaultCase&)>& one) {
  size_t next = 0;
  int running = kFibers, failures = 0;
  std::string first;
  for (int fiber = 0; fiber < kFibers; ++fiber)
    pool().spawn([&] {
      while (next < all.size()) {
        auto& mine = all[next++];
        try {
          one(mine);
        } catch (const std::exception& e) {
          if (!failures++) first = fmt::format("{}: {}", mine.text(), e.what());
        }
      }
      --running;
    });
  net::SystemClock clock;
  while (running) clock.sleep(1ms);
  expect(failures == 0, fmt::format("{} of {} cases, first {}", failures, all.size(), first));
}

size_t request_bytes() {
  ByteBackend backend(Plan{});
  Relay relay(backend.address());
  relay.post("victim", false, kPlentyMs);
  return backend.request_bytes();
}

std::vector<FaultCase> cuts(bool receiving, BackendFault fault) {
  std::vector<FaultCase> all;
  for (bool chunked : {false, true}) {
    if (receiving && chunked) continue;
    auto bytes = receiving ? request_bytes() : good_answer("victim", chunked).size();
    bool lasting = !receiving &&
                   fault == BackendFault::silence;  // after a complete response it would affect the next one
    for (bool safe : {false, true})
      for (bool kept : {false, true})
        for (size_t at = 0; at < bytes + !lasting; ++at) {
          Plan plan{"victim", fault, receiving, at, chunked};
          all.push_back({plan, safe, kept});
        }
  }
  return all;
}

void each_byte(bool receiving) {
  constexpr size_t kDigits = 4;  // by which the Time-Remaining value may be shorter
  auto shortest = request_bytes() - kDigits;
  for (auto fault : {BackendFault::close, BackendFault::reset, BackendFault::silence}) {
    run_cases(cuts(receiving, fault), [&](const FaultCase& one) {
      auto answer = run_case(one);
      bool lost = one.plan.at < (receiving ? shortest : good_answer("victim", one.plan.chunked).size());
      if (!lost) return;
      if (one.safe && fault != BackendFault::silence)
        same(answer.status, 200, "an idempotent request is retried at the second backend instance");
      else if (!receiving || one.plan.at > 0)  // at 0 the connection may end before a byte is sent
        same(answer.status, 502, "the status after the response was lost");
    });
  }
}

// Unsolicited responses, at every position where they may occur.
std::vector<FaultCase> extra_answers() {
  std::vector<FaultCase> all;
  const std::string bare_decline = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  const std::string bare_error = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
  auto named = [](int status, const char* id) {
    return fmt::format(
        "HTTP/1.1 {} X\r\nAttempt-Id: {}\r\nEdge-Signature: s.{}\r\nContent-Length: 5\r\n\r\nextra", status,
        id, id);
  };
  for (auto& extra : {named(200, "older"), named(503, "older"), named(200, "victim"), bare_decline,
                      bare_error, std::string("HTTP/1.1 100 Continue\r\n\r\n"), std::string("rubbish"),
                      std::string("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort")})
    for (bool chunked : {false, true})
      for (bool safe : {false, true})
        for (bool kept : {false, true}) {
          Plan plan{"victim"};
          plan.chunked = chunked;
          bool own = extra == named(200, "victim"), bare = extra == bare_decline;
          for (auto place : {&Plan::before, &Plan::together, &Plan::later}) {
            // The first response on a connection is the request's own, also without an id.
            if (place == &Plan::before && bare && !kept) continue;
            if (place == &Plan::before && own) continue;
            auto with = plan;
            with.*place = extra;
            all.push_back({with, safe, kept});
          }
          if (own || bare) continue;
          auto early = plan;
          early.receiving = true;
          early.early = extra;
          for (size_t at : {size_t(1), size_t(20), size_t(60)}) {
            early.at = at;
            all.push_back({early, safe, kept});
          }
        }
  return all;
}

void extras() {
  run_cases(extra_answers(), [](const FaultCase& one) { run_case(one); });
}

// A connection that carried another request's response is closed after this request.
void reuse() {
  auto other = good_answer("older", false);
  for (auto place : {&Plan::before, &Plan::together, &Plan::later}) {
    Plan plan{"victim"};
    plan.*place = other;
    ByteBackend backend(plan);
    Relay relay(backend.address());
    relay.post("warm-up", true, kPlentyMs);
    same(relay.connections_to(backend.address()), 1, "open connections after a good response");
    same(relay.post("victim", true, kPlentyMs).status, 200,
         "a response with another request's response beside it");
    until([&] { return relay.connections_to(backend.address()) == 0; }, "its connection is closed");
  }
}

// A backend sends a 503 without an Attempt-Id, and again where the next response is expected. The
// second one must not count as the response to the next request, which runs.
void bare_decline_again() {
  const std::string decline = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  ScriptedBackend backend([&](int connection, int request, const std::string& head) {
    auto at = head.find("Attempt-Id: ") + 12;
    auto id = head.substr(at, head.find('\r', at) - at);
    if (request == 0) return decline;
    if (request == 1) return decline;
    return (connection == 0 || connection == 1 ? decline : std::string()) + good_answer(id, false);
  });
  Relay relay(backend.addr());
  same(relay.post("first", false, kPlentyMs).status, 503, "the status after both instances declined");
  auto answer = relay.post("second", false, kPlentyMs);
  same(answer.status, 200, "the status of a request that ran");
  same(answer.body, good_body("second"), "its body");
}

// An error response without an Attempt-Id does not count as the response to this request.
void nameless_error() {
  for (int status : {400, 404, 500, 504}) {
    ScriptedBackend backend([&](int, int, const std::string&) {
      return fmt::format("HTTP/1.1 {} X\r\nContent-Length: 5\r\n\r\nwhose", status);
    });
    Relay relay(backend.addr());
    auto answer = relay.post("victim", false, kPlentyMs);
    same(answer.status, 502, fmt::format("the status after a {} without an Attempt-Id", status));
    expect(answer.body.find("whose") == std::string::npos,
           "the body of a response without an Attempt-Id was passed on");
  }
}

// An unrequested 206 or 304 does not count as the complete object.
void parts_unasked() {
  for (int status : {206, 304}) {
    ScriptedBackend backend([&](int, int, const std::string&) {
      return fmt::format(
          "HTTP/1.1 {} X\r\nAttempt-Id: a\r\nEdge-Signature: s.a\r\nContent-Range: bytes 0-3/9\r\n"
          "Content-Length: {}\r\n\r\n{}",
          status, 4, status == 304 ? "" : "part");
    });
    Relay relay(backend.addr());
    for (auto* target : {"/kept/x", "/any/x"}) {
      base::Request request{
          "", "GET", target, "", {{"Host", "h"}, {"Attempt-Id", "a"}, {"Time-Remaining", "5000"}}};
      same(relay.get(request).status, 502,
           fmt::format("the status after a {} to a request without a Range or condition for {}", status,
                       target));
    }
  }
}

// A request body exceeds the socket buffers, so part of it is unsent when the request to a frozen backend
// is abandoned. The resumed backend must not receive the rest: the client already has its response.
void thawed() {
  constexpr int kFrozenMs = 200;
  for (bool safe : {false, true})
    for (size_t bytes : {size_t(512) << 10, size_t(1) << 20, size_t(2) << 20, size_t(12) << 20}) {
      ByteBackend backend(Plan{"none"});
      Relay relay(backend.address());
      relay.post("warm-up", true, kPlentyMs);
      backend.freeze();
      auto answer = relay.post("victim", safe, kFrozenMs, std::string(bytes, 'b'));
      backend.thaw();
      net::SystemClock().sleep(100ms);
      same(backend.received_count("victim"), 0,
           "runs of a request that was abandoned before it was sent completely");
      if (reports_not_executed(answer.status))
        expect(!backend.begun("victim"), "a request reported as not executed was partly sent");
    }
}

// Responses are cached by service, host, path and query; no client gets another object.
void keys() {
  ScriptedBackend backend([](int, int, const std::string& head) {
    auto value = [&](const std::string& name) {
      auto at = head.find(name) + name.size();
      return head.substr(at, head.find('\r', at) - at);
    };
    auto body = value("GET ") + " of " + value("Host: ");
    return fmt::format(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nEdge-Signature: s\r\nETag: \"1\"\r\nContent-Length: "
        "{}\r\n\r\n{}",
        value("Attempt-Id: "), body.size(), body);
  });
  Relay relay(backend.addr());
  int number = 0;
  for (int round = 0; round < 2; ++round)
    for (std::string host : {"a.example", "b.example", "a|/kept", "a"})
      for (std::string target :
           {"/kept/x", "/kept/x?q", "/kept/x?q=1", "/kept/X", "/kept/kept/x", "/kept|/kept/x"}) {
        base::Request request{
            "", "GET", target, "", {{"Host", host}, {"Attempt-Id", std::to_string(++number)}}};
        auto answer = relay.get(request);
        if (answer.status == 404) continue;
        same(answer.body, target + " HTTP/1.1 of " + host, "the object");
        same(base::header(answer.headers, "Attempt-Id"), std::to_string(number), "the request's Attempt-Id");
        request.headers.emplace_back("Range", "bytes=3-");
        auto part = relay.get(request);
        same(part.status, 206, "a range's status");
        same(part.body, answer.body.substr(3), "a range");
        same(relay.get(request).status, 206, "a range's status, repeated");
        request.headers.back() = {"If-None-Match", "\"1\""};
        auto confirmed = relay.get(request);
        same(confirmed.status, 304, "a 304's status");
        same(confirmed.body, "", "a 304's body");
      }
}

// Many requests wait for one fetch; the fetching request loses its response, or times out.
void coalesced() {
  for (bool cut : {false, true}) {
    int fetched = 0;
    ScriptedBackend backend([&](int, int, const std::string& head) {
      auto at = head.find("Attempt-Id: ") + 12;
      auto id = head.substr(at, head.find('\r', at) - at);
      net::SystemClock().sleep(10ms);
      if (fetched++ == 0 && cut) return std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalfcut");
      return good_answer(id, false);
    });
    Relay relay(backend.addr());
    int left = 12;
    std::string wrong;
    for (int i = 0; i < 12; ++i)
      pool().spawn([&, i] {
        auto id = fmt::format("c{}", i);
        auto patience = i == 0 ? "5" : "5000";
        base::Request request{
            "", "GET", "/kept/x", "", {{"Host", "h"}, {"Attempt-Id", id}, {"Time-Remaining", patience}}};
        auto answer = relay.get(request);
        if (base::header(answer.headers, "Attempt-Id") != id) wrong = id + " got another Attempt-Id";
        bool whole = answer.body.starts_with("made for c");
        if (i > 0 && (answer.status != 200 || !whole)) wrong = fmt::format("{} got {}", id, answer.status);
        --left;
      });
    until([&] { return left == 0; }, "all requests are answered");
    same(wrong, "", "responses from one fetch");
  }
}
}  // namespace

std::vector<Case> answer_cases() {
  return {{"answers: the backend fails at each byte of a request", [] { each_byte(true); }},
          {"answers: the backend fails at each byte of its answer", [] { each_byte(false); }},
          {"answers: extra answers at every position", extras},
          {"answers: a connection with another's answer on it ends", reuse},
          {"answers: a bare decline does not answer the next request", bare_decline_again},
          {"answers: an error without a name is not accepted", nameless_error},
          {"answers: a partial or 304 response that was not requested is not the object", parts_unasked},
          {"answers: what was given up before it was sent completely does not arrive later", thawed},
          {"answers: kept ones are keyed by host, path, query and range", keys},
          {"answers: requests that share a fetch each get their own response", coalesced}};
}

}  // namespace dunlinwing::test
