// Framings that another recipient could read differently (RFC 9112, section 6), each over a real socket with
// a second request behind it, whole and in pieces of one byte: one response, the connection ends, nothing is
// handled.
//
// Guards against: a POST with `Transfer-Encoding: gzip` was passed on without a body, and its body was run as
// the next request; the client got that request's response for another one.
#include "net/net_cases.hpp"

namespace dunlinwing::test {
namespace {
const std::string kHidden = "POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
const std::string kNext = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";

struct Framing {
  std::string name;
  std::string headers;  ///< after the Host
  std::string body;
  std::string status = "400";
};

std::vector<Framing> rejected_framings() {
  const std::string chunks = "0\r\n\r\n";
  const std::string te = "Transfer-Encoding: ";
  return {
      {"a last coding that is not chunked", te + "gzip\r\n", kHidden},
      {"chunked before another coding", te + "chunked, gzip\r\n", kHidden},
      {"chunked before identity", te + "chunked, identity\r\n", kHidden},
      {"identity", te + "identity\r\n", kHidden},
      {"an empty coding", te + "\r\n", kHidden},
      {"only commas", te + ", ,\r\n", kHidden},
      {"chunked twice", te + "chunked, chunked\r\n", chunks},
      {"two fields of chunked", te + "chunked\r\n" + te + "chunked\r\n", chunks},
      {"two fields, the last not chunked", te + "chunked\r\n" + te + "gzip\r\n", kHidden},
      {"a coding not implemented", te + "gzip, chunked\r\n", chunks, "501"},
      {"two fields, a coding not implemented", te + "gzip\r\n" + te + "chunked\r\n", chunks, "501"},
      {"chunked with a parameter", te + "chunked;q=1\r\n", kHidden},
      {"chunked in quotes", te + "\"chunked\"\r\n", kHidden},
      {"a name that only contains chunked", te + "xchunked\r\n", kHidden},
      {"a control byte before chunked", te + "\x0b" + "chunked\r\n", kHidden},
      {"a coding beside a length", te + "chunked\r\nContent-Length: 5\r\n", chunks},
      {"a length beside a coding", "Content-Length: 5\r\n" + te + "chunked\r\n", chunks},
      {"another coding beside a length", te + "gzip\r\nContent-Length: 0\r\n", kHidden},
      {"two lengths", "Content-Length: 0\r\nContent-Length: 5\r\n", kHidden},
      {"the same length twice", "Content-Length: 0\r\nContent-Length: 0\r\n", kHidden},
      {"a list of lengths", "Content-Length: 0, 0\r\n", kHidden},
      {"no length", "Content-Length: \r\n", kHidden},
      {"a signed length", "Content-Length: +0\r\n", kHidden},
      {"a negative length", "Content-Length: -1\r\n", kHidden},
      {"a hexadecimal length", "Content-Length: 0x0\r\n", kHidden},
      {"a length with a blank in it", "Content-Length: 0 0\r\n", kHidden},
      {"a length that overflows", "Content-Length: 18446744073709551616\r\n", kHidden},
      {"white space before the colon of a length", "Content-Length : 0\r\n", kHidden},
      {"white space before the colon of a coding", "Transfer-Encoding : chunked\r\n", chunks},
      {"a name of white space", " : x\r\n", kHidden},
      {"a bare LF", "X: y\nContent-Length: 0\r\n", kHidden},
      {"a bare CR", "X: y\rContent-Length: 0\r\n", kHidden},
      {"a head that ends with bare LFs", "Content-Length: 0\n\n", kHidden},
      {"a folded line", "X: y\r\n z\r\n", kHidden},
      {"a folded coding", "Transfer-Encoding:\r\n chunked\r\n", chunks},
      {"a folded line with a tab", "X: y\r\n\tContent-Length: 5\r\n", kHidden},
      {"a zero byte in a value", std::string("X: y\0z\r\n", 8), kHidden},
      {"a chunk size that overflows", te + "chunked\r\n", "10000000000000000\r\n" + kHidden},
      {"a signed chunk size", te + "chunked\r\n", "+1\r\nx\r\n0\r\n\r\n"},
      {"a negative chunk size", te + "chunked\r\n", "-1\r\nx\r\n0\r\n\r\n"},
      {"a chunk size with a prefix", te + "chunked\r\n", "0x1\r\nx\r\n0\r\n\r\n"},
      {"no chunk size", te + "chunked\r\n", "\r\nx\r\n0\r\n\r\n"},
      {"a blank before a chunk size", te + "chunked\r\n", " 1\r\nx\r\n0\r\n\r\n"},
      {"a chunk size that ends with a bare LF", te + "chunked\r\n", "1\nx\r\n0\r\n\r\n"},
      {"a chunk longer than its size", te + "chunked\r\n", "1\r\nxy\r\n0\r\n\r\n"},
      {"a chunk without its end", te + "chunked\r\n", "1\r\nx0\r\n\r\n"},
  };
}

/// A server that records the targets of what it handles.
struct RecordingServer {
  std::vector<std::string> handled;
  TestServer server{{}, [this](base::Request& request) {
                      handled.push_back(request.target + " " + request.body);
                      return base::Response{200, {}, "ok"};
                    }};
};

void send_in_pieces(RawClient& client, const std::string& bytes, size_t piece) {
  for (size_t at = 0; at < bytes.size(); at += piece) client.send(std::string_view(bytes).substr(at, piece));
}

void rejected_requests() {
  RecordingServer recording;
  for (const auto& framing : rejected_framings())
    for (const size_t piece : {size_t{1}, size_t{1} << 20}) {
      RawClient client(recording.server.address);
      send_in_pieces(client,
                     "POST /first HTTP/1.1\r\nHost: h\r\n" + framing.headers + "\r\n" + framing.body + kNext,
                     piece);
      const auto answer = client.read();
      const auto label = fmt::format("{} in pieces of {}", framing.name, piece);
      expect(answer.starts_with("HTTP/1.1 " + framing.status), label + " was answered " + answer);
      expect(answer.find("Connection: close") != std::string::npos, label + ": the connection is kept");
      expect(answer.find("HTTP/1.1", 1) == std::string::npos, label + ": a second answer: " + answer);
      expect(recording.handled.empty(),
             label + ": handled " + fmt::format("{}", fmt::join(recording.handled, ", ")));
    }
}

void accepted_requests() {
  const std::string te = "Transfer-Encoding: ";
  const std::vector<Framing> accepted = {
      {"a length", "Content-Length: 2\r\n", "ab"},
      {"chunks", te + "chunked\r\n", "2\r\nab\r\n0\r\n\r\n"},
      {"chunks in capitals and white space", "transfer-encoding: \tCHUNKED \r\n", "2\r\nab\r\n0\r\n\r\n"},
      {"chunk sizes with zeros, extensions and trailers", te + "chunked\r\n",
       "0002;a=b;c=\"d\"\r\nab\r\n0;e\r\nX: y\r\n\r\n"},
      {"white space around a length", "Content-Length: \t2 \r\n", "ab"},
  };
  RecordingServer recording;
  for (const auto& framing : accepted)
    for (const size_t piece : {size_t{1}, size_t{1} << 20}) {
      RawClient client(recording.server.address);
      recording.handled.clear();
      send_in_pieces(client,
                     "POST /first HTTP/1.1\r\nHost: h\r\n" + framing.headers + "\r\n" + framing.body + kNext,
                     piece);
      client.read("ok");
      client.read("ok");
      expect(recording.handled == std::vector<std::string>{"/first ab", "/next "},
             framing.name + ": handled " + fmt::format("{}", fmt::join(recording.handled, ", ")));
    }
}

// What comes from a backend in a framing that is not accepted is no response, and the connection isn't used
// again.
void rejected_responses() {
  const std::string smuggled = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad";
  for (const auto& framing : rejected_framings()) {
    ScriptedBackend backend([&](int connection, int, const std::string&) {
      if (connection > 0) return std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood");
      const std::string body = framing.body.starts_with("POST") ? smuggled : framing.body + smuggled;
      return "HTTP/1.1 200 OK\r\n" + framing.headers + "\r\n" + body + "cut";
    });
    net::HttpClient client{1U << 20};
    const base::Request request{"", "GET", "/", "", {}};
    const auto first = client.send(backend.addr(), request, 5s);
    expect(std::holds_alternative<base::AttemptError>(first), framing.name + ": the response was accepted");
    const auto second = client.send(backend.addr(), request, 5s);
    const auto* response = std::get_if<base::Response>(&second);
    expect(response && response->body == "good", framing.name + ": the connection was used again");
  }
}
}  // namespace

std::vector<Case> message_framing_cases() {
  return {{"framing: a request whose end is ambiguous is refused, and nothing behind it is read",
           rejected_requests},
          {"framing: lengths and chunks are accepted, in pieces too", accepted_requests},
          {"framing: a response whose end is ambiguous is none", rejected_responses}};
}

}  // namespace dunlinwing::test
