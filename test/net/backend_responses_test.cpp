// The whole way of a request through Traffic and real connections to a backend that
// fails at every single byte. Whatever is lost, a request that may not be repeated
// reaches a backend whole at most once, nobody gets another's answer, a cut answer
// never passes for a whole one, and what was promised not to run never runs.
#include "net/node_under_test.hpp"
#include "support/byte_backend.hpp"

namespace dunlinwing::test {
namespace {
constexpr int kFibers = 24;      // cases under way at once
constexpr int kPatienceMs = 60;  // of a client whose backend falls silent

bool promises_not_run(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

// What a client may be told, whatever happened.
void judge(const base::Response& answer, const std::string& id, const ByteBackend& backend, bool safe) {
  bool named_other = base::header(answer.headers, "Attempt-Id") != id;
  expect(!named_other, "the answer names another request");
  if (answer.status < 300) {
    same(answer.body, good_body(id), "a success with a body that is not its own whole one");
    same(base::header(answer.headers, "Edge-Signature"), "s." + id, "a success with another's stamp");
  }
  if (safe) return;
  expect(backend.received_count(id) <= 1, fmt::format("it ran {} times", backend.received_count(id)));
  if (promises_not_run(answer.status))
    same(backend.received_count(id), 0, "runs of what was promised not to run");
}

struct ClientAttempt {
  Plan plan;
  bool safe = false;
  bool kept = false;  // the connection has carried a request before
  std::string text() const {
    return fmt::format("trouble {} {} byte {}, {}, {}, {}", static_cast<int>(plan.fault),
                       plan.receiving ? "receiving" : "sending", plan.at, plan.chunked ? "chunked" : "length",
                       safe ? "repeatable" : "once", kept ? "kept connection" : "new connection");
  }
};

// The victim meets the fault, then another client asks on the same relay.
base::Response play_day(const ClientAttempt& one) {
  ByteBackend backend(one.plan);
  Relay relay(backend.address());
  if (one.kept) same(relay.ask("warm-up", false, kPlentyMs).status, 200, "the first on the connection");
  backend.expect_victim();
  bool silent = one.plan.fault == BackendFault::silence;
  auto answer = relay.ask(one.plan.victim, one.safe, silent ? kPatienceMs : kPlentyMs);
  auto next = relay.ask("follower", false, kPlentyMs);
  // What comes late may stand where the next answer is due, and nobody can tell what that was.
  bool in_doubt = !one.plan.later.empty() && next.status == 502;
  if (!in_doubt) same(next.status, 200, "the status of the next client's answer");
  judge(next, "follower", backend, false);
  judge(answer, one.plan.victim, backend, one.safe);
  return answer;
}

// Plays all cases, a number of them at once, and tells the first that failed.
void play_all(const std::vector<ClientAttempt>& all, const std::function<void(const ClientAttempt&)>& one) {
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
  relay.ask("victim", false, kPlentyMs);
  return backend.request_bytes();
}

std::vector<ClientAttempt> cuts(bool receiving, BackendFault fault) {
  std::vector<ClientAttempt> all;
  for (bool chunked : {false, true}) {
    if (receiving && chunked) continue;
    auto bytes = receiving ? request_bytes() : good_answer("victim", chunked).size();
    bool lasting = !receiving && fault == BackendFault::silence;  // after a whole answer it is the next one's
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
  constexpr size_t kDigits = 4;  // by which the time left may be written shorter
  auto shortest = request_bytes() - kDigits;
  for (auto fault : {BackendFault::close, BackendFault::reset, BackendFault::silence}) {
    play_all(cuts(receiving, fault), [&](const ClientAttempt& one) {
      auto answer = play_day(one);
      bool lost = one.plan.at < (receiving ? shortest : good_answer("victim", one.plan.chunked).size());
      if (!lost) return;
      if (one.safe && fault != BackendFault::silence)
        same(answer.status, 200, "a repeatable request has a second backend instance");
      else if (!receiving || one.plan.at > 0)  // at 0 the connection may end before a byte is sent
        same(answer.status, 502, "what is told when the answer was lost");
    });
  }
}

// Answers nobody asked for, in every place they may stand.
std::vector<ClientAttempt> extra_answers() {
  std::vector<ClientAttempt> all;
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
            // Taken for its own: a backend instance gives its extra answers a name.
            if (place != &Plan::together && bare) continue;
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
  play_all(extra_answers(), [](const ClientAttempt& one) { play_day(one); });
}

// A connection that carried an answer of another request ends with this one.
void reuse() {
  auto other = good_answer("older", false);
  for (auto place : {&Plan::before, &Plan::together, &Plan::later}) {
    Plan plan{"victim"};
    plan.*place = other;
    ByteBackend backend(plan);
    Relay relay(backend.address());
    relay.ask("warm-up", true, kPlentyMs);
    same(relay.held(backend.address()), 1, "connections held after a good answer");
    same(relay.ask("victim", true, kPlentyMs).status, 200, "an answer with another's beside it");
    until([&] { return relay.held(backend.address()) == 0; }, "its connection is given up");
  }
}

// A backend that says by a bare answer that it is full, and says so again where the next answer
// is due: the second is no word on the next request, which runs.
void bare_decline_again() {
  const std::string decline = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  StandIn backend([&](int connection, int request, const std::string& head) {
    auto at = head.find("Attempt-Id: ") + 12;
    auto id = head.substr(at, head.find('\r', at) - at);
    if (request == 0) return decline;
    if (request == 1) return decline;
    return (connection == 0 || connection == 1 ? decline : std::string()) + good_answer(id, false);
  });
  Relay relay(backend.addr());
  same(relay.ask("first", false, kPlentyMs).status, 503, "what both instances decline");
  auto answer = relay.ask("second", false, kPlentyMs);
  same(answer.status, 200, "what ran was told as not run");
  same(answer.body, good_body("second"), "its body");
}

// An error that names no request is no answer to this one.
void nameless_error() {
  for (int status : {400, 404, 500, 504}) {
    StandIn backend([&](int, int, const std::string&) {
      return fmt::format("HTTP/1.1 {} X\r\nContent-Length: 5\r\n\r\nwhose", status);
    });
    Relay relay(backend.addr());
    auto answer = relay.ask("victim", false, kPlentyMs);
    same(answer.status, 502, fmt::format("a nameless {}", status));
    expect(answer.body.find("whose") == answer.body.npos, "a nameless body was passed on");
  }
}

// A part of an object, or a bare confirmation, that nobody asked for is not the whole object.
void parts_unasked() {
  for (int status : {206, 304}) {
    StandIn backend([&](int, int, const std::string&) {
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
           fmt::format("a {} to a request for the whole of {}", status, target));
    }
  }
}

// A body larger than the sockets hold lies half in our buffer when the frozen backend is given
// up. Once it thaws it must not get the rest: a client may have been told long ago.
void thawed() {
  constexpr int kFrozenMs = 200;
  for (bool safe : {false, true})
    for (size_t bytes : {size_t(512) << 10, size_t(1) << 20, size_t(2) << 20, size_t(12) << 20}) {
      ByteBackend backend(Plan{"none"});
      Relay relay(backend.address());
      relay.ask("warm-up", true, kPlentyMs);
      backend.freeze();
      auto answer = relay.ask("victim", safe, kFrozenMs, std::string(bytes, 'b'));
      backend.thaw();
      net::SystemClock().sleep(100ms);
      same(backend.received_count("victim"), 0, "runs of what was given up before it was sent whole");
      if (promises_not_run(answer.status)) expect(!backend.begun("victim"), "some of it had left");
    }
}

// Answers are kept by service, host, path and query; no client gets another object.
void keys() {
  StandIn backend([](int, int, const std::string& head) {
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
        same(base::header(answer.headers, "Attempt-Id"), std::to_string(number), "the request's name");
        request.headers.emplace_back("Range", "bytes=3-");
        auto part = relay.get(request);
        same(part.status, 206, "a range's status");
        same(part.body, answer.body.substr(3), "a range");
        same(relay.get(request).status, 206, "a range, again");
        request.headers.back() = {"If-None-Match", "\"1\""};
        auto confirmed = relay.get(request);
        same(confirmed.status, 304, "a confirmation's status");
        same(confirmed.body, "", "a confirmation's body");
      }
}

// Many wait for one fetch; the one who fetches loses its answer, or gives up.
void coalesced() {
  for (bool cut : {false, true}) {
    int fetched = 0;
    StandIn backend([&](int, int, const std::string& head) {
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
        if (base::header(answer.headers, "Attempt-Id") != id) wrong = id + " was named otherwise";
        bool whole = answer.body.starts_with("made for c");
        if (i > 0 && (answer.status != 200 || !whole)) wrong = fmt::format("{} got {}", id, answer.status);
        --left;
      });
    until([&] { return left == 0; }, "all are answered");
    same(wrong, "", "answers of one fetch");
  }
}
}  // namespace

std::vector<Case> answer_cases() {
  return {{"answers: the backend fails at each byte of a request", [] { each_byte(true); }},
          {"answers: the backend fails at each byte of its answer", [] { each_byte(false); }},
          {"answers: extra answers in every place", extras},
          {"answers: a connection with another's answer on it ends", reuse},
          {"answers: a bare decline is no word on the next request", bare_decline_again},
          {"answers: an error without a name is nobody's", nameless_error},
          {"answers: a part or a confirmation nobody asked for is not the object", parts_unasked},
          {"answers: what was given up half sent does not arrive later", thawed},
          {"answers: kept ones are told apart by host, path, query and range", keys},
          {"answers: one fetch for many gives each its own", coalesced}};
}

}  // namespace dunlinwing::test
