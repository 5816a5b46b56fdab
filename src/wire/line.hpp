// One TCP connection as fibers use it: bytes are read into a buffer of its own,
// written gathered, and whatever waits on it can be stopped from beside. A read
// may be left pending while nobody waits, so that a kept connection learns of
// its end without being asked.
#pragma once
#include <boost/asio/ip/tcp.hpp>

#include "wire/loop.hpp"

namespace dunlinwing::wire {

// What each of our connections is set to: no delay, and not stuck behind a cut.
void settle(boost::asio::ip::tcp::socket& s);

class Line : public std::enable_shared_from_this<Line> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  explicit Line(Socket s) : s_(std::move(s)) {}

  // A connection to IP:port, or why there is none by `end`.
  static std::pair<std::shared_ptr<Line>, Ec> to(const std::string& addr,
                                                 std::chrono::steady_clock::time_point end);

  std::string_view got() const { return {buf_.data() + from_, to_ - from_}; }
  void use(size_t n) { from_ += n; }
  Ec fill(size_t room = kRoom);  // parks until more bytes are here, at most `room`
  // Sends both parts as one; `moved` is called as bytes go, if they do not go at once.
  Ec send(std::string_view a, std::string_view b = {}, const std::function<void()>& moved = {});
  size_t sent() const { return sent_; }  // bytes of the last `send` that left
  // Whether bytes, or the end, were there before the last `send` was whole.
  bool answered_early() const { return early_; }

  void arm(size_t room = kRoom);           // leaves a read pending
  bool waits() const { return reading_; }  // for bytes, or their end
  bool quiet() const;                      // armed, and nothing came: no byte, no end
  bool still() const;                      // the same, asked of the system now
  void when_woken(std::function<void()> f) {
    woken_ = std::move(f);
  }  // runs when a pending read ends unawaited

  void stop();  // whoever waits on it, now or next, gets `operation_aborted`
  bool stopped() const { return stop_; }
  void go_on() { stop_ = false; }
  void close();
  void abort();  // closes at once: what was not delivered is dropped, the other side sees a reset
  void close_send();
  Socket& socket() { return s_; }

  static constexpr size_t kRoom = 2048;

 private:
  Socket s_;
  std::string buf_;
  size_t from_ = 0, to_ = 0, sent_ = 0;
  bool reading_ = false, stop_ = false, early_ = false;
  Ec ec_;
  boost::fibers::context* waiter_ = nullptr;
  std::function<void()> woken_;
};

}  // namespace dunlinwing::wire
