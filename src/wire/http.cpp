// Beast does the parsing. What is ours: one fiber a connection, whole bodies
// within bounds, framing that Beast would let pass but RFC 9112 forbids, and
// fresh connections for unsafe methods, since a kept one may just have been
// closed at the other end.
#include "wire/http.hpp"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/version.hpp>
#include <set>

#include "base/log.hpp"
#include "wire/peer.hpp"

namespace dunlinwing::wire {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {
constexpr base::Log lg("http");

template <class M>
void copy_headers(const M& m, std::vector<std::pair<std::string, std::string>>& out) {
  for (auto& f : m) out.emplace_back(std::string(f.name_string()), std::string(f.value()));
}

http::response<http::string_body> plain(int status, unsigned version, bool keep, const std::string& why) {
  http::response<http::string_body> r{static_cast<http::status>(status), version};
  r.set(http::field::content_type, "application/json");
  r.keep_alive(keep);
  r.body() = fmt::format("{{\"defect\":\"{}\"}}\n", why);
  r.prepare_payload();
  return r;
}

// RFC 9112, 6.3 and 3.2: lengths that could be read in two ways, and a Host
// that is missing or doubled, are turned away and the connection ends.
std::optional<std::string> misframed(const http::request<http::string_body>& q) {
  if (q.count(http::field::content_length) > 1) return "more than one Content-Length";
  if (q.count(http::field::content_length) && q.count(http::field::transfer_encoding))
    return "both Content-Length and Transfer-Encoding";
  if (q.count(http::field::transfer_encoding) && q.version() < 11) return "Transfer-Encoding before HTTP/1.1";
  if (q.version() >= 11 && q.count(http::field::host) != 1) return "exactly one Host is needed";
  if (q.target().empty() || (q.target()[0] != '/' && q.target() != "*")) return "the target must be a path";
  return {};
}
}  // namespace

struct HttpServer::Impl {
  Pool& pool;
  std::string name;
  HttpLimits lim;
  HttpHandler h;
  std::atomic<bool> closing{false}, last{false};
  std::atomic<int> running{0};
  std::shared_ptr<tcp::acceptor> acc;

  Impl(Pool& p, std::string n, HttpLimits l, HttpHandler f)
      : pool(p), name(std::move(n)), lim(l), h(std::move(f)) {}
  void talk(beast::tcp_stream s);
};

HttpServer::HttpServer(Pool& pool, std::string name, HttpLimits l, HttpHandler h)
    : p_(std::make_shared<Impl>(pool, std::move(name), l, std::move(h))) {}
HttpServer::~HttpServer() = default;
int HttpServer::running() const { return p_->running; }

void HttpServer::wind_down() { p_->last = true; }

void HttpServer::close() {
  p_->closing = true;
  p_->pool.spawn_on(0, [p = p_] {
    Ec ec;
    if (p->acc) p->acc->close(ec);
  });
}

void HttpServer::Impl::talk(beast::tcp_stream s) {
  beast::flat_buffer buf;
  while (!closing) {
    http::request_parser<http::string_body> par;
    par.header_limit(static_cast<uint32_t>(lim.head_bytes));
    par.body_limit(lim.body_bytes);
    s.expires_after(buf.size() ? lim.read : lim.idle);
    auto [ec, n] = await<size_t>([&](auto k) { http::async_read_header(s, buf, par, std::move(k)); });
    if (!ec && base::same_word(std::string_view(par.get()[http::field::expect]), "100-continue") &&
        par.get().version() >= 11 && !par.is_done()) {
      http::response<http::empty_body> go{http::status::continue_, 11};
      s.expires_after(lim.write);
      auto [e, k] = await<size_t>([&](auto h2) { http::async_write(s, go, std::move(h2)); });
      if (e) return;
    }
    if (!ec) {
      s.expires_after(lim.read);
      auto [e, k] = await<size_t>([&](auto h2) { http::async_read(s, buf, par, std::move(h2)); });
      ec = e;
    }
    if (ec == http::error::end_of_stream) break;
    auto finish = [&](auto& r) {
      s.expires_after(lim.write);
      auto [e, k] = await<size_t>([&](auto h2) { http::async_write(s, r, std::move(h2)); });
      return !e;
    };
    if (ec) {
      if (ec.category() != make_error_code(http::error::bad_method).category() || ec == http::error::partial_message)
        return;
      int st = ec == http::error::body_limit ? 413 : ec == http::error::header_limit ? 431 : 400;
      auto r = plain(st, 11, false, ec.message());
      finish(r);
      break;
    }
    auto m = par.release();
    if (auto w = misframed(m)) {
      auto r = plain(400, 11, false, *w);
      finish(r);
      break;
    }
    base::Request q;
    q.method = std::string(m.method_string());
    q.target = std::string(m.target());
    copy_headers(m, q.headers);
    q.body = std::move(m.body());
    ++running;
    auto a = h(q);
    --running;
    http::response<http::string_body> r{static_cast<http::status>(a.status), m.version()};
    for (auto& [k, v] : a.headers) r.insert(k, v);
    bool keep = m.keep_alive() && !closing && !last;
    r.keep_alive(keep);
    bool bare = a.status == 204 || a.status == 304 || a.status / 100 == 1;
    if (m.method() == http::verb::head) {
      if (!r.count(http::field::content_length)) r.content_length(a.body.size());
      http::response_serializer<http::string_body> ser(r);
      ser.split(true);
      s.expires_after(lim.write);
      auto [e, k] = await<size_t>([&](auto h2) { http::async_write_header(s, ser, std::move(h2)); });
      if (e) return;
    } else {
      if (!bare) {
        r.body() = std::move(a.body);
        r.content_length(r.body().size());
      }
      if (!finish(r)) return;
    }
    if (!keep) break;
  }
  Ec ig;
  s.socket().shutdown(tcp::socket::shutdown_send, ig);
}

std::optional<std::string> HttpServer::listen(const std::string& addr, int from, int to) {
  auto at = split_address(addr);
  if (!at) return "the address is not IP:port";
  Ec ec;
  p_->acc = std::make_shared<tcp::acceptor>(p_->pool.io(0));
  tcp::endpoint ep(asio::ip::make_address(at->ip), at->port);
  p_->acc->open(ep.protocol(), ec);
  if (!ec) p_->acc->set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) p_->acc->bind(ep, ec);
  if (!ec) p_->acc->listen(1024, ec);
  if (ec) return fmt::format("cannot listen on {}: {}", addr, ec.message());
  p_->pool.spawn_on(0, [p = p_, from, to] {
    for (int i = from; !p->closing;) {
      if (++i >= to) i = from;
      auto s = std::make_shared<tcp::socket>(p->pool.io(i));
      auto [ec] = await<>([&](auto k) { p->acc->async_accept(*s, std::move(k)); });
      if (p->closing) return;
      if (ec) {
        lg.warn("A connection to {} was lost while being taken: {}.", p->name, ec.message());
        RealClock().nap(Span(20));
        continue;
      }
      s->set_option(tcp::no_delay(true), ec);
      p->pool.spawn_on(i, [p, s] { p->talk(beast::tcp_stream(std::move(*s))); });
    }
  });
  return {};
}

namespace {
thread_local std::map<std::string, std::vector<std::unique_ptr<beast::tcp_stream>>> spare;
constexpr size_t kMostSpare = 16;
}  // namespace

bool HttpOrigin::reach(const std::string& addr, Span limit) {
  auto at = split_address(addr);
  if (!at) return false;
  beast::tcp_stream s(Pool::here());
  s.expires_after(limit);
  auto [ec] = await<>([&](auto h) { s.async_connect(tcp::endpoint(asio::ip::make_address(at->ip), at->port), std::move(h)); });
  return !ec;
}

std::variant<base::Receipt, base::ShotDefect> HttpOrigin::shoot(const std::string& addr, const base::Request& q,
                                                                const base::ShotRules& rules) {
  using base::ShotDefect;
  auto end = std::chrono::steady_clock::now() + rules.limit;
  bool safe = q.method == "GET" || q.method == "HEAD";
  std::unique_ptr<beast::tcp_stream> s;
  for (auto& v = spare[addr]; safe && !s && !v.empty();) {
    s = std::move(v.back());
    v.pop_back();
    if (!still_idle(s->socket().native_handle())) s.reset();
  }
  if (!s) {
    auto at = split_address(addr);
    if (!at) return ShotDefect::unsent;
    s = std::make_unique<beast::tcp_stream>(Pool::here());
    s->expires_at(end);
    auto [ec] = await<>(
        [&](auto h) { s->async_connect(tcp::endpoint(asio::ip::make_address(at->ip), at->port), std::move(h)); });
    if (ec) return ShotDefect::unsent;
    s->socket().set_option(tcp::no_delay(true), ec);
  }
  auto verb = http::string_to_verb(q.method);
  http::request<http::string_body> m;
  if (verb == http::verb::unknown)
    m.method_string(q.method);
  else
    m.method(verb);
  m.target(q.target);
  m.version(11);
  for (auto& [k, v] : q.headers) m.insert(k, v);
  if (!m.count(http::field::host)) m.set(http::field::host, addr);
  m.body() = q.body;
  if (!q.body.empty() || q.method == "POST" || q.method == "PUT" || q.method == "PATCH")
    m.content_length(q.body.size());
  m.keep_alive(safe);
  s->expires_at(end);
  auto [ec, n] = await<size_t>([&](auto h) { http::async_write(*s, m, std::move(h)); });
  if (ec) return ShotDefect::unknown;  // some bytes may have left
  beast::flat_buffer buf;
  http::response_parser<http::string_body> par;
  par.body_limit(most_);
  if (q.method == "HEAD") par.skip(true);
  auto [e2, n2] = await<size_t>([&](auto h) { http::async_read(*s, buf, par, std::move(h)); });
  if (e2 || buf.size()) return ShotDefect::unknown;
  auto r = par.release();
  bool keep = r.keep_alive();
  base::Receipt a;
  a.status = r.result_int();
  copy_headers(r, a.headers);
  // A body that runs until the connection closes cannot be told from one cut short.
  bool framed = r.count(http::field::content_length) || r.chunked() || q.method == "HEAD" || a.status == 204 ||
                a.status == 304;
  if (!framed || a.status < 200) return ShotDefect::unknown;
  a.body = std::move(r.body());
  if (safe && keep) {
    s->expires_never();
    if (auto& v = spare[addr]; v.size() < kMostSpare) v.push_back(std::move(s));
  }
  return a;
}

}  // namespace dunlinwing::wire
