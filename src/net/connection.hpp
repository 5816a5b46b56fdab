// One TCP connection as fibers use it: bytes are read into a buffer of its own,
// written gathered, and whatever waits on it can be stopped from beside. A read
// may be left pending while nobody waits, so that a kept connection learns of
// its end without being asked.
#pragma once
#include <boost/asio/ip/tcp.hpp>

#include "net/event_loop.hpp"

namespace dunlinwing::net {

// What each of our connections is set to: no delay, and not stuck behind a cut.
void configure_socket(boost::asio::ip::tcp::socket& s);

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  explicit Connection(Socket s) : socket_(std::move(s)) {}

  // A connection to IP:port, or why there is none by `end`.
  static std::pair<std::shared_ptr<Connection>, ErrorCode> connect(const std::string& address,
                                                                   std::chrono::steady_clock::time_point end);

  std::string_view buffered() const { return {buffer_.data() + begin_, end_ - begin_}; }
  void consume(size_t n) { begin_ += n; }
  ErrorCode read_more(size_t room = kReadSize);  // parks until more bytes are here, at most `room`
  // Sends both parts as one; `moved` is called as bytes go, if they do not go at once.
  ErrorCode write(std::string_view a, std::string_view b = {}, const std::function<void()>& moved = {});
  size_t bytes_written() const { return bytes_written_; }  // bytes of the last `send` that left
  // Whether bytes, or the end, were there before the last `send` was whole.
  bool received_during_write() const { return received_during_write_; }

  void start_read(size_t room = kReadSize);     // leaves a read pending
  bool is_reading() const { return reading_; }  // for bytes, or their end
  bool is_idle() const;                         // armed, and nothing came: no byte, no end
  bool is_idle_in_system() const;               // the same, asked of the system now
  void on_read_done(std::function<void()> f) {
    on_read_done_ = std::move(f);
  }  // runs when a pending read ends unawaited

  void interrupt();  // whoever waits on it, now or next, gets `operation_aborted`
  bool is_interrupted() const { return interrupted_; }
  void clear_interrupt() { interrupted_ = false; }
  void close();
  void reset();  // closes at once: what was not delivered is dropped, the other side sees a reset
  void shutdown_send();
  Socket& socket() { return socket_; }

  static constexpr size_t kReadSize = 2048;

 private:
  Socket socket_;
  std::string buffer_;
  size_t begin_ = 0, end_ = 0, bytes_written_ = 0;
  bool reading_ = false, interrupted_ = false, received_during_write_ = false;
  ErrorCode error_;
  boost::fibers::context* waiter_ = nullptr;
  std::function<void()> on_read_done_;
};

}  // namespace dunlinwing::net
