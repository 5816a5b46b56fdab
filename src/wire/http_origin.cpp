// An attempt: a connection, one gathered write, and answers read until one is ours.
// Beast does the parsing. Whatever leaves a doubt about where an answer ends,
// or whose it is, costs the connection, and the answer too. A connection that was
// given up is reset, so that what lies in its buffer is not delivered later.
#include "wire/http_origin.hpp"

#include <boost/beast/http.hpp>
#include <charconv>

#include "wire/kept.hpp"

namespace dunlinwing::wire {
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
  base::Response r;
  bool keep = false;
  std::optional<Duration> stated;
};

std::string head_of(const base::Request& q, const std::string& addr) {
  std::string o;
  size_t n = 128 + q.method.size() + q.target.size() + addr.size();
  for (auto& [k, v] : q.headers) n += k.size() + v.size() + 4;
  o.reserve(n);
  o.append(q.method).append(" ").append(q.target).append(" HTTP/1.1\r\n");
  bool host = false;
  for (auto& [k, v] : q.headers) {
    if (base::same_word(k, "Content-Length") || base::same_word(k, "Transfer-Encoding"))
      continue;  // ours to say
    host |= base::same_word(k, "Host");
    o.append(k).append(": ").append(v).append("\r\n");
  }
  if (!host) o.append("Host: ").append(addr).append("\r\n");
  if (!q.body.empty() || q.method == "POST" || q.method == "PUT" || q.method == "PATCH")
    o.append("Content-Length: ").append(std::to_string(q.body.size())).append("\r\n");
  return o.append("\r\n");
}

std::optional<Duration> stated(std::string_view v) {
  for (auto& w : base::words(v, ',')) {
    auto e = w.find('=');
    if (e == w.npos || !base::same_word(std::string_view(w).substr(0, e), "timeout")) continue;
    int64_t n = 0;
    std::from_chars(w.data() + e + 1, w.data() + w.size(), n);
    return Duration(std::clamp<int64_t>(n, 0, 3600) * 1000);
  }
  return {};
}

template <class M>
void take_head(const M& m, Answer& a) {
  a.r.status = static_cast<int>(m.result_int());
  a.keep = m.keep_alive();
  a.r.headers.reserve(std::distance(m.begin(), m.end()));
  for (auto& f : m) a.r.headers.emplace_back(std::string(f.name_string()), std::string(f.value()));
  if (auto f = m.find(http::field::keep_alive); f != m.end()) a.stated = stated(std::string_view(f->value()));
}

// The next whole answer on the line; none when it was cut, garbled or of no known length.
std::optional<Answer> read_answer(Line& l, bool head, size_t most) {
  for (int interim = 0; interim <= kMostInterim; ++interim) {
    Parser par;
    Answer a;
    par.header_limit(kMostHead);
    par.body_limit(most);
    if (head) par.skip(true);
    for (bool headed = false; !par.is_done();) {
      if (l.got().empty() && l.fill(headed ? kBodyRoom : kAnswerRoom)) return {};
      while (!par.is_done() && !l.got().empty()) {
        par.eager(headed);
        Ec ec;
        size_t before = l.got().size();
        l.use(par.put(asio::buffer(l.got().data(), before), ec));
        if (ec && ec != http::error::need_more) return {};
        if (!headed && par.is_header_done()) {
          headed = true;
          // A body that runs until the connection closes cannot be told from one cut short.
          if (!par.is_done() && par.need_eof()) return {};
          take_head(par.get(), a);  // before any trailer
        }
        if (ec && l.got().size() == before) {
          if (l.fill(headed ? kBodyRoom : kAnswerRoom)) return {};
        }
      }
    }
    if (a.r.status == 101) return {};
    if (a.r.status / 100 == 1) continue;
    a.r.body = std::move(par.get().body());
    return a;
  }
  return {};
}
}  // namespace

struct HttpOrigin::Impl : Kept {
  using Kept::Kept;
};

HttpOrigin::HttpOrigin(size_t body_bytes, size_t kept)
    : most_(body_bytes), p_(std::make_shared<Impl>(kept)) {}
HttpOrigin::~HttpOrigin() { p_->clear(); }
int HttpOrigin::idle() const { return p_->idle(); }
int HttpOrigin::held(const std::string& addr) const { return p_->held(addr); }

bool HttpOrigin::reach(const std::string& addr, Duration limit) {
  auto [l, ec] = Line::to(addr, std::chrono::steady_clock::now() + limit);
  return l != nullptr;
}

std::variant<base::Response, AttemptError> HttpOrigin::send(const std::string& addr, const base::Request& q,
                                                            const base::AttemptRules& rules) {
  auto from = std::chrono::steady_clock::now();
  auto end = from + rules.limit;
  auto by = rules.connect > Duration(0) ? std::min(end, from + rules.connect) : end;
  auto loan = p_->lend(addr, rules.safe, rules.most, by);
  if (!loan) return AttemptError::unsent;
  auto& l = *loan->line;
  Alarm late;
  late.set(end, [&l] { l.stop(); });
  auto head = head_of(q, addr);
  auto given_up = [&](AttemptError how) {
    loan->abandon();
    return how;
  };
  if (l.send(head, q.body)) return given_up(l.sent() ? AttemptError::unknown : AttemptError::unsent);
  bool early = l.answered_early();
  bool bare = q.method == "HEAD";
  for (int skipped = 0; skipped <= kMostSkipped; ++skipped) {
    auto a = read_answer(l, bare, most_);
    if (!a) return given_up(AttemptError::unknown);
    if (rules.mine && !rules.mine(a->r)) {
      // It may answer an earlier request; whether that one's answer has a body is not known to a HEAD.
      if (!loan->used || bare || !a->keep) return given_up(AttemptError::unknown);
      continue;
    }
    bool nameless = rules.nameless && rules.nameless(a->r);
    // Beside another's answer, or ahead of the request, one without a name may be anybody's.
    if (nameless && loan->used && (skipped || early)) return given_up(AttemptError::unknown);
    late.clear();
    bool alone = !skipped && !early && l.got().empty();
    if (alone && a->keep && a->stated.value_or(Duration(1)) > Duration(0)) loan->keep(a->stated, nameless);
    return std::move(a->r);
  }
  return given_up(AttemptError::unknown);
}

}  // namespace dunlinwing::wire
