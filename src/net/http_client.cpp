// An attempt takes a connection, sends the request in one gathered write, and reads responses until one
// belongs to the request. Beast parses them.
#include "net/http_client.hpp"

#include <boost/beast/http.hpp>
#include <charconv>

#include "net/connection_pool.hpp"
#include "net/message_framing.hpp"
#include "net/wait_limit.hpp"

namespace dunlinwing::net {
namespace asio = boost::asio;
namespace http = boost::beast::http;
using base::AttemptError;
using Parser = http::response_parser<http::string_body>;

namespace {
constexpr int kMaxSkippedResponses = 2;  // responses to earlier requests
constexpr int kMaxInterimResponses = 8;  // 1xx responses before the final one
constexpr uint32_t kMaxHeadBytes = 64 << 10;
constexpr size_t kBodyReadSize = 32 << 10;  // bytes of a body read at once
constexpr Duration kMaxReadPause(1000);     // in reading a body, while waiting for link capacity
constexpr int64_t kMaxKeepAliveSeconds = 3600;
constexpr Duration kMemoryRetry(20);           // while a response waits for memory
constexpr size_t kMaxOrdinaryBody = 64 << 10;  // bytes; a longer body is a bulk use of memory

struct ReceivedResponse {
  base::Response response;
  bool keep_alive = false;
  std::optional<Duration> keep_alive_time;  ///< from the Keep-Alive header
};

bool needs_content_length(const base::Request& request) {
  return !request.body.empty() || request.method == "POST" || request.method == "PUT" ||
         request.method == "PATCH";
}

std::string request_head(const base::Request& request, const std::string& address) {
  constexpr size_t kOwnBytes = 128;
  size_t bytes = kOwnBytes + request.method.size() + request.target.size() + address.size();
  for (const auto& [name, value] : request.headers) bytes += name.size() + value.size() + 4;
  std::string head;
  head.reserve(bytes);
  head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  bool has_host = false;
  for (const auto& [name, value] : request.headers) {
    if (base::equals_ignore_case(name, "Content-Length") ||
        base::equals_ignore_case(name, "Transfer-Encoding"))
      continue;  // the client generates these
    has_host |= base::equals_ignore_case(name, "Host");
    head.append(name).append(": ").append(value).append("\r\n");
  }
  if (!has_host) head.append("Host: ").append(address).append("\r\n");
  if (needs_content_length(request))
    head.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
  return head.append("\r\n");
}

/// The timeout parameter of a Keep-Alive header.
std::optional<Duration> keep_alive_time(std::string_view header) {
  for (const auto& parameter : base::split_list(header, ',')) {
    const auto equals = parameter.find('=');
    if (equals == std::string::npos ||
        !base::equals_ignore_case(std::string_view(parameter).substr(0, equals), "timeout"))
      continue;
    int64_t seconds = 0;
    std::from_chars(parameter.data() + equals + 1, parameter.data() + parameter.size(), seconds);
    return Duration(std::clamp<int64_t>(seconds, 0, kMaxKeepAliveSeconds) * 1000);
  }
  return {};
}

template <class Head>
void copy_head(const Head& head, ReceivedResponse& received) {
  received.response.status = static_cast<int>(head.result_int());
  received.keep_alive = head.keep_alive();
  received.response.headers.reserve(std::distance(head.begin(), head.end()));
  for (const auto& field : head)
    received.response.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
  if (const auto found = head.find(http::field::keep_alive); found != head.end())
    received.keep_alive_time = keep_alive_time(std::string_view(found->value()));
}

/// How a response's body is read.
struct BodyReadOptions {
  size_t max_bytes;  ///< responses with longer bodies are rejected
  const link::LinkUse& link;
  base::MemoryAccount& memory;
};

/// Reads one response of any status; nullopt when it was truncated, malformed or of unknown length.
class ResponseReader {
 public:
  ResponseReader(Connection& connection, bool is_head_request, const BodyReadOptions& options)
      : connection_(connection), link_(options.link), memory_(options.memory) {
    parser_.header_limit(kMaxHeadBytes);
    parser_.body_limit(options.max_bytes);
    if (is_head_request) parser_.skip(true);
  }

  std::optional<ReceivedResponse> read() {
    while (!parser_.is_done()) {
      if (connection_.buffered().empty() && !read_more()) return {};
      if (!parse_buffered()) return {};
    }
    received_.response.body = base::Body(std::move(parser_.get().body()), std::move(reservation_));
    return std::move(received_);
  }

 private:
  bool read_more() {
    if (!await_link()) return false;
    const size_t before = connection_.buffered().size();
    const ErrorCode error = connection_.read_more(has_head_ ? kBodyReadSize : kResponseReadSize);
    link_.count_received(connection_.buffered().size() - before);
    return !error;
  }

  // Reads a long body no faster than the link's pacer allows; TCP flow control slows its sender.
  bool await_link() {
    if (!link_.link || !has_head_) return true;
    link::Pacer& inbound = link_.link->inbound;
    const size_t remaining = parser_.content_length_remaining().value_or(0);
    if (remaining <= inbound.part_bytes()) return true;
    return inbound.acquire({link_.traffic_class, began_, remaining}, 0, kMaxReadPause);
  }

  bool parse_buffered() {
    while (!parser_.is_done() && !connection_.buffered().empty()) {
      parser_.eager(has_head_);
      ErrorCode error;
      const auto bytes = connection_.buffered();
      const size_t parsed = parser_.put(asio::buffer(bytes.data(), bytes.size()), error);
      if (error && error != http::error::need_more) return false;
      const bool has_whole_head = !has_head_ && parser_.is_header_done();
      if (has_whole_head && has_folded_line(bytes.substr(0, parsed))) return false;
      connection_.consume(parsed);
      if (has_whole_head) {
        has_head_ = true;
        if (find_framing_error(parser_.get(), parser_.get().version())) return false;
        // A body that runs until the connection closes cannot be distinguished from a truncated one.
        if (!parser_.is_done() && parser_.need_eof()) return false;
        copy_head(parser_.get(), received_);  // before any trailer
      }
      if (has_head_ && !reserve_body()) return false;
      if (!error || connection_.buffered().size() != bytes.size()) continue;
      // The parser keeps a chunk's line and the trailers until they are whole; the body limit doesn't count
      // them.
      if (has_head_ && bytes.size() > kMaxHeadBytes) return false;
      if (!read_more()) return false;
    }
    return true;
  }

  // The memory of the body: all of it before the first part is read, or, if its length is unknown, what was
  // read and as much again. A complete response may state the length of a body that it does not have.
  size_t body_memory() const {
    const size_t read = parser_.get().body().size();
    if (parser_.is_done()) return read;
    return read + parser_.content_length_remaining().value_or(read);
  }

  // Reserves memory for the body; waits for it until the attempt is interrupted.
  bool reserve_body() {
    const size_t bytes = body_memory();
    if (bytes <= reservation_.bytes()) return true;
    if (memory_use(bytes) != memory_use(reservation_.bytes()) || reservation_.bytes() == 0)
      reservation_ = {memory_, memory_use(bytes)};
    while (!reservation_.grow_to(bytes)) {
      if (connection_.is_interrupted() || bytes > memory_.limit(base::MemoryUse::bulk)) return false;
      SystemClock().sleep(kMemoryRetry);
    }
    return true;
  }

  static base::MemoryUse memory_use(size_t bytes) {
    return bytes > kMaxOrdinaryBody ? base::MemoryUse::bulk : base::MemoryUse::ordinary;
  }

  Connection& connection_;
  const link::LinkUse& link_;
  base::MemoryAccount& memory_;
  base::MemoryReservation reservation_;  ///< for the body
  const TimePoint began_ = SystemClock().now();
  Parser parser_;
  ReceivedResponse received_;
  bool has_head_ = false;
};

/// Reads the next response that is not an interim (1xx) one.
std::optional<ReceivedResponse> read_response(Connection& connection, bool is_head_request,
                                              const BodyReadOptions& options) {
  for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
    auto received = ResponseReader(connection, is_head_request, options).read();
    if (!received || received->response.status == 101) return {};
    if (received->response.status / 100 != 1) return received;
  }
  return {};
}

/// Reads responses on a connection until one belongs to the request.
class ResponseMatcher {
 public:
  ResponseMatcher(ConnectionPool::Lease& lease, const base::Request& request, const base::AttemptRules& rules)
      : lease_(lease), rules_(rules), is_head_request_(request.method == "HEAD") {}

  /// @return nullopt when no response certainly belongs to the request; the connection must be abandoned
  std::optional<base::Response> read(const BodyReadOptions& options) {
    const Connection& connection = *lease_.connection;
    const bool early = connection.received_during_write();
    for (int skipped = 0; skipped <= kMaxSkippedResponses; ++skipped) {
      auto received = read_response(*lease_.connection, is_head_request_, options);
      if (!received) return {};
      if (rules_.is_own_response && !rules_.is_own_response(received->response)) {
        // It may answer an earlier request. After a HEAD it is unknown whether that response has a body.
        if (!lease_.reused || is_head_request_ || !received->keep_alive) return {};
        continue;
      }
      const bool anonymous = rules_.lacks_request_id && rules_.lacks_request_id(received->response);
      // A response that names no request may belong to any request that the connection has carried.
      if (anonymous && lease_.reused) return {};
      const bool is_only_response = !anonymous && !skipped && !early && connection.buffered().empty();
      may_reuse_ = is_only_response && received->keep_alive &&
                   received->keep_alive_time.value_or(Duration(1)) > Duration(0);
      keep_alive_time_ = received->keep_alive_time;
      if (rules_.is_decline && rules_.is_decline(received->response)) lease_.declined.add(rules_.request_id);
      return std::move(received->response);
    }
    return {};
  }

  /// Returns the connection to the pool after a response was read, if it may be reused.
  void give_back() {
    if (may_reuse_) lease_.give_back(keep_alive_time_);
  }

 private:
  ConnectionPool::Lease& lease_;
  const base::AttemptRules& rules_;
  bool is_head_request_;
  bool may_reuse_ = false;
  std::optional<Duration> keep_alive_time_;
};
}  // namespace

HttpClient::HttpClient(size_t max_body_bytes, size_t max_idle, link::Link* link, base::MemoryAccount& memory)
    : max_body_bytes_(max_body_bytes),
      link_{link, link::TrafficClass::backends},
      memory_(memory),
      pool_(std::make_shared<ConnectionPool>(max_idle)) {}
HttpClient::~HttpClient() { pool_->clear(); }
int HttpClient::idle() const { return pool_->idle(); }
int HttpClient::connections_to(const std::string& address) const { return pool_->connections_to(address); }

bool HttpClient::can_connect(const std::string& address, Duration limit) {
  return Connection::connect(address, std::chrono::steady_clock::now() + limit) != nullptr;
}

std::variant<base::Response, AttemptError> HttpClient::send(const std::string& address,
                                                            const base::Request& request,
                                                            const base::AttemptRules& rules) {
  const auto begin = std::chrono::steady_clock::now();
  const WaitLimit limit{begin + rules.timeout, rules.cancellation};
  WaitLimit connect_limit = limit;
  if (rules.connect_timeout > Duration(0))
    connect_limit.end = std::min(limit.end, begin + rules.connect_timeout);
  const auto lease = pool_->acquire({address, rules.idempotent, rules.max_connections, rules.request_id},
                                    connect_limit, rules.on_connection_wait);
  if (!lease) return AttemptError::not_sent;
  auto& connection = *lease->connection;
  base::AttemptTrace unused;
  base::AttemptTrace& trace = rules.trace ? *rules.trace : unused;
  trace.connection_reused = lease->reused;
  WaitLimitGuard guard(connection, limit);
  const std::string head = request_head(request, address);
  link_.count_sent(head.size() + request.body.size());
  const ErrorCode write_error = connection.write(head, request.body.text());
  trace.bytes_written = connection.bytes_written();
  if (write_error) {
    const auto error = trace.bytes_written > 0 ? AttemptError::unknown : AttemptError::not_sent;
    guard.release();
    lease->discard();
    return error;
  }
  ResponseMatcher matcher(*lease, request, rules);
  auto response = matcher.read({max_body_bytes_, link_, memory_});
  guard.release();
  if (!response) {
    lease->discard();
    return AttemptError::unknown;
  }
  matcher.give_back();
  return std::move(*response);
}

}  // namespace dunlinwing::net
