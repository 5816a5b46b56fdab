/// @file
/// A TCP connection for use by fibers, with its own read buffer and gathered writes. Operations that wait on
/// it can be interrupted. A read may be left pending while no fiber waits for it, so that the end of an idle
/// connection is noticed without polling.
///
/// Invariants: at most one read is pending, and at most one fiber waits for it.
/// Threads: used only on the event loop that its socket belongs to.
#pragma once
#include <boost/asio/ip/tcp.hpp>

#include "net/event_loop.hpp"

namespace dunlinwing::net {

/// How long a network operation may wait.
struct WaitLimit {
  /// Implicit: a deadline alone is a limit.
  WaitLimit(std::chrono::steady_clock::time_point time, base::CancellationPtr cancelled_by = nullptr)
      : end(time), cancellation(std::move(cancelled_by)) {}

  std::chrono::steady_clock::time_point end;
  base::CancellationPtr cancellation;  ///< of the request that the operation serves; null: no cancellation

  bool is_over() const { return base::is_cancelled(cancellation) || std::chrono::steady_clock::now() >= end; }
};

/// Sets the options of every socket of this process: TCP_NODELAY, TCP_USER_TIMEOUT and TCP_NOTSENT_LOWAT.
void configure_socket(boost::asio::ip::tcp::socket& socket);

/// How the wait for a message on an idle connection ended.
enum class MessageWait {
  received,          ///< bytes of the message are buffered
  received_as_last,  ///< the same, but the connection was interrupted and must end after this message
  ended,             ///< no bytes were received, and the connection must end
};

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  static constexpr size_t kReadSize = 2048;  ///< bytes read at once by default

  explicit Connection(Socket socket) : socket_(std::move(socket)) {}

  /// Opens a connection; suspends the calling fiber.
  /// @param address  IP:port
  /// @return null when the connection could not be opened within the limit
  [[nodiscard]] static std::shared_ptr<Connection> connect(const std::string& address,
                                                           const WaitLimit& limit);

  /// Bytes that have been read and not consumed.
  std::string_view buffered() const { return {buffer_.data() + begin_, end_ - begin_}; }
  void consume(size_t bytes) { begin_ += bytes; }

  /// Suspends the calling fiber until more bytes are buffered, at most `room`.
  /// @return operation_aborted when interrupted
  [[nodiscard]] ErrorCode read_more(size_t room = kReadSize);

  /// Suspends the calling fiber until the first bytes of the next message are buffered. A
  /// message may arrive after an idle connection was interrupted and before its fiber runs: it is then
  /// received, and the interrupt is cleared.
  [[nodiscard]] MessageWait await_message(size_t room = kReadSize);

  /// Sends both parts in one gathered write; suspends the calling fiber unless that completes immediately.
  /// @param on_progress  called as bytes are sent, unless the write completes immediately
  /// @return operation_aborted when interrupted
  ErrorCode write(std::string_view first, std::string_view second = {},
                  const std::function<void()>& on_progress = {});

  /// Bytes of the last write() that the kernel accepted.
  size_t bytes_written() const { return bytes_written_; }

  /// Whether bytes or the end of the stream arrived before the last write() was complete.
  bool received_during_write() const { return received_during_write_; }

  /// Starts a read and leaves it pending, unless one is pending already.
  void start_read(size_t room = kReadSize);
  bool is_reading() const { return reading_; }

  /// Sets the callback for the end of a pending read that no fiber waits for; null removes it.
  void on_read_done(std::function<void()> callback) { on_read_done_ = std::move(callback); }

  /// Whether the last read found that the peer has closed the connection, or that it has failed.
  bool has_ended() const { return !reading_ && error_; }

  /// Whether a read is pending and neither a byte nor the end of the stream was received.
  bool is_idle() const;

  /// The same, and the socket's receive buffer is empty too. Costs one system call.
  bool is_idle_in_kernel() const;

  /// The operation that waits on the connection, or else the next one, returns operation_aborted.
  void interrupt();
  bool is_interrupted() const { return interrupted_; }
  void clear_interrupt() { interrupted_ = false; }

  void close();

  /// Closes at once: undelivered bytes are dropped, and the peer sees a reset.
  void reset();
  void shutdown_send();

  Socket& socket() { return socket_; }

 private:
  void make_room(size_t room);
  void on_read(ErrorCode error, size_t bytes);
  ErrorCode write_at_once(std::string_view first, std::string_view second);

  Socket socket_;
  std::string buffer_;
  size_t begin_ = 0;  ///< offset of the unconsumed bytes in the buffer
  size_t end_ = 0;    ///< offset of their end
  size_t bytes_written_ = 0;
  bool reading_ = false;
  bool interrupted_ = false;
  bool received_during_write_ = false;
  ErrorCode error_;                           ///< of the last read
  boost::fibers::context* waiter_ = nullptr;  ///< the fiber that waits for the pending read
  std::function<void()> on_read_done_;
};

}  // namespace dunlinwing::net
