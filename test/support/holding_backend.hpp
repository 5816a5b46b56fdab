/// @file
/// A stub backend that delays the response to each request until the test releases it, and records when the
/// peer closes the connection before that.
#pragma once
#include <set>

#include "net/net_cases.hpp"

namespace dunlinwing::test {

class HoldingBackend {
 public:
  HoldingBackend()
      : acceptor_(std::make_shared<Acceptor>(
            pool().io(0), boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))) {
    pool().spawn([this, acceptor = acceptor_] { accept(*acceptor); });
  }
  ~HoldingBackend() {
    acceptor_->close();
    for (const auto& weak : connections_)
      if (const auto connection = weak.lock()) connection->interrupt();
    while (open_ > 0) net::SystemClock().sleep(1ms);
  }

  std::string address() const { return fmt::format("127.0.0.1:{}", acceptor_->local_endpoint().port()); }

  /// Whether the request with this Attempt-Id was received.
  bool has(const std::string& id) const { return received_.count(id) > 0; }
  /// How often it was received.
  int count(const std::string& id) const { return static_cast<int>(received_.count(id)); }
  /// Whether the peer closed the connection before the response.
  bool was_abandoned(const std::string& id) const { return abandoned_.count(id) > 0; }
  /// Responds to a request, now or when it arrives.
  void release(const std::string& id) { released_.insert(id); }
  /// Closes the connection of a request without a response.
  void cut(const std::string& id) { cut_.insert(id); }

 private:
  using Acceptor = boost::asio::ip::tcp::acceptor;

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

  /// Reads one request and delays its response; false when the connection must be closed.
  bool serve(net::Connection& connection) {
    size_t end = 0;
    while ((end = connection.buffered().find("\r\n\r\n")) == std::string_view::npos)
      if (connection.read_more()) return false;
    const std::string head(connection.buffered().substr(0, end + 2));
    const std::string id = attempt_id(head);
    connection.consume(connection.buffered().size());  // these tests send each body together with its head
    received_.insert(id);
    if (!hold(connection, id)) return false;
    const std::string body = "made for " + id;
    return !connection.write(fmt::format(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nEdge-Signature: s.{}\r\nContent-Length: {}\r\n\r\n{}", id, id,
        body.size(), body));
  }

  /// Waits until the request is released; false when its connection was or must be closed.
  bool hold(net::Connection& connection, const std::string& id) {
    connection.start_read();
    net::SystemClock clock;
    while (released_.count(id) == 0) {
      if (cut_.count(id) > 0 || connection.is_interrupted()) return false;
      if (!connection.is_reading()) {
        abandoned_.insert(id);
        return false;
      }
      clock.sleep(1ms);
    }
    return true;
  }

  static std::string attempt_id(const std::string& head) {
    constexpr std::string_view kName = "Attempt-Id: ";
    const auto at = head.find(kName);
    if (at == std::string::npos) return {};
    const auto begin = at + kName.size();
    return head.substr(begin, head.find('\r', begin) - begin);
  }

  std::shared_ptr<Acceptor> acceptor_;
  std::vector<std::weak_ptr<net::Connection>> connections_;
  std::multiset<std::string> received_;
  std::set<std::string> abandoned_, released_, cut_;
  int open_ = 0;
};

}  // namespace dunlinwing::test
