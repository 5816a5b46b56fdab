// Asio waits; the bytes themselves are sent by plain calls first, so that an
// answer that fits costs one system call and no round through the reactor.
#include "wire/line.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

#include "wire/peer.hpp"

namespace dunlinwing::wire {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {
// A peer behind a cut that acknowledges nothing is given up after this.
constexpr int kUserTimeoutMs = 5000;
constexpr size_t kSpareBuffer = 16 << 10;  // a larger buffer is given back once it is empty
}  // namespace

std::pair<std::shared_ptr<Line>, Ec> Line::to(const std::string& addr,
                                              std::chrono::steady_clock::time_point end) {
  auto at = split_address(addr);
  if (!at) return {nullptr, make_error_code(boost::system::errc::invalid_argument)};
  auto l = std::make_shared<Line>(Socket(Pool::here()));
  Ec ec;
  tcp::endpoint ep(asio::ip::make_address(at->ip), at->port);
  l->s_.open(ep.protocol(), ec);
  if (ec) return {nullptr, ec};
  Alarm late;
  late.set(end, [&l] { l->stop(); });
  std::tie(ec) = await<>([&](auto h) { l->s_.async_connect(ep, std::move(h)); });
  if (!ec && l->stop_) ec = make_error_code(boost::system::errc::timed_out);
  if (ec) return {nullptr, ec};
  settle(l->s_);
  return {std::move(l), Ec()};
}

void settle(tcp::socket& s) {
  Ec ec;
  s.set_option(tcp::no_delay(true), ec);
  int ms = kUserTimeoutMs;
  ::setsockopt(s.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

void Line::arm(size_t room) {
  if (reading_) return;
  if (from_ == to_) {
    from_ = to_ = 0;
    if (buf_.size() > std::max(kSpareBuffer, 2 * room)) std::string().swap(buf_);
  }
  if (buf_.size() < to_ + room) {
    buf_.erase(0, from_);
    to_ -= from_;
    from_ = 0;
    if (buf_.size() < to_ + room) buf_.resize(to_ + room);
  }
  reading_ = true;
  s_.async_read_some(asio::buffer(buf_.data() + to_, buf_.size() - to_),
                     [me = shared_from_this()](Ec e, size_t n) {
                       me->reading_ = false;
                       me->ec_ = e;
                       me->to_ += n;
                       if (auto* w = std::exchange(me->waiter_, nullptr))
                         boost::fibers::context::active()->schedule(w);
                       else if (me->woken_)
                         std::exchange(me->woken_, nullptr)();
                     });
}

Ec Line::fill(size_t room) {
  if (stop_) return asio::error::operation_aborted;
  size_t had = to_ - from_;
  if (!reading_ && ec_) return ec_;
  arm(room);
  auto* me = boost::fibers::context::active();
  while (reading_) {
    waiter_ = me;
    me->suspend();
  }
  if (ec_ == asio::error::operation_aborted && stop_)
    return std::exchange(ec_, Ec());  // it may be used again
  if (to_ - from_ > had) return {};
  return ec_;
}

Ec Line::send(std::string_view a, std::string_view b, const std::function<void()>& moved) {
  sent_ = 0;
  early_ = from_ != to_;
  if (stop_) return asio::error::operation_aborted;
  iovec v[2] = {{const_cast<char*>(a.data()), a.size()}, {const_cast<char*>(b.data()), b.size()}};
  msghdr m{};
  m.msg_iov = v;
  m.msg_iovlen = b.empty() ? 1 : 2;
  ssize_t k;
  while ((k = ::sendmsg(s_.native_handle(), &m, MSG_NOSIGNAL | MSG_DONTWAIT)) < 0 && errno == EINTR) {
  }
  if (k < 0 && errno != EAGAIN && errno != EWOULDBLOCK) return Ec(errno, boost::system::system_category());
  sent_ = std::max<ssize_t>(k, 0);
  while (sent_ < a.size() + b.size()) {
    if (stop_) return asio::error::operation_aborted;
    std::array<asio::const_buffer, 2> left{asio::buffer(a) + sent_,
                                           asio::buffer(b) + (sent_ - std::min(sent_, a.size()))};
    auto [ec, n] = await<size_t>([&](auto h) { s_.async_write_some(left, std::move(h)); });
    if (ec) return ec;
    early_ = early_ || from_ != to_ || (sent_ + n < a.size() + b.size() && !still_idle(s_.native_handle()));
    sent_ += n;
    if (moved) moved();
  }
  return {};
}

bool Line::quiet() const { return reading_ && !stop_ && from_ == to_; }
bool Line::still() const { return quiet() && still_idle(const_cast<Socket&>(s_).native_handle()); }

void Line::stop() {
  stop_ = true;
  Ec ig;
  s_.cancel(ig);
}

void Line::close() {
  woken_ = nullptr;
  Ec ig;
  s_.close(ig);
}

void Line::abort() {
  Ec ig;
  s_.set_option(asio::socket_base::linger(true, 0), ig);
  close();
}

void Line::close_send() {
  Ec ig;
  s_.shutdown(Socket::shutdown_send, ig);
}

}  // namespace dunlinwing::wire
