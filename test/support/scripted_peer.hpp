// A peer for tests of requests between relays, with full control over the bytes it sends.
#pragma once
#include "net/net_cases.hpp"

namespace dunlinwing::test {

// `script` receives each request and returns the bytes to send; the text "cut" or "reset" at
// their end closes or resets the connection.
class ScriptedPeer {
 public:
  using Script = std::function<std::string(int connection, const pb::PeerRequest& ask)>;
  explicit ScriptedPeer(Script script)
      : script_(std::move(script)),
        acceptor_(std::make_shared<boost::asio::ip::tcp::acceptor>(
            pool().io(0), boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))) {
    pool().spawn([this, acceptor = acceptor_] {
      for (;;) {
        boost::asio::ip::tcp::socket socket(pool().io(0));
        auto [failed] = net::await<>([&](auto done) { acceptor->async_accept(socket, std::move(done)); });
        if (failed) return;
        ++open_;
        auto line = std::make_shared<net::Connection>(std::move(socket));
        lines_.push_back(line);
        pool().spawn([this, line, connection = connections_++] {
          serve(connection, *line);
          line->close();
          --open_;
        });
      }
    });
  }
  ~ScriptedPeer() {
    acceptor_->close();
    for (auto& weak : lines_)
      if (auto connection = weak.lock()) connection->interrupt();
    while (open_) net::SystemClock().sleep(1ms);
  }
  std::string address() const { return fmt::format("127.0.0.1:{}", acceptor_->local_endpoint().port()); }
  int connections() const { return connections_; }
  static std::string frame(const google::protobuf::MessageLite& message) {
    auto bytes = message.SerializeAsString();
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(bytes.size() >> shift & 0xff);
    return out + bytes;
  }

 private:
  void serve(int connection, net::Connection& line) {
    for (;;) {
      auto size = [&] {
        auto got = line.buffered();
        if (got.size() < 4) return size_t(4);
        size_t bytes = 0;
        for (int i = 0; i < 4; ++i) bytes = bytes << 8 | static_cast<unsigned char>(got[i]);
        return 4 + bytes;
      };
      while (line.buffered().size() < size())
        if (line.read_more()) return;
      pb::PeerRequest ask;
      ask.ParseFromArray(line.buffered().data() + 4, static_cast<int>(size() - 4));
      line.consume(size());
      auto bytes = script_(connection, ask);
      bool cut = bytes.ends_with("cut"), reset = bytes.ends_with("reset");
      bytes.resize(bytes.size() - (cut ? 3 : reset ? 5 : 0));
      if (reset) line.socket().set_option(boost::asio::socket_base::linger(true, 0));
      if ((!bytes.empty() && line.write(bytes)) || cut || reset) return;
    }
  }
  Script script_;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::vector<std::weak_ptr<net::Connection>> lines_;
  int connections_ = 0, open_ = 0;
};

}  // namespace dunlinwing::test
