// Writes are first tried with a direct sendmsg(), so that a response that fits into the socket's send buffer
// costs one system call and no pass through the reactor. Asio handles the rest.
#include "net/connection.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

#include "net/address.hpp"
#include "net/wait_limit.hpp"

namespace dunlinwing::net {
namespace asio = boost::asio;

namespace {
// TCP_USER_TIMEOUT: a connection whose peer acknowledges nothing, as in a partition, fails after this.
constexpr int kUserTimeoutMs = 5000;
// TCP_NOTSENT_LOWAT: what the system holds for a peer that does not read, beyond what is on its way.
constexpr int kMaxUnsentBytes = 64 << 10;
constexpr size_t kSpareBuffer = 16 << 10;  // a larger buffer is freed once it is empty

// Peeks at a socket's receive buffer: > 0 when bytes are there, 0 at the end of the stream, < 0 on an error.
ssize_t peek(int fd) {
  char byte = 0;
  return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

// Whether the socket is open and its receive buffer empty.
bool still_idle(int fd) { return peek(fd) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK); }

// Whether the socket's receive buffer holds unread bytes.
bool has_unread_bytes(int fd) { return peek(fd) > 0; }

iovec io_vector(std::string_view bytes) { return {const_cast<char*>(bytes.data()), bytes.size()}; }
}  // namespace

std::shared_ptr<Connection> Connection::connect(const std::string& address, const WaitLimit& limit) {
  const auto parts = parse_address(address);
  if (!parts) return nullptr;
  auto connection = std::make_shared<Connection>(Socket(EventLoopPool::io_of_this_thread()));
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(parts->ip), parts->port);
  ErrorCode open_error;
  connection->socket_.open(endpoint.protocol(), open_error);
  if (open_error) return nullptr;
  const WaitLimitGuard guard(*connection, limit);
  const auto [error] =
      await<>([&](auto handler) { connection->socket_.async_connect(endpoint, std::move(handler)); });
  if (error || connection->interrupted_) return nullptr;
  configure_socket(connection->socket_);
  return connection;
}

void configure_socket(asio::ip::tcp::socket& socket) {
  ErrorCode ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const int timeout_ms = kUserTimeoutMs;
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
  const int unsent_bytes = kMaxUnsentBytes;
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent_bytes, sizeof unsent_bytes);
}

void Connection::make_room(size_t room) {
  if (begin_ == end_) {
    begin_ = end_ = 0;
    if (buffer_.size() > std::max(kSpareBuffer, 2 * room)) std::string().swap(buffer_);
  }
  if (buffer_.size() >= end_ + room) return;
  buffer_.erase(0, begin_);
  end_ -= begin_;
  begin_ = 0;
  if (buffer_.size() < end_ + room) buffer_.resize(end_ + room);
}

void Connection::start_read(size_t room) {
  if (reading_) return;
  make_room(room);
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(buffer_.data() + end_, buffer_.size() - end_),
      [self = shared_from_this()](ErrorCode error, size_t bytes) { self->on_read(error, bytes); });
}

void Connection::on_read(ErrorCode error, size_t bytes) {
  reading_ = false;
  error_ = error;
  end_ += bytes;
  if (auto* fiber = std::exchange(waiter_, nullptr))
    boost::fibers::context::active()->schedule(fiber);
  else if (on_read_done_)
    std::exchange(on_read_done_, nullptr)();
}

ErrorCode Connection::read_more(size_t room) {
  if (interrupted_) return asio::error::operation_aborted;
  const size_t had = end_ - begin_;
  if (!reading_ && error_) return error_;
  start_read(room);
  auto* fiber = boost::fibers::context::active();
  while (reading_) {
    waiter_ = fiber;
    fiber->suspend();
  }
  if (error_ == asio::error::operation_aborted && interrupted_)
    return std::exchange(error_, ErrorCode());  // the connection may be used again
  if (end_ - begin_ > had) return {};
  return error_;
}

MessageWait Connection::await_message(size_t room) {
  ErrorCode error = read_more(room);
  bool is_last = std::exchange(interrupted_, false);
  while (error && is_last && has_unread_bytes(socket_.native_handle())) {
    error = read_more(room);  // may be interrupted again: the connection looks idle until it returns
    interrupted_ = false;
  }
  if (error) return MessageWait::ended;
  return is_last ? MessageWait::received_as_last : MessageWait::received;
}

ErrorCode Connection::write_at_once(std::string_view first, std::string_view second) {
  iovec parts[2] = {io_vector(first), io_vector(second)};
  msghdr message{};
  message.msg_iov = parts;
  message.msg_iovlen = second.empty() ? 1 : 2;
  ssize_t sent = 0;
  do {
    sent = ::sendmsg(socket_.native_handle(), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
  } while (sent < 0 && errno == EINTR);
  if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) return {errno, boost::system::system_category()};
  bytes_written_ = static_cast<size_t>(std::max<ssize_t>(sent, 0));
  return {};
}

ErrorCode Connection::write(std::string_view first, std::string_view second,
                            const std::function<void()>& on_progress) {
  bytes_written_ = 0;
  received_during_write_ = begin_ != end_;
  if (interrupted_) return asio::error::operation_aborted;
  if (const auto error = write_at_once(first, second)) return error;
  const size_t size = first.size() + second.size();
  while (bytes_written_ < size) {
    if (interrupted_) return asio::error::operation_aborted;
    const std::array<asio::const_buffer, 2> left{
        asio::buffer(first) + bytes_written_,
        asio::buffer(second) + (bytes_written_ - std::min(bytes_written_, first.size()))};
    const auto [error, bytes] =
        await<size_t>([&](auto handler) { socket_.async_write_some(left, std::move(handler)); });
    if (error) return error;
    received_during_write_ = received_during_write_ || begin_ != end_ ||
                             (bytes_written_ + bytes < size && !still_idle(socket_.native_handle()));
    bytes_written_ += bytes;
    if (on_progress) on_progress();
  }
  return {};
}

bool Connection::is_idle() const { return reading_ && !interrupted_ && begin_ == end_; }

bool Connection::is_idle_in_kernel() const {
  return is_idle() && still_idle(const_cast<Socket&>(socket_).native_handle());
}

void Connection::interrupt() {
  interrupted_ = true;
  ErrorCode ignored;
  socket_.cancel(ignored);
}

void Connection::close() {
  on_read_done_ = nullptr;
  ErrorCode ignored;
  socket_.close(ignored);
}

void Connection::reset() {
  ErrorCode ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close();
}

void Connection::shutdown_send() {
  ErrorCode ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
}

}  // namespace dunlinwing::net
