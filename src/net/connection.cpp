// Asio waits; the bytes themselves are sent by plain calls first, so that an
// answer that fits costs one system call and no round through the reactor.
#include "net/connection.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

#include "net/address.hpp"

namespace dunlinwing::net {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {
// A peer behind a cut that acknowledges nothing is given up after this.
constexpr int kUserTimeoutMs = 5000;
// Whether nothing has come on a socket, and it is open.
bool still_idle(int fd) {
  char byte = 0;
  return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

constexpr size_t kSpareBuffer = 16 << 10;  // a larger buffer is given back once it is empty
}  // namespace

std::pair<std::shared_ptr<Connection>, ErrorCode> Connection::connect(
    const std::string& address, std::chrono::steady_clock::time_point end) {
  auto at = split_address(address);
  if (!at) return {nullptr, make_error_code(boost::system::errc::invalid_argument)};
  auto connection = std::make_shared<Connection>(Socket(EventLoopPool::here()));
  ErrorCode ec;
  tcp::endpoint ep(asio::ip::make_address(at->ip), at->port);
  connection->socket_.open(ep.protocol(), ec);
  if (ec) return {nullptr, ec};
  Timer late;
  late.set(end, [&connection] { connection->interrupt(); });
  std::tie(ec) = await<>([&](auto h) { connection->socket_.async_connect(ep, std::move(h)); });
  if (!ec && connection->interrupted_) ec = make_error_code(boost::system::errc::timed_out);
  if (ec) return {nullptr, ec};
  configure_socket(connection->socket_);
  return {std::move(connection), ErrorCode()};
}

void configure_socket(tcp::socket& s) {
  ErrorCode ec;
  s.set_option(tcp::no_delay(true), ec);
  int ms = kUserTimeoutMs;
  ::setsockopt(s.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

void Connection::start_read(size_t room) {
  if (reading_) return;
  if (begin_ == end_) {
    begin_ = end_ = 0;
    if (buffer_.size() > std::max(kSpareBuffer, 2 * room)) std::string().swap(buffer_);
  }
  if (buffer_.size() < end_ + room) {
    buffer_.erase(0, begin_);
    end_ -= begin_;
    begin_ = 0;
    if (buffer_.size() < end_ + room) buffer_.resize(end_ + room);
  }
  reading_ = true;
  socket_.async_read_some(asio::buffer(buffer_.data() + end_, buffer_.size() - end_),
                          [me = shared_from_this()](ErrorCode e, size_t n) {
                            me->reading_ = false;
                            me->error_ = e;
                            me->end_ += n;
                            if (auto* w = std::exchange(me->waiter_, nullptr))
                              boost::fibers::context::active()->schedule(w);
                            else if (me->on_read_done_)
                              std::exchange(me->on_read_done_, nullptr)();
                          });
}

ErrorCode Connection::read_more(size_t room) {
  if (interrupted_) return asio::error::operation_aborted;
  size_t had = end_ - begin_;
  if (!reading_ && error_) return error_;
  start_read(room);
  auto* me = boost::fibers::context::active();
  while (reading_) {
    waiter_ = me;
    me->suspend();
  }
  if (error_ == asio::error::operation_aborted && interrupted_)
    return std::exchange(error_, ErrorCode());  // it may be used again
  if (end_ - begin_ > had) return {};
  return error_;
}

ErrorCode Connection::write(std::string_view a, std::string_view b, const std::function<void()>& moved) {
  bytes_written_ = 0;
  received_during_write_ = begin_ != end_;
  if (interrupted_) return asio::error::operation_aborted;
  iovec v[2] = {{const_cast<char*>(a.data()), a.size()}, {const_cast<char*>(b.data()), b.size()}};
  msghdr m{};
  m.msg_iov = v;
  m.msg_iovlen = b.empty() ? 1 : 2;
  ssize_t k;
  while ((k = ::sendmsg(socket_.native_handle(), &m, MSG_NOSIGNAL | MSG_DONTWAIT)) < 0 && errno == EINTR) {
  }
  if (k < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
    return ErrorCode(errno, boost::system::system_category());
  bytes_written_ = std::max<ssize_t>(k, 0);
  while (bytes_written_ < a.size() + b.size()) {
    if (interrupted_) return asio::error::operation_aborted;
    std::array<asio::const_buffer, 2> left{
        asio::buffer(a) + bytes_written_,
        asio::buffer(b) + (bytes_written_ - std::min(bytes_written_, a.size()))};
    auto [ec, n] = await<size_t>([&](auto h) { socket_.async_write_some(left, std::move(h)); });
    if (ec) return ec;
    received_during_write_ =
        received_during_write_ || begin_ != end_ ||
        (bytes_written_ + n < a.size() + b.size() && !still_idle(socket_.native_handle()));
    bytes_written_ += n;
    if (moved) moved();
  }
  return {};
}

bool Connection::is_idle() const { return reading_ && !interrupted_ && begin_ == end_; }
bool Connection::is_idle_in_system() const {
  return is_idle() && still_idle(const_cast<Socket&>(socket_).native_handle());
}

void Connection::interrupt() {
  interrupted_ = true;
  ErrorCode ig;
  socket_.cancel(ig);
}

void Connection::close() {
  on_read_done_ = nullptr;
  ErrorCode ig;
  socket_.close(ig);
}

void Connection::reset() {
  ErrorCode ig;
  socket_.set_option(asio::socket_base::linger(true, 0), ig);
  close();
}

void Connection::shutdown_send() {
  ErrorCode ig;
  socket_.shutdown(Socket::shutdown_send, ig);
}

}  // namespace dunlinwing::net
