// 408, 421, 429 and 503 promise that a request has not run and never will. Each case makes the proof of one
// such promise false, over real sockets: the request ran or runs, so the client must be told something else.
#include <cstdio>
#include <map>

#include "net/node_under_test.hpp"

namespace dunlinwing::test {
namespace {
constexpr int kManyClients = 24;
constexpr int kRequestsEach = 8;
constexpr Duration kSlowDecline{150};
constexpr Duration kDuplicateDelay{40};
constexpr Duration kChangePeriod{50};
constexpr Duration kHeld{150};  // how long a backend instance holds a request that occupies the service

bool promises_not_executed(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string id_of(const std::string& head) {
  const auto at = head.find("Attempt-Id: ") + 12;
  return head.substr(at, head.find('\r', at) - at);
}

std::string good(const std::string& id) {
  const std::string body = "made for " + id;
  return fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nEdge-Signature: s\r\nContent-Length: {}\r\n\r\n{}",
                     id, body.size(), body);
}

std::string decline(const std::string& id) {
  return fmt::format("HTTP/1.1 503 Full\r\nAttempt-Id: {}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                     id);
}

const std::string kNamelessDecline = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

void check_promise(int status, int runs, const std::string& what) {
  expect(!promises_not_executed(status) || runs == 0,
         fmt::format("{}: told {}, but it ran {} times", what, status, runs));
}

// A backend instance that declines the first sending of a request, and runs the second one. On a connection
// that carried the first, a copy of the decline comes before the second one's response.
struct DuplicateDecliner {
  std::function<void()> before_decline;
  std::map<std::string, int> received, declined_on, runs;

  std::string answer(int connection, const std::string& head) {
    const auto id = id_of(head);
    if (received[id]++ == 0) {
      declined_on[id] = connection;
      if (before_decline) before_decline();
      return decline(id);
    }
    ++runs[id];
    return (connection == declined_on[id] ? decline(id) : std::string()) + good(id);
  }
};

void duplicate_decline_and_new_configuration() {
  DuplicateDecliner instance;
  ScriptedBackend backend(
      [&](int connection, int, const std::string& head) { return instance.answer(connection, head); });
  Relay relay(backend.addr());
  relay.change_configuration([](auto& next) { next.backend_instances["s"].resize(1); });
  instance.before_decline = [&] { relay.change_configuration(); };
  const int status = relay.post("victim", false, kPlentyMs).status;
  check_promise(status, instance.runs["victim"], "an instance that repeats its decline");
  same(status, 200, "the status of a request that the instance ran");
}

void duplicate_decline_at_shared_address() {
  DuplicateDecliner instance;
  ScriptedBackend backend(
      [&](int connection, int, const std::string& head) { return instance.answer(connection, head); });
  Relay relay(backend.addr());
  const int status = relay.post("victim", false, kPlentyMs).status;
  check_promise(status, instance.runs["victim"], "two instances at one address");
  same(status, 200, "the status of a request that the second instance ran");
}

void duplicate_decline_of_another_client() {
  DuplicateDecliner instance;
  ScriptedBackend backend(
      [&](int connection, int, const std::string& head) { return instance.answer(connection, head); });
  Relay relay(backend.addr());
  relay.change_configuration([](auto& next) { next.backend_instances["s"].resize(1); });
  same(relay.post("victim", false, kPlentyMs).status, 503, "the status after a decline");
  const int status = relay.post("victim", false, kPlentyMs).status;
  check_promise(status, instance.runs["victim"], "an id that a client uses again");
}

// A slow decline and, on the same connection, a late copy of it; a second sending of the request runs.
struct SlowDecliner {
  struct Client {
    std::shared_ptr<net::Connection> connection;
  };
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor = std::make_shared<boost::asio::ip::tcp::acceptor>(
      pool().io(0), boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  std::map<std::string, int> received, runs;
  std::vector<std::weak_ptr<net::Connection>> connections;
  int running = 0;

  SlowDecliner() {
    pool().spawn([this, listening = acceptor] { accept(*listening); });
  }
  ~SlowDecliner() {
    acceptor->close();
    for (auto& weak : connections)
      if (auto connection = weak.lock()) connection->interrupt();
    until([this] { return running == 0; }, "the instance's fibers end");
  }
  std::string address() const { return fmt::format("127.0.0.1:{}", acceptor->local_endpoint().port()); }

  void accept(boost::asio::ip::tcp::acceptor& listening) {
    for (;;) {
      boost::asio::ip::tcp::socket socket(pool().io(0));
      auto [failed] = net::await<>([&](auto done) { listening.async_accept(socket, std::move(done)); });
      if (failed) return;
      auto connection = std::make_shared<net::Connection>(std::move(socket));
      connections.push_back(connection);
      ++running;
      pool().spawn([this, connection] {
        while (serve(connection)) {
        }
        connection->close();
        --running;
      });
    }
  }

  bool serve(const std::shared_ptr<net::Connection>& connection) {
    size_t end = 0;
    while ((end = connection->buffered().find("\r\n\r\n")) == std::string_view::npos)
      if (connection->read_more()) return false;
    const auto id = id_of(std::string(connection->buffered().substr(0, end + 2)));
    while (connection->buffered().size() < end + 4 + kBody.size())
      if (connection->read_more()) return false;
    connection->consume(end + 4 + kBody.size());
    net::SystemClock clock;
    clock.sleep(kSlowDecline);
    if (received[id]++ > 0) {
      ++runs[id];
      return !connection->write(good(id));
    }
    if (connection->write(decline(id))) return false;
    ++running;
    pool().spawn([this, connection, id] {
      net::SystemClock().sleep(kDuplicateDelay);
      if (connection->socket().is_open()) connection->write(decline(id));
      --running;
    });
    return true;
  }
};

void slow_declines_sent_twice_under_changing_configuration() {
  SlowDecliner instance;
  Relay relay(instance.address());
  relay.change_configuration([](auto& next) { next.backend_instances["s"].resize(1); });
  int clients = kManyClients;
  std::map<std::string, int> statuses;
  for (int client = 0; client < kManyClients; ++client)
    pool().spawn([&, client] {
      for (int i = 0; i < kRequestsEach; ++i) {
        const auto id = fmt::format("c{}-{}", client, i);
        statuses[id] = relay.post(id, false, kPlentyMs).status;
      }
      --clients;
    });
  net::SystemClock clock;
  for (; clients > 0; clock.sleep(kChangePeriod)) relay.change_configuration();
  clock.sleep(kSlowDecline * 2);
  int broken = 0;
  for (const auto& [id, status] : statuses) broken += promises_not_executed(status) && instance.runs[id] > 0;
  same(broken, 0, fmt::format("of {} requests, refused and run", statuses.size()));
}

// A decline without an id, behind the response to the request before it.
void late_nameless_decline() {
  std::map<std::string, int> runs;
  ScriptedBackend backend([&](int, int request, const std::string& head) {
    const auto id = id_of(head);
    ++runs[id];
    return (request == 1 ? kNamelessDecline : std::string()) + good(id);
  });
  Relay relay(backend.addr());
  relay.change_configuration([](auto& next) { next.backend_instances["s"].resize(1); });
  same(relay.post("first", false, kPlentyMs).status, 200, "the first request's status");
  const int status = relay.post("victim", false, kPlentyMs).status;
  check_promise(status, runs["victim"], "a nameless decline on a used connection");
}

// What the process writes to standard error while the object exists.
class CapturedLog {
 public:
  CapturedLog() : saved_(::dup(STDERR_FILENO)), file_(std::tmpfile()) {
    ::dup2(::fileno(file_), STDERR_FILENO);
  }
  ~CapturedLog() {
    ::dup2(saved_, STDERR_FILENO);
    ::close(saved_);
    std::fclose(file_);
  }
  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;

  std::string text() const {
    const int file = ::fileno(file_);
    std::string text(static_cast<size_t>(::lseek(file, 0, SEEK_END)), '\0');
    text.resize(static_cast<size_t>(::pread(file, text.data(), text.size(), 0)));
    return text;
  }

 private:
  int saved_;
  std::FILE* file_;
};

// A refusal after two declines: the line has the place, and each attempt.
void refusals_are_logged() {
  ScriptedBackend backend([&](int, int, const std::string& head) { return decline(id_of(head)); });
  Relay relay(backend.addr());
  std::string log;
  {
    const CapturedLog captured;
    same(relay.post("first", false, kPlentyMs).status, 503, "the status after both instances declined");
    log = captured.text();
  }
  const auto address = backend.addr();
  for (const auto& part :
       {std::string("refused \"first\" (POST \"/once/x\") with 503"), std::string(", declined; "),
        "i-1 at " + address + ", ", "i-2 at " + address + ", ", std::string("new connection, "),
        std::string(" bytes written, declined (503)")})
    expect(log.find(part) != std::string::npos, fmt::format("'{}' is not in the log: {}", part, log));
}

// Responses that resemble a decline, and are none.
void incomplete_declines() {
  const std::vector<std::pair<std::string, std::string>> forms = {
      {"cut in its body",
       "HTTP/1.1 503 Full\r\nAttempt-Id: victim\r\nNot-Executed: 1\r\nContent-Length: 9\r\n\r\nfullcut"},
      {"cut in its head", "HTTP/1.1 503 Full\r\nAttempt-Id: victim\r\nNot-Executed: 1\r\ncut"},
      {"of unknown length", "HTTP/1.1 503 Full\r\nAttempt-Id: victim\r\nNot-Executed: 1\r\n\r\nfullcut"},
      {"of another request", decline("other") + "cut"},
      {"with the header among the trailers",
       "HTTP/1.1 503 Full\r\nAttempt-Id: victim\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nNot-Executed: "
       "1\r\n\r\n"},
      {"an interim response", "HTTP/1.1 103 Early\r\nAttempt-Id: victim\r\nNot-Executed: 1\r\n\r\ncut"},
      {"503 without the header", "HTTP/1.1 503 Full\r\nAttempt-Id: victim\r\nContent-Length: 0\r\n\r\n"},
      {"429 without the header", "HTTP/1.1 429 Full\r\nAttempt-Id: victim\r\nContent-Length: 0\r\n\r\n"},
      {"408 without the header", "HTTP/1.1 408 Slow\r\nAttempt-Id: victim\r\nContent-Length: 0\r\n\r\n"}};
  for (const auto& [form, text] : forms) {
    ScriptedBackend backend([&](int, int, const std::string&) { return text; });
    Relay relay(backend.addr());
    same(relay.post("victim", false, kPlentyMs).status, 502, "the status after a decline that is " + form);
    same(backend.served, 1, "sendings of a request after a decline that is " + form);
  }
}

// A backend that runs the first request and closes the connection instead of a response. Meanwhile the relay
// gets into a state in which it rejects what comes next.
struct Rejection {
  std::string reason;
  std::function<void(Relay&)> begin;
};

void set_routes(Relay& relay, const std::string& routes, const std::string& service) {
  relay.change_configuration([&](auto& next) { next.configuration = Relay::layout(routes, service); });
}

// Keeps one request running at the backend instance for kHeld.
void occupy(Relay& relay) {
  pool().spawn([&relay] { relay.post("holder", true, kPlentyMs); });
  net::SystemClock().sleep(kHeld / 4);
}

std::vector<Rejection> rejections() {
  const std::string any = R"({"prefix":"/any/","service":"s","kind":"safe","shots":2,"timeout_ms":20000})";
  return {
      {"draining", [](Relay& relay) { relay.start_draining(), relay.change_configuration(); }},
      {"not_ready", [](Relay& relay) { relay.lose_read_lease(), relay.change_configuration(); }},
      {"stale_state", [](Relay& relay) { relay.lose_read_lease(); }},
      {"no_weight",
       [=](Relay& relay) {
         set_routes(relay, R"({"prefix":"/any/","kind":"safe","split":[{"service":"s","weight":0}]})",
                    Relay::kService);
       }},
      {"queue_full",
       [=](Relay& relay) {
         occupy(relay);
         set_routes(relay, any, R"({"versions":["v1"],"inflight":1,"waitlist":0})");
       }},
      {"rate_limited",
       [=](Relay& relay) {
         relay.change_configuration([&](auto& next) {
           next.configuration = Relay::layout(any, R"({"versions":["v1"],"rate":1})");
           next.rate_quotas["s"] = 0.001;
         });
       }},
      {"retry_budget_spent",
       [](Relay& relay) { relay.change_configuration([](auto& next) { next.system.retry_allowance = 0; }); }},
      {"no_instance",
       [](Relay& relay) { relay.change_configuration([](auto& next) { next.backend_instances.clear(); }); }},
      {"unreachable",
       [](Relay& relay) {
         relay.change_configuration([](auto& next) {
           for (auto& instance : next.backend_instances["s"]) instance.address = "127.0.0.1:1";
         });
       }},
      {"attempts_spent",
       [=](Relay& relay) {
         set_routes(relay, R"({"prefix":"/any/","service":"s","kind":"safe","shots":1})", Relay::kService);
       }},
      {"latency_target_missed", [=](Relay& relay) {
         set_routes(relay, R"({"prefix":"/any/","service":"s","kind":"safe","shots":2,"timeout_ms":1})",
                    Relay::kService);
       }}};
}

void rejected_after_a_run() {
  for (const auto& rejection : rejections()) {
    int runs = 0;
    Relay* current = nullptr;
    ScriptedBackend backend([&](int, int, const std::string& head) {
      const auto id = id_of(head);
      if (id == "holder") net::SystemClock().sleep(kHeld);
      if (id != "victim") return good(id);
      if (runs++ == 0) rejection.begin(*current);
      return std::string("cut");
    });
    Relay relay(backend.addr());
    current = &relay;
    const int status = relay.post("victim", true, kPlentyMs).status;
    expect(runs > 0, rejection.reason + ": the backend instance ran nothing");
    check_promise(status, runs, rejection.reason);
    net::SystemClock().sleep(rejection.reason == "queue_full" ? 2 * kHeld : Duration(0));
  }
}

void rejected_by_a_decline_after_a_run() {
  int runs = 0;
  ScriptedBackend backend([&](int, int request, const std::string&) {
    if (request > 0) return decline("victim");
    ++runs;
    return std::string("cut");
  });
  Relay relay(backend.addr());
  const int status = relay.post("victim", true, kPlentyMs).status;
  check_promise(status, runs, "a decline of the second instance");
}

// A route stops being repeatable while an attempt that its instance ran has no response.
void repeatable_until_the_next_configuration() {
  int runs = 0;
  Relay* current = nullptr;
  ScriptedBackend backend([&](int, int, const std::string&) {
    if (++runs > 1) return good("victim");
    set_routes(*current, R"({"prefix":"/any/","service":"s","kind":"unsafe","shots":2,"timeout_ms":20000})",
               Relay::kService);
    return std::string("cut");
  });
  Relay relay(backend.addr());
  current = &relay;
  const int status = relay.post("victim", true, kPlentyMs).status;
  check_promise(status, runs, "a route that became non-idempotent");
  same(runs, 1, "runs of a request that may run once under the configuration in force");
}

// The last byte comes at about the time at which the request is overdue.
void complete_as_it_becomes_overdue() {
  constexpr Duration kBodyTimeout{60};
  constexpr int kRounds = 40;
  std::map<std::string, int> runs;
  net::HttpLimits limits;
  limits.body_timeout = kBodyTimeout;
  TestServer server(limits, [&](base::Request& request) {
    ++runs[request.target];
    return base::Response{200, {}, "ran"};
  });
  net::SystemClock clock;
  for (int round = 0; round < kRounds; ++round) {
    const auto target = fmt::format("/{}", round);
    RawClient client(server.address);
    client.send(fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na", target));
    clock.sleep(kBodyTimeout + Duration(round * 2));
    client.send("b");
    const auto response = client.read("\r\n");
    if (response.starts_with("HTTP/1.1 408")) {
      clock.sleep(5ms);
      same(runs[target], 0, "runs of a request that was told 408");
    }
  }
}

// Bodies beyond the limit on all bodies together are refused before the handler gets the request.
void bodies_beyond_the_limit_of_all() {
  int runs = 0;
  net::HttpLimits limits;
  limits.all_bodies_bytes = 64;
  TestServer server(limits, [&](base::Request&) {
    ++runs;
    return base::Response{200, {}, "ran"};
  });
  const std::string body(100, 'b');
  for (const bool chunked : {false, true}) {
    RawClient client(server.address);
    client.send(chunked ? fmt::format("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                                      "{:x}\r\n{}\r\n0\r\n\r\n",
                                      body.size(), body)
                        : fmt::format("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{}",
                                      body.size(), body));
    expect(client.read().starts_with("HTTP/1.1 503"), "a body beyond the limit is refused");
    same(runs, 0, "runs of a request that was refused for its body");
  }
}
}  // namespace

std::vector<Case> refusal_cases() {
  return {{"refused: a refusal is logged with its place and every attempt", refusals_are_logged},
          {"refused: a copy of a decline does not answer the attempt under the next configuration",
           duplicate_decline_and_new_configuration},
          {"refused: a copy of a decline does not answer the attempt at another instance of the address",
           duplicate_decline_at_shared_address},
          {"refused: a copy of a decline does not answer a client's request with the same id",
           duplicate_decline_of_another_client},
          {"refused: slow declines sent twice under a changing configuration answer no other attempt",
           slow_declines_sent_twice_under_changing_configuration},
          {"refused: a nameless decline on a used connection is no proof", late_nameless_decline},
          {"refused: an incomplete decline is no proof", incomplete_declines},
          {"refused: what may have run is not rejected with a promise, whatever rejects it",
           rejected_after_a_run},
          {"refused: nor by the decline of a second instance", rejected_by_a_decline_after_a_run},
          {"refused: a request that ran is not sent again once its route is not repeatable",
           repeatable_until_the_next_configuration},
          {"refused: a request that is complete as it becomes overdue is either handled or told 408",
           complete_as_it_becomes_overdue},
          {"refused: a body beyond the limit of all bodies is not handled", bodies_beyond_the_limit_of_all}};
}

}  // namespace dunlinwing::test
