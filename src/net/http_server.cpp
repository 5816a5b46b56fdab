// Beast does the parsing. What is ours: whole bodies within bounds, framing
// that Beast would let pass but RFC 9112 forbids, one write for an answer, and
// one coarse sweep a thread in place of a timer for each read and write.
#include "net/http_server.hpp"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <list>

#include "base/log.hpp"
#include "net/connection.hpp"
#include "net/peer.hpp"

namespace dunlinwing::net {
namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using Parser = http::request_parser<http::string_body>;

namespace {
constexpr base::Log logger("http");
constexpr Duration kLinger(1000);        // in which a client that was turned away may go on sending
constexpr size_t kMostLinger = 1 << 20;  // and how much
constexpr size_t kBodyRoom = 32 << 10;
constexpr Duration kSweepLeast(50), kSweepMost(500);
constexpr Duration kNoDescriptors(100);
constexpr const char* kComeBackSeconds = "1";  // after which a body that found no room may be sent again

std::atomic<size_t> held_bodies{0};

// A share of what all bodies together may take.
class BodyReservation {
 public:
  ~BodyReservation() { held_bodies -= n_; }
  bool grow_to(size_t n, size_t most) {
    if (n <= n_) return true;
    if (held_bodies.fetch_add(n - n_) + (n - n_) > most) {
      held_bodies -= n - n_;
      return false;
    }
    n_ = n;
    return true;
  }

 private:
  size_t n_ = 0;
};

// RFC 9112, 6.3 and 3.2: lengths that could be read in two ways, and a Host
// that is missing or doubled, are turned away and the connection ends.
template <class Q>
std::optional<std::string> misframed(const Q& q) {
  if (q.count(http::field::content_length) > 1) return "more than one Content-Length";
  if (q.count(http::field::content_length) && q.count(http::field::transfer_encoding))
    return "both Content-Length and Transfer-Encoding";
  if (q.count(http::field::transfer_encoding) && q.version() < 11) return "Transfer-Encoding before HTTP/1.1";
  if (q.version() >= 11 && q.count(http::field::host) != 1) return "exactly one Host is needed";
  if (q.target().empty() || (q.target()[0] != '/' && q.target() != "*")) return "the target must be a path";
  return {};
}

template <class M>
void take_head(const M& m, base::Request& request) {
  request.method = std::string(m.method_string());
  request.target = std::string(m.target());
  request.headers.reserve(std::distance(m.begin(), m.end()) + 8);
  for (auto& f : m) request.headers.emplace_back(std::string(f.name_string()), std::string(f.value()));
}

bool ours(std::string_view k) {
  for (auto* n : {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length"})
    if (base::equals_ignore_case(k, n)) return true;
  return false;
}

enum class Step { idle, head, body, work, write, linger };

struct Talk {
  std::shared_ptr<Connection> connection;
  Step step = Step::idle;
  TimePoint since{0};
  Duration idle_limit{0};  // as it was when the client was last told, or could know, of it
  bool slow = false;

  // At rest between requests, and no byte of the next one has come, the system's own buffer
  // included: a process that lags may not have read it yet.
  bool at_rest() const { return step == Step::idle && connection->is_idle_in_system(); }
  std::list<Talk*>::iterator at;
};

// The connections of one thread; only that thread touches them.
struct Lane {
  std::list<Talk*> all;
  Timer sweep;
  std::atomic<int> n{0};
};

TimePoint now() {
  return std::chrono::duration_cast<TimePoint>(std::chrono::steady_clock::now().time_since_epoch());
}
}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<Impl> {
  EventLoopPool& pool;
  std::string name;
  std::atomic<std::shared_ptr<const HttpLimits>> lim;
  HttpHandler h;
  std::atomic<bool> closing{false}, last{false};
  std::atomic<int> running{0}, open{0};
  std::shared_ptr<tcp::acceptor> acc;
  std::vector<std::unique_ptr<Lane>> lanes;
  std::shared_ptr<base::Condition> room;  // where the accepting fiber waits for a connection to end
  std::atomic<bool> crowded{false};

  Impl(EventLoopPool& p, std::string n, HttpLimits l, HttpHandler f)
      : pool(p), name(std::move(n)), lim(std::make_shared<const HttpLimits>(l)), h(std::move(f)) {
    for (int i = 0; i < p.size(); ++i) lanes.push_back(std::make_unique<Lane>());
  }

  void accept(int from, int to);
  void talk(Lane& lane, Connection::Socket s);
  bool turn(Talk& t);
  bool refuse(Talk& t, int status, const std::string& why);
  bool answer(Talk& t, const base::Response& a, bool head, unsigned version, bool keep, const HttpLimits& l);
  void linger(Talk& t);
  void watch(Lane& lane);
  void sweep(Lane& lane);
  static bool evict(Lane& lane);
  void each_lane(std::function<void(Lane&)> f) {
    for (int i = 0; i < pool.size(); ++i)
      if (lanes[i]->n > 0) asio::post(pool.io(i), [me = shared_from_this(), i, f] { f(*me->lanes[i]); });
  }
};

HttpServer::HttpServer(EventLoopPool& pool, std::string name, HttpLimits l, HttpHandler h)
    : impl_(std::make_shared<Impl>(pool, std::move(name), l, std::move(h))) {}
HttpServer::~HttpServer() = default;
int HttpServer::running_requests() const { return impl_->running; }
int HttpServer::open_connections() const { return impl_->open; }
void HttpServer::set_limits(HttpLimits l) { impl_->lim = std::make_shared<const HttpLimits>(l); }
void HttpServer::drain() { impl_->last = true; }

void HttpServer::close_idle() {
  impl_->each_lane([](Lane& l) {
    for (auto* t : l.all)
      if (t->at_rest()) t->connection->interrupt();
  });
}

void HttpServer::close() {
  impl_->closing = true;
  impl_->pool.spawn_on(0, [p = impl_] {
    ErrorCode ec;
    if (p->acc) p->acc->close(ec);
    if (p->room) p->room->notify();
  });
}

// Ends the one that is idle for longest.
bool HttpServer::Impl::evict(Lane& lane) {
  Talk* old = nullptr;
  for (auto* t : lane.all)
    if (t->step == Step::idle && (!old || t->since < old->since) && t->at_rest()) old = t;
  if (old) old->connection->interrupt();
  return old;
}

void HttpServer::Impl::watch(Lane& lane) {
  auto l = lim.load();
  auto least = std::min({l->idle_timeout, l->head_timeout, l->body_timeout, l->write_timeout}) / 4;
  auto in = std::clamp(least, kSweepLeast, kSweepMost);
  lane.sweep.set(std::chrono::steady_clock::now() + in, [this, &lane] { sweep(lane); });
}

void HttpServer::Impl::sweep(Lane& lane) {
  auto l = lim.load();
  auto t0 = now();
  for (auto* t : lane.all) {
    auto bound = t->step == Step::idle     ? std::max(l->idle_timeout, t->idle_limit)
                 : t->step == Step::head   ? l->head_timeout
                 : t->step == Step::body   ? l->body_timeout
                 : t->step == Step::write  ? l->write_timeout
                 : t->step == Step::linger ? kLinger
                                           : Duration::max();
    bool reads = t->step != Step::write;
    if (t0 - t->since < bound || t->connection->is_interrupted() || (reads && !t->connection->is_reading()))
      continue;  // what came counts
    if (t->step == Step::idle && !t->at_rest()) continue;
    t->slow = t->step == Step::head || t->step == Step::body;
    t->connection->interrupt();
  }
  if (!lane.all.empty()) watch(lane);
}

void HttpServer::Impl::talk(Lane& lane, Connection::Socket s) {
  Talk t{std::make_shared<Connection>(std::move(s))};
  t.at = lane.all.insert(lane.all.end(), &t);
  ++lane.n;
  if (lane.all.size() == 1) watch(lane);
  while (!closing && turn(t)) {
  }
  lane.all.erase(t.at);
  --lane.n;
  if (lane.all.empty()) lane.sweep.clear();
  t.connection->close();
  --open;
  if (crowded) room->notify();
}

// Answers what was not understood; the connection ends, but not before the
// client could read why.
bool HttpServer::Impl::refuse(Talk& t, int status, const std::string& why) {
  base::Response a{
      status, {{"Content-Type", "application/json"}}, fmt::format("{{\"defect\":\"{}\"}}\n", why)};
  if (status == 503) a.headers.emplace_back("Retry-After", kComeBackSeconds);
  t.connection->clear_interrupt();
  if (answer(t, a, false, 11, false, *lim.load())) linger(t);
  return false;
}

void HttpServer::Impl::linger(Talk& t) {
  t.step = Step::linger;
  t.since = now();
  t.connection->shutdown_send();
  size_t n = t.connection->buffered().size();
  t.connection->consume(n);
  while (n < kMostLinger && !t.connection->read_more(kBodyRoom)) {
    n += t.connection->buffered().size();
    t.connection->consume(t.connection->buffered().size());
  }
}

bool HttpServer::Impl::answer(Talk& t, const base::Response& a, bool head, unsigned version, bool keep,
                              const HttpLimits& l) {
  bool bare = a.status == 204 || a.status / 100 == 1, same = a.status == 304;
  std::string out;
  size_t n = 128;
  for (auto& [k, v] : a.headers) n += k.size() + v.size() + 4;
  out.reserve(n);
  auto line = [&](std::string_view k, std::string_view v) {
    out.append(k).append(": ").append(v).append("\r\n");
  };
  auto why = http::obsolete_reason(static_cast<http::status>(a.status));
  fmt::format_to(std::back_inserter(out), "HTTP/1.1 {} {}\r\n", a.status,
                 std::string_view(why.data(), why.size()));
  for (auto& [k, v] : a.headers)
    if (!ours(k)) line(k, v);
  auto given = head || same ? base::header(a.headers, "Content-Length") : std::string();
  if (!given.empty())
    line("Content-Length", given);
  else if (!bare && !same && !(head && a.body.empty()))  // a HEAD's answer does not tell its length by itself
    line("Content-Length", fmt::format_int(a.body.size()).c_str());
  if (!keep)
    line("Connection", "close");
  else if (version < 11)
    line("Connection", "keep-alive");
  if (keep && l.advertise_idle && l.idle_timeout >= Duration(1000))
    line("Keep-Alive", fmt::format("timeout={}", l.idle_timeout.count() / 1000));
  out += "\r\n";
  t.step = Step::write;
  t.since = now();
  return !t.connection->write(out, head || bare || same ? std::string_view() : a.body,
                              [&t] { t.since = now(); });
}

// One request and its answer; false when the connection is to end.
bool HttpServer::Impl::turn(Talk& t) {
  Connection& connection = *t.connection;
  t.step = connection.buffered().empty() ? Step::idle : Step::head;
  t.since = now();
  Parser par;
  par.eager(true);
  auto at = lim.load();
  t.idle_limit = at->idle_timeout;
  par.header_limit(static_cast<uint32_t>(std::min<size_t>(at->head_bytes, UINT32_MAX)));
  par.body_limit(at->body_bytes);
  base::Request request;
  BodyReservation held;
  bool headed = false;
  bool ended_as_idle = false;  // but bytes of a request had been read already
  for (;;) {
    while (!par.is_done() && !connection.buffered().empty()) {
      ErrorCode ec;
      size_t before = connection.buffered().size();
      if (!headed) par.eager(false);
      connection.consume(par.put(asio::buffer(connection.buffered().data(), before), ec));
      if (ec == http::error::need_more) {
        ec = {};
        if (connection.buffered().size() == before) break;
      }
      if (ec) {
        int st = ec == http::error::body_limit ? 413 : ec == http::error::header_limit ? 431 : 400;
        return refuse(t, st, ec.message());
      }
      if (!headed && par.is_header_done()) {
        headed = true;
        par.eager(true);
        t.step = Step::body;
        t.since = now();
        if (auto w = misframed(par.get())) return refuse(t, 400, *w);
        auto len = par.content_length();
        if (len && *len > at->body_bytes) return refuse(t, 413, "body limit exceeded");
        if (len && !held.grow_to(*len, at->all_bodies_bytes))
          return refuse(t, 503, "too many bodies at once");
        take_head(par.get(), request);  // before any trailer
        if (!par.is_done() && par.get().version() >= 11 &&
            base::equals_ignore_case(std::string_view(par.get()[http::field::expect]), "100-continue") &&
            connection.write("HTTP/1.1 100 Continue\r\n\r\n"))
          return false;
      }
    }
    if (headed && !held.grow_to(par.get().body().size(), at->all_bodies_bytes))
      return refuse(t, 503, "too many bodies at once");
    if (par.is_done()) break;
    bool first = connection.buffered().empty() && !headed && t.step == Step::idle;
    auto ec = connection.read_more(headed ? kBodyRoom : Connection::kReadSize);
    if (ec && t.slow) return refuse(t, 408, "the request did not come in time");
    if (ec) return false;
    if (first) {
      t.step = Step::head;
      t.since = now();
      // They may lie in our own buffer while the reactor has yet to tell that they came.
      ended_as_idle = connection.is_interrupted();
      connection.clear_interrupt();
    }
  }
  auto m = par.release();
  request.body = std::move(m.body());
  t.step = Step::work;
  ++running;
  struct Run {
    std::atomic<int>& n;
    ~Run() { --n; }
  } run{running};
  auto a = h(request);
  bool keep = m.keep_alive() && !closing && !last && !crowded && !ended_as_idle;
  if (!answer(t, a, m.method() == http::verb::head, m.version(), keep, *lim.load())) return false;
  if (!keep && !connection.buffered().empty())
    linger(t);  // closing with bytes unread would take the answer back
  return keep;
}

void HttpServer::Impl::accept(int from, int to) {
  TimePoint told{-kSweepMost * 100};
  for (int i = from; !closing;) {
    if (++i >= to) i = from;
    auto s = std::make_shared<tcp::socket>(pool.io(i));
    auto [ec] = await<>([&](auto k) { acc->async_accept(*s, std::move(k)); });
    if (closing) return;
    if (ec) {
      if (now() - told > Duration(10000)) {
        logger.warn("A connection to {} was lost while being taken: {}.", name, ec.message());
        told = now();
      }
      each_lane([](Lane& l) { evict(l); });
      SystemClock().sleep(kNoDescriptors);
      continue;
    }
    for (size_t most;
         (most = lim.load()->max_connections) > 0 && open >= static_cast<int>(most) && !closing;) {
      crowded = true;
      auto fullest =
          std::max_element(lanes.begin(), lanes.end(), [](auto& a, auto& b) { return a->n < b->n; });
      int f = static_cast<int>(fullest - lanes.begin());
      asio::post(pool.io(f), [me = shared_from_this(), f] { evict(*me->lanes[f]); });
      room->wait(Duration(1000));
      crowded = false;
    }
    configure_socket(*s);
    ++open;
    pool.spawn_on(i, [me = shared_from_this(), i, s] { me->talk(*me->lanes[i], std::move(*s)); });
  }
}

std::optional<std::string> HttpServer::listen(const std::string& address, int from, int to) {
  auto at = split_address(address);
  if (!at) return "the address is not IP:port";
  if (to <= from) to = from + 1;
  if (to > impl_->pool.size()) to = impl_->pool.size(), from = std::min(from, to - 1);
  ErrorCode ec;
  impl_->acc = std::make_shared<tcp::acceptor>(impl_->pool.io(0));
  tcp::endpoint ep(asio::ip::make_address(at->ip), at->port);
  impl_->acc->open(ep.protocol(), ec);
  if (!ec) impl_->acc->set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) impl_->acc->bind(ep, ec);
  if (!ec) impl_->acc->listen(1024, ec);
  if (ec) return fmt::format("cannot listen on {}: {}", address, ec.message());
  impl_->pool.spawn_on(0, [p = impl_, from, to] {
    p->room = p->pool.condition();
    p->accept(from, to);
  });
  return {};
}

}  // namespace dunlinwing::net
