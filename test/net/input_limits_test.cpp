// Bytes from outside decide neither how deep a stack gets nor how much is kept or how long a loop runs
// (docs/limits.md). Each case runs on a fiber, with the stack that it has in production.
//
// Guards against: an operator's order of 2,000 lists in lists ended the process of each node that it was sent
// to, since the check for repeated keys called itself once a level on a stack of 128 KiB.
#include <alloca.h>

#include "base/json.hpp"
#include "base/json_text.hpp"
#include "config/release.hpp"
#include "config/routing_configuration.hpp"
#include "net/net_cases.hpp"
#include "platform/control_adapter.hpp"

namespace dunlinwing::test {
namespace {
constexpr size_t kDeep = 1'000'000;           // levels, far beyond any stack
constexpr size_t kReservedStack = 64U << 10;  // half of a fiber's
constexpr Duration kAcknowledgeTime{4000};    // in which an operator gets an answer
constexpr Duration kHeartbeatPeriod{1500};

std::string repeated(std::string_view text, size_t times) {
  std::string all;
  all.reserve(text.size() * times);
  for (size_t i = 0; i < times; ++i) all += text;
  return all;
}

std::string nested_arrays(size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }
std::string nested_objects(size_t levels) {
  return repeated("{\"a\":", levels) + "1" + std::string(levels, '}');
}
std::string nested_by_turns(size_t levels) {
  return repeated("[{\"a\":", levels / 2) + "1" + repeated("}]", levels / 2);
}

/// Documents beyond the limit of levels, whole and cut short.
std::vector<std::string> deep_documents() {
  std::vector<std::string> documents;
  for (const size_t levels : {base::kMaxJsonDepth + 2, size_t{2000}, kDeep}) {
    documents.push_back(nested_arrays(levels));
    documents.push_back(nested_objects(levels));
    documents.push_back(nested_by_turns(levels));
    documents.push_back(std::string(levels, '['));
    documents.push_back(repeated("{\"a\":", levels));
  }
  return documents;
}

base::ValidationError error_of(const std::string& text) {
  auto parsed = base::Json::parse(text);
  const auto* error = std::get_if<base::ValidationError>(&parsed);
  expect(error != nullptr, "a document beyond a limit was parsed: " + text.substr(0, 80));
  return *error;
}

void deep_documents_are_refused() {
  for (const auto& document : deep_documents()) {
    expect(error_of(document).message.find("json-depth") != std::string::npos,
           "the limit is not named: " + error_of(document).message);
    error_of("{\"revision\":1,\"resources\":" + document + "}");
  }
  expect(error_of("[1" + repeated(",1", base::kMaxJsonValues) + "]").message.find("json-values") !=
             std::string::npos,
         "the limit on values is not named");
}

/// The document is read, copied, checked against every schema and written.
void use(const std::string& text) {
  auto parsed = base::Json::parse(text);
  const auto* json = std::get_if<base::Json>(&parsed);
  const auto* error = std::get_if<base::ValidationError>(&parsed);
  expect(json != nullptr, "a document at the limits was refused: " + (error ? error->message : ""));
  for (const auto& member : json->members()) expect(!member.value.text().empty(), "no text");
  same(json->text().size(), text.size(), "the written text");
  config::parse_routing_configuration("c", text);
  for (const char* kind : {"layout", "system", "software"})
    config::parse_release(kind, "r", "{\"content\":" + text + "}");
}

// Leaves half of the fiber's stack to the document, as callers have frames of their own.
void deepest_document_fits_half_a_stack() {
  auto* reserved = static_cast<volatile char*>(alloca(kReservedStack));
  for (size_t at = 0; at < kReservedStack; at += 1024) reserved[at] = 1;
  const size_t depth = base::kMaxJsonDepth - 1;  // a release adds one level
  for (const auto& document : {nested_arrays(depth), nested_objects(depth), nested_by_turns(depth - 1)})
    use(document);
  use("{\"services\":" + nested_objects(depth - 1) + ",\"routes\":" + nested_arrays(depth - 1) + "}");
  expect(reserved[0] == 1, "the stack was overwritten");
}

void orders_beyond_a_limit_change_nothing() {
  int taken = 0;
  TestServer server({}, [&](base::Request& request) {
    return platform::handle(request, kHeartbeatPeriod, [&](base::Request& /*call*/) {
      ++taken;
      return base::Response{200, {}, "{}"};
    });
  });
  RawClient client(server.address);  // one connection for all: it goes on after each
  const std::vector<std::string> calls = {"PUT /configuration", "POST /purge", "POST /rollouts",
                                          "PUT /instances/i-1"};
  for (const auto& call : calls)
    for (const auto& document : {nested_arrays(2000), nested_objects(2000), std::string(2000, '[')}) {
      const std::string body = "{\"revision\":2,\"resources\":" + document + "}";
      client.send(
          fmt::format("{} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{}", call, body.size(), body));
      const auto answer = client.read("json-depth)\"}");
      expect(answer.starts_with("HTTP/1.1 400"), call + " was answered " + answer);
    }
  same(taken, 0, "orders that were taken");
  client.exchange("POST /purge HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n{\"tag\":\"t\"}",
                  "HTTP/1.1 200");
  same(taken, 1, "orders taken after those that were refused");
}

// Documents on which a loop took the square of their length, or whose errors took a multiple of it.
std::vector<std::pair<std::string, std::string>> slow_documents() {
  constexpr size_t kMany = 300'000;
  std::string numbers = "0";
  std::string members = "\"k0\":1";
  for (size_t i = 1; i < kMany; ++i) {
    numbers += fmt::format(",{}", i);
    members += fmt::format(",\"k{}\":1", i);
  }
  const std::string long_key(1U << 20, 'k');
  return {
      {"different methods",
       "{\"services\":{},\"routes\":[{\"prefix\":\"/\",\"methods\":[" + numbers + "]}]}"},
      {"different versions", "{\"services\":{\"s\":{\"versions\":[" + numbers + "]}},\"routes\":[]}"},
      {"services", "{\"services\":{" + members + "},\"routes\":[]}"},
      {"unknown keys", "{" + members + "}"},
      {"unknown keys below a long one",
       "{\"services\":{\"" + long_key + "\":{" + members + "}},\"routes\":[]}"},
      {"values below a long key", "{\"" + long_key + "\":[" + numbers + "]}"},
      {"a long host with different methods", "{\"services\":{},\"routes\":[{\"prefix\":\"/\",\"host\":\"" +
                                                 long_key + "\",\"methods\":[" + numbers + "]}]}"},
      {"different methods behind many errors", "{\"services\":{},\"routes\":[" +
                                                   repeated("{\"x\":1},", base::kMaxValidationErrors) +
                                                   "{\"prefix\":\"/\",\"methods\":[" + numbers + "]}]}"},
      {"routes", "{\"services\":{\"s\":{\"versions\":[\"1\"]}},\"routes\":[" +
                     repeated("{\"prefix\":\"/\"},", 100'000) + "{}]}"}};
}

void long_documents_take_no_longer_than_an_order_may() {
  net::SystemClock clock;
  for (const auto& [name, document] : slow_documents()) {
    const auto began = clock.now();
    auto result = config::parse_routing_configuration("c", document);
    const auto* errors = std::get_if<std::vector<base::ValidationError>>(&result);
    expect(errors && !errors->empty(), name + ": the document is valid");
    expect(errors->size() <= base::kMaxValidationErrors, fmt::format("{}: {} errors", name, errors->size()));
    size_t bytes = 0;
    for (const auto& error : *errors) bytes += error.pointer.size() + error.message.size();
    expect(bytes <= 128U << 10, fmt::format("{}: {} bytes of errors", name, bytes));
    expect(clock.now() - began < kAcknowledgeTime,
           fmt::format("{}: {} ms", name, (clock.now() - began).count()));
  }
}

net::HttpHandler count_requests(int& handled) {
  return [&handled](base::Request&) {
    ++handled;
    return base::Response{200, {}, "ok"};
  };
}

// The parser keeps a chunk's line and the trailers until they are whole.
void lines_without_end_are_refused() {
  int handled = 0;
  TestServer server({}, count_requests(handled));
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string begun : {"1;", "1\r\nx\r\n1;x=", "0;", "0\r\nX: "}) {
    RawClient client(server.address);
    client.send(head + begun);
    client.send(std::string(64U << 10, 'x'));
    const auto answer = client.read();
    expect(answer.starts_with("HTTP/1.1 431") && answer.find("head_bytes") != std::string::npos,
           begun + " was answered " + answer);
  }
  RawClient client(server.address);  // a line of some length is none of our business
  client.exchange(
      head + "2;x=" + std::string(4000, 'y') + "\r\nab\r\n0\r\nX: " + std::string(4000, 'z') + "\r\n\r\n",
      "ok");
  same(handled, 1, "handled requests");
}

void backend_lines_without_end_are_given_up() {
  for (const std::string begun : {"1;", "1\r\nx\r\n1;x=", "0\r\nX: "}) {
    ScriptedBackend backend([&](int, int, const std::string&) {
      return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + begun + std::string(1U << 20, 'x');
    });
    net::HttpClient client{1U << 20};
    const auto began = net::SystemClock().now();
    const auto reply = client.send(backend.addr(), {"", "GET", "/", "", {}}, kAcknowledgeTime);
    expect(std::holds_alternative<base::AttemptError>(reply), "a response without an end was accepted");
    expect(net::SystemClock().now() - began < kAcknowledgeTime, "it was read until the time was up");
  }
}
}  // namespace

std::vector<Case> input_limit_cases() {
  return {
      {"limits: deep JSON documents are refused, and the limit is named", deep_documents_are_refused},
      {"limits: the deepest JSON document fits half of a fiber's stack", deepest_document_fits_half_a_stack},
      {"limits: orders beyond a limit change nothing, and the connection goes on",
       orders_beyond_a_limit_change_nothing},
      {"limits: no document holds up its node", long_documents_take_no_longer_than_an_order_may},
      {"limits: chunk lines and trailers without an end are refused", lines_without_end_are_refused},
      {"limits: a backend's chunk lines and trailers without an end are given up",
       backend_lines_without_end_are_given_up}};
}

}  // namespace dunlinwing::test
