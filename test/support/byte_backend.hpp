// A stub backend that fails at one chosen byte of a request it reads or of the response
// it sends. It counts the completely received requests by Attempt-Id.
#pragma once
#include <charconv>
#include <set>

#include "net/net_cases.hpp"

namespace dunlinwing::test {

enum class BackendFault { none, close, reset, silence };

// What the backend does with the first request that carries `victim` as its Attempt-Id.
struct Plan {
  std::string victim;
  BackendFault fault = BackendFault::none;
  bool receiving = false;  // whether `at` counts bytes of the request; otherwise of the response
  size_t at = 0;           // bytes after which the fault occurs
  bool chunked = false;    // whether responses are chunked; otherwise Content-Length
  std::string before;      // sent in one segment with the response, before it
  std::string together;    // sent in one segment with the response, after it
  std::string later;       // sent separately soon after the response
  std::string early;       // sent once `at` bytes of the request are read
  std::string instead;     // replaces the complete response to the victim
};

inline std::string good_body(const std::string& id) { return "made for " + id; }

// A complete response with the id of the request and a signature.
inline std::string good_answer(const std::string& id, bool chunked) {
  auto body = good_body(id);
  auto head = fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nEdge-Signature: s.{}\r\n", id, id);
  if (!chunked) return fmt::format("{}Content-Length: {}\r\n\r\n{}", head, body.size(), body);
  constexpr size_t kFirst = 4;
  return fmt::format(
      "{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n{:x};x=y\r\n{}\r\n0\r\nX-T: 1\r\n\r\n", head, kFirst,
      body.substr(0, kFirst), body.size() - kFirst, body.substr(kFirst));
}

class ByteBackend {
 public:
  explicit ByteBackend(Plan plan)
      : plan_(std::move(plan)), acceptor_(std::make_shared<Acceptor>(pool().io(0), Endpoint(loopback(), 0))) {
    pool().spawn([this, acceptor = acceptor_] { accept(*acceptor); });
  }
  ~ByteBackend() {
    closing_ = true;
    acceptor_->close();
    for (auto& weak : connections_)
      if (auto connection = weak.lock()) connection->interrupt();
    net::SystemClock clock;
    while (open_) clock.sleep(1ms);
  }
  std::string address() const { return fmt::format("127.0.0.1:{}", acceptor_->local_endpoint().port()); }
  int received_count(const std::string& id) const {
    auto found = received_counts_.find(id);
    return found == received_counts_.end() ? 0 : found->second;
  }
  bool begun(const std::string& id) const { return begun_.count(id) > 0; }  // its head was received
  // The size of the longest request that was received completely.
  size_t request_bytes() const { return request_bytes_; }
  void freeze() { frozen_ = true; }
  void thaw() { frozen_ = false; }

 private:
  using Acceptor = boost::asio::ip::tcp::acceptor;
  using Endpoint = boost::asio::ip::tcp::endpoint;
  static boost::asio::ip::address loopback() { return boost::asio::ip::make_address("127.0.0.1"); }

  void accept(Acceptor& acceptor) {
    for (;;) {
      boost::asio::ip::tcp::socket socket(pool().io(0));
      auto [failed] = net::await<>([&](auto done) { acceptor.async_accept(socket, std::move(done)); });
      if (failed) return;
      ++open_;
      auto connection = std::make_shared<net::Connection>(std::move(socket));
      connections_.push_back(connection);
      pool().spawn([this, connection] {
        while (serve(*connection)) {
        }
        connection->close();
        --open_;
      });
    }
  }

  static std::string header_of(std::string_view head, std::string_view name) {
    auto at = head.find(fmt::format("\r\n{}: ", name));
    if (at == head.npos) return {};
    auto from = at + name.size() + 4;
    return std::string(head.substr(from, head.find('\r', from) - from));
  }

  // The size of the request in `got` in bytes, once its head is complete.
  static std::optional<size_t> request_size(std::string_view got) {
    auto end = got.find("\r\n\r\n");
    if (end == got.npos) return {};
    size_t body = 0;
    auto length = header_of(got.substr(0, end + 2), "Content-Length");
    std::from_chars(length.data(), length.data() + length.size(), body);
    return end + 4 + body;
  }

  void wait_while_frozen() {
    net::SystemClock clock;
    while (frozen_ && !closing_) clock.sleep(1ms);
  }

  // Injects the planned fault; silence lasts until the peer closes the connection.
  bool fail(net::Connection& connection) {
    if (plan_.fault == BackendFault::reset)
      connection.socket().set_option(boost::asio::socket_base::linger(true, 0));
    if (plan_.fault == BackendFault::silence) {
      connection.consume(connection.buffered().size());
      while (!connection.read_more()) connection.consume(connection.buffered().size());
    }
    return false;
  }

  // Reads one request and responds to it; false when the connection must be closed.
  bool serve(net::Connection& connection) {
    bool sent_early = false;
    std::optional<size_t> size;
    for (;;) {
      wait_while_frozen();
      auto got = connection.buffered();
      size = request_size(got);
      if (size) begun_.insert(header_of(got.substr(0, got.find("\r\n\r\n") + 2), "Attempt-Id"));
      bool complete = size && got.size() >= *size;
      bool is_victim = !hit_ && (plan_.victim.empty() || header_of(got, "Attempt-Id") == plan_.victim ||
                                 (expect_victim_ && !size));
      if (plan_.receiving && is_victim && got.size() >= plan_.at) {
        if (!plan_.early.empty() && !std::exchange(sent_early, true)) connection.write(plan_.early);
        if (plan_.fault != BackendFault::none) {
          hit_ = true;
          if (size && plan_.at >= *size) count(got, *size);
          return fail(connection);
        }
      }
      if (complete) break;
      if (connection.read_more()) return false;
    }
    std::string head(connection.buffered().substr(0, connection.buffered().find("\r\n\r\n") + 2));
    count(head, *size);
    connection.consume(*size);
    return answer(connection, header_of(head, "Attempt-Id"));
  }

  void count(std::string_view request, size_t size) {
    ++received_counts_[header_of(request, "Attempt-Id")];
    request_bytes_ = std::max(request_bytes_, size);
  }

  bool answer(net::Connection& connection, const std::string& id) {
    auto proper = good_answer(id, plan_.chunked);
    if (id != plan_.victim || std::exchange(hit_, true)) return !connection.write(proper);
    if (!plan_.instead.empty()) proper = plan_.instead;
    if (plan_.fault != BackendFault::none && !plan_.receiving) {
      connection.write(std::string_view(proper).substr(0, plan_.at));
      return fail(connection);
    }
    if (connection.write(plan_.before + proper + plan_.together)) return false;
    if (plan_.later.empty()) return true;
    net::SystemClock().sleep(1ms);
    return !connection.write(plan_.later);
  }

 public:
  // Treats the next bytes of a request as the victim's before its Attempt-Id is received.
  void expect_victim() { expect_victim_ = true; }

 private:
  Plan plan_;
  std::shared_ptr<Acceptor> acceptor_;
  std::vector<std::weak_ptr<net::Connection>> connections_;
  std::map<std::string, int> received_counts_;
  std::set<std::string> begun_;
  size_t request_bytes_ = 0;
  int open_ = 0;
  bool hit_ = false, frozen_ = false, closing_ = false, expect_victim_ = false;
};

}  // namespace dunlinwing::test
