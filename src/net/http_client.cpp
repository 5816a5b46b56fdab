// An attempt: a connection, one gathered write, and answers read until one is ours.
// Beast does the parsing. Whatever leaves a doubt about where an answer ends,
// or whose it is, costs the connection, and the answer too. A connection that was
// given up is reset, so that what lies in its buffer is not delivered later.
#include "net/http_client.hpp"

#include <boost/beast/http.hpp>
#include <charconv>

#include "net/connection_pool.hpp"

namespace dunlinwing::net {
namespace asio = boost::asio;
namespace http = boost::beast::http;
using base::AttemptError;
using Parser = http::response_parser<http::string_body>;

namespace {
constexpr int kMostSkipped = 2;  // answers to earlier requests
constexpr int kMostInterim = 8;  // 1xx before an answer
constexpr uint32_t kMostHead = 64 << 10;
constexpr size_t kBodyRoom = 32 << 10;

struct Answer {
  base::Response response;
  bool keep = false;
  std::optional<Duration> stated;
};

std::string head_of(const base::Request& request, const std::string& address) {
  std::string o;
  size_t n = 128 + request.method.size() + request.target.size() + address.size();
  for (auto& [k, v] : request.headers) n += k.size() + v.size() + 4;
  o.reserve(n);
  o.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  bool host = false;
  for (auto& [k, v] : request.headers) {
    if (base::equals_ignore_case(k, "Content-Length") || base::equals_ignore_case(k, "Transfer-Encoding"))
      continue;  // ours to say
    host |= base::equals_ignore_case(k, "Host");
    o.append(k).append(": ").append(v).append("\r\n");
  }
  if (!host) o.append("Host: ").append(address).append("\r\n");
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT" ||
      request.method == "PATCH")
    o.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
  return o.append("\r\n");
}

std::optional<Duration> stated(std::string_view v) {
  for (auto& w : base::split_list(v, ',')) {
    auto e = w.find('=');
    if (e == w.npos || !base::equals_ignore_case(std::string_view(w).substr(0, e), "timeout")) continue;
    int64_t n = 0;
    std::from_chars(w.data() + e + 1, w.data() + w.size(), n);
    return Duration(std::clamp<int64_t>(n, 0, 3600) * 1000);
  }
  return {};
}

template <class M>
void take_head(const M& m, Answer& a) {
  a.response.status = static_cast<int>(m.result_int());
  a.keep = m.keep_alive();
  a.response.headers.reserve(std::distance(m.begin(), m.end()));
  for (auto& f : m) a.response.headers.emplace_back(std::string(f.name_string()), std::string(f.value()));
  if (auto f = m.find(http::field::keep_alive); f != m.end()) a.stated = stated(std::string_view(f->value()));
}

// The next whole answer on the line; none when it was cut, garbled or of no known length.
std::optional<Answer> read_answer(Connection& connection, bool head, size_t most) {
  for (int interim = 0; interim <= kMostInterim; ++interim) {
    Parser par;
    Answer a;
    par.header_limit(kMostHead);
    par.body_limit(most);
    if (head) par.skip(true);
    for (bool headed = false; !par.is_done();) {
      if (connection.buffered().empty() && connection.read_more(headed ? kBodyRoom : kResponseReadSize))
        return {};
      while (!par.is_done() && !connection.buffered().empty()) {
        par.eager(headed);
        ErrorCode ec;
        size_t before = connection.buffered().size();
        connection.consume(par.put(asio::buffer(connection.buffered().data(), before), ec));
        if (ec && ec != http::error::need_more) return {};
        if (!headed && par.is_header_done()) {
          headed = true;
          // A body that runs until the connection closes cannot be told from one cut short.
          if (!par.is_done() && par.need_eof()) return {};
          take_head(par.get(), a);  // before any trailer
        }
        if (ec && connection.buffered().size() == before) {
          if (connection.read_more(headed ? kBodyRoom : kResponseReadSize)) return {};
        }
      }
    }
    if (a.response.status == 101) return {};
    if (a.response.status / 100 == 1) continue;
    a.response.body = std::move(par.get().body());
    return a;
  }
  return {};
}
}  // namespace

struct HttpClient::Impl : ConnectionPool {
  using ConnectionPool::ConnectionPool;
};

HttpClient::HttpClient(size_t body_bytes, size_t kept)
    : max_body_bytes_(body_bytes), impl_(std::make_shared<Impl>(kept)) {}
HttpClient::~HttpClient() { impl_->clear(); }
int HttpClient::idle() const { return impl_->idle(); }
int HttpClient::connections_to(const std::string& address) const { return impl_->connections_to(address); }

bool HttpClient::can_connect(const std::string& address, Duration limit) {
  auto [l, ec] = Connection::connect(address, std::chrono::steady_clock::now() + limit);
  return l != nullptr;
}

std::variant<base::Response, AttemptError> HttpClient::send(const std::string& address,
                                                            const base::Request& request,
                                                            const base::AttemptRules& rules) {
  auto from = std::chrono::steady_clock::now();
  auto end = from + rules.timeout;
  auto by = rules.connect_timeout > Duration(0) ? std::min(end, from + rules.connect_timeout) : end;
  auto loan = impl_->acquire(address, rules.idempotent, rules.max_connections, by);
  if (!loan) return AttemptError::unsent;
  auto& connection = *loan->connection;
  Timer late;
  late.set(end, [&connection] { connection.interrupt(); });
  auto head = head_of(request, address);
  auto given_up = [&](AttemptError how) {
    loan->abandon();
    return how;
  };
  if (connection.write(head, request.body))
    return given_up(connection.bytes_written() ? AttemptError::unknown : AttemptError::unsent);
  bool early = connection.received_during_write();
  bool bare = request.method == "HEAD";
  for (int skipped = 0; skipped <= kMostSkipped; ++skipped) {
    auto a = read_answer(connection, bare, max_body_bytes_);
    if (!a) return given_up(AttemptError::unknown);
    if (rules.is_own_response && !rules.is_own_response(a->response)) {
      // It may answer an earlier request; whether that one's answer has a body is not known to a HEAD.
      if (!loan->reused || bare || !a->keep) return given_up(AttemptError::unknown);
      continue;
    }
    bool nameless = rules.is_anonymous && rules.is_anonymous(a->response);
    // Beside another's answer, or ahead of the request, one without a name may be anybody's.
    if (nameless && loan->reused && (skipped || early)) return given_up(AttemptError::unknown);
    late.clear();
    bool alone = !skipped && !early && connection.buffered().empty();
    if (alone && a->keep && a->stated.value_or(Duration(1)) > Duration(0))
      loan->give_back(a->stated, nameless);
    return std::move(a->response);
  }
  return given_up(AttemptError::unknown);
}

}  // namespace dunlinwing::net
