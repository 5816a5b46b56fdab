/// @file
/// One TCP connection as fibers use it: bytes are read into a buffer of its own and written gathered, and
/// whatever waits on it can be interrupted. A read may be left pending while nobody waits, so that an idle
/// connection learns of its end without being asked.
///
/// Invariants: at most one read is pending, and at most one fiber waits for it.
/// Threads: used by the event loop that its socket belongs to.
#pragma once
#include <boost/asio/ip/tcp.hpp>

#include "net/event_loop.hpp"

namespace dunlinwing::net {

/// Until when an operation on the network may wait.
struct WaitLimit {
  /// A bare time is a limit.
  WaitLimit(std::chrono::steady_clock::time_point time, base::CancellationPtr cancelled_by = nullptr)
      : end(time), cancellation(std::move(cancelled_by)) {}

  std::chrono::steady_clock::time_point end;
  base::CancellationPtr cancellation;  ///< of the request that the operation is for; null: only time ends it

  bool is_over() const { return base::is_cancelled(cancellation) || std::chrono::steady_clock::now() >= end; }
};

/// Sets a socket to what all of ours are: no delay, and given up when a cut lasts.
void configure_socket(boost::asio::ip::tcp::socket& socket);

/// How the wait for a message on an idle connection ended.
enum class MessageWait {
  received,          ///< bytes of it are buffered
  received_as_last,  ///< the same, though the connection was interrupted: it is to end after this message
  ended,             ///< nothing came, and the connection is to end
};

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  static constexpr size_t kReadSize = 2048;  ///< bytes read at once unless stated

  explicit Connection(Socket socket) : socket_(std::move(socket)) {}

  /// Opens a connection; suspends the calling fiber.
  /// @param address  IP:port
  /// @return null when there is none within the limit
  [[nodiscard]] static std::shared_ptr<Connection> connect(const std::string& address,
                                                           const WaitLimit& limit);

  /// What has been read and not consumed.
  std::string_view buffered() const { return {buffer_.data() + begin_, end_ - begin_}; }
  void consume(size_t bytes) { begin_ += bytes; }

  /// Suspends the calling fiber until more bytes are buffered, at most `room`.
  /// @return operation_aborted when interrupted
  [[nodiscard]] ErrorCode read_more(size_t room = kReadSize);

  /// Suspends the calling fiber until the first bytes of the next message are buffered. Who interrupts an
  /// idle connection cannot know what comes until its fiber runs: a message that has come by then is
  /// received, and the interrupt is cleared.
  [[nodiscard]] MessageWait await_message(size_t room = kReadSize);

  /// Sends both parts as one; suspends the calling fiber unless they go at once.
  /// @param on_progress  called as bytes go, if they do not go at once
  /// @return operation_aborted when interrupted
  ErrorCode write(std::string_view first, std::string_view second = {},
                  const std::function<void()>& on_progress = {});

  /// Bytes of the last write() that were handed to the system.
  size_t bytes_written() const { return bytes_written_; }

  /// Whether bytes, or the end, were there before the last write() was complete.
  bool received_during_write() const { return received_during_write_; }

  /// Leaves a read pending, unless one is.
  void start_read(size_t room = kReadSize);
  bool is_reading() const { return reading_; }

  /// Called when a pending read ends for which no fiber waits; null: nobody is.
  void on_read_done(std::function<void()> callback) { on_read_done_ = std::move(callback); }

  /// Whether the last read found that the other side has ended the connection, or that it has failed.
  bool has_ended() const { return !reading_ && error_; }

  /// Whether a read is pending and nothing came: no byte, no end.
  bool is_idle() const;

  /// The same, and the system has nothing either: one system call.
  bool is_idle_in_system() const;

  /// Whoever waits on it, now or next, gets operation_aborted.
  void interrupt();
  bool is_interrupted() const { return interrupted_; }
  void clear_interrupt() { interrupted_ = false; }

  void close();

  /// Closes at once: what was not delivered is dropped, and the other side sees a reset.
  void reset();
  void shutdown_send();

  Socket& socket() { return socket_; }

 private:
  void make_room(size_t room);
  void on_read(ErrorCode error, size_t bytes);
  ErrorCode write_at_once(std::string_view first, std::string_view second);

  Socket socket_;
  std::string buffer_;
  size_t begin_ = 0;  ///< of what is buffered, within the buffer
  size_t end_ = 0;    ///< likewise
  size_t bytes_written_ = 0;
  bool reading_ = false;
  bool interrupted_ = false;
  bool received_during_write_ = false;
  ErrorCode error_;                           ///< of the last read
  boost::fibers::context* waiter_ = nullptr;  ///< the fiber that waits for the pending read
  std::function<void()> on_read_done_;
};

}  // namespace dunlinwing::net
