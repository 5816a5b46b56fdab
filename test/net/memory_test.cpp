// What a server and a client hold for others is reserved from the memory account, and connections that are
// slow give way when connections are short.
#include "net/net_cases.hpp"

namespace dunlinwing::test {
namespace {
constexpr size_t kCapacity = 1 << 20;
const std::string kSmall = "GET /small HTTP/1.1\r\nHost: h\r\n\r\n";

std::string head_of_tiny_fields(size_t bytes) {
  std::string head = "GET /large HTTP/1.1\r\nHost: h\r\n";
  while (head.size() + 6 <= bytes) head += "a:\r\n";
  return head + "\r\n";
}

std::string status_of(const std::string& response) { return response.substr(0, response.find('\r')); }

net::HttpHandler ok() {
  return [](base::Request&) { return base::Response{200, {}, "served"}; };
}

// A large head is refused while a small one is handled; alone, it is handled too.
void large_heads_are_refused_first() {
  base::MemoryAccount account(kCapacity * 4);
  TestServer server({}, ok(), 0, 1, account);
  const std::string large = head_of_tiny_fields(15000);
  RawClient alone(server.address);
  same(status_of(alone.exchange(large, "served")), "HTTP/1.1 200 OK", "a large head alone");
  base::MemoryReservation others(account, base::MemoryUse::bulk);
  expect(others.grow_to(account.limit(base::MemoryUse::bulk) - account.used()), "memory for others");
  RawClient refused(server.address);
  const auto response = refused.exchange(large);
  same(status_of(response), "HTTP/1.1 503 Service Unavailable", "a large head while memory is short");
  expect(response.find("Retry-After: 1\r\n") != response.npos, "no Retry-After: " + response);
  RawClient small(server.address);
  same(status_of(small.exchange(kSmall, "served")), "HTTP/1.1 200 OK",
       "a small request while memory is short");
}

void memory_is_released() {
  base::MemoryAccount account(kCapacity * 4);
  {
    TestServer server({}, ok(), 0, 1, account);
    RawClient client(server.address);
    client.exchange(kSmall, "served");
    client.exchange(
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + std::string(100000, 'b'), "served");
    until([&] { return account.used() == net::kConnectionBytes; }, "only the connection takes memory");
  }
  until([&] { return account.used() == 0; }, "nothing takes memory");
}

// Connections are opened up to the memory, and a new one takes the place of one that is slow.
void slow_connections_give_way(const std::string& begun) {
  net::HttpLimits limits;
  limits.max_connections = 3;
  TestServer server(limits, ok());
  std::vector<std::unique_ptr<RawClient>> slow;
  for (size_t i = 0; i < limits.max_connections; ++i) {
    slow.push_back(std::make_unique<RawClient>(server.address));
    slow.back()->send(begun);
  }
  until([&] { return server.http_server.open_connections() == 3; }, "all connections are taken");
  RawClient ordinary(server.address);
  same(status_of(ordinary.exchange(kSmall, "served")), "HTTP/1.1 200 OK", "a request beside slow clients");
  expect(server.http_server.open_connections() <= 3, "more connections than allowed");
}

void slow_heads_give_way() { slow_connections_give_way("GET /slow HT"); }
void slow_bodies_give_way() {
  slow_connections_give_way("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\nb");
}

// One that is being handled doesn't.
void handled_requests_do_not_give_way() {
  net::HttpLimits limits;
  limits.max_connections = 1;
  bool finish = false;
  TestServer server(limits, [&](base::Request& request) -> base::Response {
    net::SystemClock clock;
    while (request.target == "/long" && !finish) clock.sleep(5ms);
    return {200, {}, "served"};
  });
  RawClient handled(server.address);
  handled.send("GET /long HTTP/1.1\r\nHost: h\r\n\r\n");
  until([&] { return server.http_server.running_requests() == 1; }, "the request runs");
  RawClient waiting(server.address);
  waiting.send(kSmall);
  net::SystemClock().sleep(800ms);  // longer than a client may be slow
  finish = true;
  same(status_of(handled.read("served")), "HTTP/1.1 200 OK", "the request that was handled");
  same(status_of(waiting.read("served")), "HTTP/1.1 200 OK", "the request that waited");
}

// A response is read once there is memory for it, and not read at all when there never will be.
void responses_wait_for_memory() {
  base::MemoryAccount account(kCapacity);
  net::HttpClient http(kCapacity * 16, net::HttpClient::kDefaultMaxIdle, nullptr, account);
  TestServer server({}, [](base::Request& request) -> base::Response {
    return {200, {}, std::string(request.target == "/huge" ? kCapacity : kCapacity / 2, 'r')};
  });
  const auto get = [&](const std::string& target) {
    return http.send(server.address, {"", "GET", target, "", {{"Host", "h"}}}, 10000ms);
  };
  auto others = std::make_unique<base::MemoryReservation>(account, base::MemoryUse::bulk);
  expect(others->grow_to(kCapacity / 2), "memory for others");
  pool().spawn([&] {
    net::SystemClock().sleep(100ms);
    others.reset();
  });
  {
    const auto reply = get("/half");
    const auto* response = std::get_if<base::Response>(&reply);
    expect(response && response->body.size() == kCapacity / 2, "the response was not read");
    expect(others == nullptr, "it was read beside the others");
    expect(account.used() >= kCapacity / 2, "its memory is not reserved");
  }
  same(account.used(), size_t{0}, "bytes in use once the response is gone");
  expect(std::holds_alternative<base::AttemptError>(get("/huge")), "a response beyond the memory was read");
  const auto head = http.send(server.address, {"", "HEAD", "/huge", "", {{"Host", "h"}}}, 10000ms);
  const auto* response = std::get_if<base::Response>(&head);
  expect(response && response->status == 200,
         "a response that states a length beyond the memory, and has no body");
  same(account.used(), size_t{0}, "bytes in use after a response that was not read");
}
}  // namespace

std::vector<Case> memory_cases() {
  return {{"memory: large heads are refused first, with a 503", large_heads_are_refused_first},
          {"memory: what a request takes is released", memory_is_released},
          {"memory: a new connection takes the place of one with a slow head", slow_heads_give_way},
          {"memory: a new connection takes the place of one with a slow body", slow_bodies_give_way},
          {"memory: a request that is handled does not give way", handled_requests_do_not_give_way},
          {"memory: responses wait for memory", responses_wait_for_memory}};
}

}  // namespace dunlinwing::test
