// The HTTP server with clients that truncate, split and pipeline their requests at every
// byte, or disconnect while a response is generated: a request runs only when complete,
// and each response goes to the connection and the request that it belongs to.
#include <sys/socket.h>

#include "net/net_cases.hpp"

namespace dunlinwing::test {
namespace {
const std::string kByLength = "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nfirst";
const std::string kInChunks =
    "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nsec\r\n3\r\nond\r\n0\r\nX: "
    "y\r\n\r\n";
const std::string kBare = "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n";

struct Counted {
  std::map<std::string, int> runs;  // by target and body
  net::HttpHandler handler() {
    return [this](base::Request& request) -> base::Response {
      auto what = request.target + " " + request.body;
      ++runs[what];
      return {200, {}, "[" + what + "]"};
    };
  }
};

net::HttpLimits quick() {
  net::HttpLimits limits;
  limits.head_timeout = limits.body_timeout = limits.idle_timeout = 200ms;
  return limits;
}

enum class End { close, reset, half_close, silence };

void end(RawClient& client, End how) {
  if (how == End::reset) client.connection->socket().set_option(boost::asio::socket_base::linger(true, 0));
  if (how == End::close || how == End::reset) client.connection->close();
  if (how == End::half_close) client.connection->shutdown_send();
}

// A request truncated at any byte never runs, and never gets a success response.
void cut() {
  for (auto how : {End::close, End::reset, End::half_close, End::silence})
    for (auto& request : {kByLength, kInChunks, kBare}) {
      Counted counted;
      {
        TestServer server(quick(), counted.handler());
        std::vector<std::unique_ptr<RawClient>> clients;
        for (size_t at = 0; at < request.size(); ++at) {
          clients.push_back(std::make_unique<RawClient>(server.address));
          clients.back()->send(std::string_view(request).substr(0, at));
          end(*clients.back(), how);
        }
        if (how == End::half_close || how == End::silence)
          for (auto& client : clients) {
            auto told = client->read();
            expect(told.empty() || told.starts_with("HTTP/1.1 408") || told.starts_with("HTTP/1.1 400"),
                   "a truncated request was answered " + told);
          }
      }
      expect(counted.runs.empty(), "a truncated request ran: " + request);
    }
}

// Three pipelined requests, split into two segments at any byte.
void split() {
  Counted counted;
  TestServer server({}, counted.handler());
  auto stream = kByLength + kInChunks + kBare;
  for (size_t at = 0; at <= stream.size(); ++at) {
    RawClient client(server.address);
    client.send(std::string_view(stream).substr(0, at));
    net::SystemClock().sleep(1ms);
    client.send(std::string_view(stream).substr(at));
    for (std::string want : {"[/1 first]", "[/2 second]", "[/3 ]"}) {
      auto told = client.read("]");
      expect(told.ends_with("\r\n\r\n" + want), fmt::format("split at {}: {} for {}", at, told, want));
    }
  }
  int all = static_cast<int>(stream.size()) + 1;
  for (auto* what : {"/1 first", "/2 second", "/3 "}) same(counted.runs[what], all, what);
  same(counted.runs.size(), size_t(3), "different requests that ran");
}

// A truncated pipelined request does not affect the responses to the requests before it.
void pipelined_cut() {
  for (size_t at = 0; at < kInChunks.size(); ++at) {
    Counted counted;
    TestServer server(quick(), counted.handler());
    RawClient client(server.address);
    client.send(kByLength + kInChunks.substr(0, at));
    client.connection->shutdown_send();
    auto told = client.read();
    expect(told.find("[/1 first]") != told.npos, fmt::format("cut at {}: {}", at, told));
    same(counted.runs.size(), size_t(1), "requests that ran");
  }
}

// A client disconnects while its response is generated, and another connection reuses the descriptor number.
void descriptor_reused() {
  for (auto how : {End::close, End::reset}) {
    auto go = pool().condition();
    int slow = 0, told = 0;
    TestServer server({}, [&](base::Request& request) -> base::Response {
      if (request.target == "/slow") {
        ++slow;
        go->wait(10s);
        ++told;
        return {200, {}, std::string(200000, 's')};
      }
      return {200, {}, "[" + request.target + "]"};
    });
    {
      RawClient leaving(server.address);
      leaving.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\nGET /behind HTTP/1.1\r\nHost: h\r\n\r\n");
      until([&] { return slow == 1; }, "the slow request runs");
      end(leaving, how);
    }
    std::vector<std::unique_ptr<RawClient>> others;
    for (int i = 0; i < 8; ++i) others.push_back(std::make_unique<RawClient>(server.address));
    go->notify();
    until([&] { return told == 1; }, "the response to the client that disconnected");
    for (int i = 0; i < 8; ++i) {
      auto target = fmt::format("/{}", i);
      auto answer = others[i]->exchange(fmt::format("GET {} HTTP/1.1\r\nHost: h\r\n\r\n", target), "]");
      same(answer, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[" + target + "]",
           "another client's response");
    }
  }
}

// A response that cannot be delivered completely is recognizable as truncated.
void undelivered() {
  net::HttpLimits limits;
  limits.write_timeout = 200ms;
  constexpr size_t kLong = 32 << 20;
  TestServer server(limits, [](base::Request&) -> base::Response {
    return {200, {}, std::string(kLong, 'x')};
  });
  RawClient client(server.address);
  client.send(kBare);
  until([&] { return server.http_server.running_requests() == 1; }, "the request runs");
  until([&] { return server.http_server.open_connections() == 0; }, "the connection is closed");
  auto told = client.read();
  expect(told.find(fmt::format("Content-Length: {}\r\n", kLong)) != told.npos,
         "the response has no Content-Length");
  expect(told.size() < kLong, "the response was delivered completely");
}
}  // namespace

std::vector<Case> client_byte_cases() {
  return {{"client: a request cut at any byte never runs", cut},
          {"client: requests split at any byte are each answered", split},
          {"client: a truncated pipelined request does not affect other responses", pipelined_cut},
          {"client: a connection that reuses a descriptor number gets its own response", descriptor_reused},
          {"client: an abandoned response is recognizable as truncated", undelivered}};
}

}  // namespace dunlinwing::test
