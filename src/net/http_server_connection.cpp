// Beast does the parsing. This file adds limits on complete bodies, rejection of framing that Beast accepts
// but RFC 9112 forbids, and a single write for a response.
#include "net/http_server_connection.hpp"

#include <fmt/format.h>

#include <boost/beast/http.hpp>

#include "base/log.hpp"
#include "net/message_framing.hpp"
#include "net/request_memory.hpp"
#include "net/response_head.hpp"

namespace dunlinwing::net {
namespace asio = boost::asio;
namespace http = boost::beast::http;
using Parser = http::request_parser<http::string_body>;

namespace {
constexpr base::Log logger("http");
constexpr Duration kUndeliveredLogPeriod(1000);  // between log lines about undelivered responses
constexpr Duration kLingerTime(1000);            // how long bytes are read and dropped before a close
constexpr size_t kMaxLingerBytes = 16U << 20;    // and how many bytes of them
constexpr size_t kBodyReadSize = 32 << 10;       // bytes of a body read at once

constexpr size_t kMaxPipelinedBytes = 16 << 10;  // bytes of further requests read while one is handled
constexpr const char* kRetryAfterSeconds = "1";  // for requests rejected because of the limit on all bodies

/// Reason to reject a head: an ambiguous or unknown framing, missing or repeated Host, or a target that is
/// not a path.
template <class Head>
std::optional<FramingError> head_error(const Head& head) {
  if (auto error = find_framing_error(head, head.version())) return error;
  if (head.version() >= 11 && head.count(http::field::host) != 1)
    return FramingError{400, "exactly one Host is needed"};
  if (head.target().empty() || (head.target()[0] != '/' && head.target() != "*"))
    return FramingError{400, "the target must be a path"};
  return {};
}

template <class Head>
void copy_head(const Head& head, base::Request& request) {
  constexpr size_t kAddedHeaders = 8;  // reserved for headers that the proxy adds
  request.method = std::string(head.method_string());
  request.target = std::string(head.target());
  request.headers.reserve(std::distance(head.begin(), head.end()) + kAddedHeaders);
  for (const auto& field : head)
    request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
}

// A short text takes no memory of its own, but has a capacity.
size_t memory_of(const std::string& text) { return text.empty() ? 0 : text.capacity(); }

int status_of(ErrorCode parse_error) {
  if (parse_error == http::error::body_limit) return 413;
  if (parse_error == http::error::header_limit) return 431;
  return 400;
}
}  // namespace

TimePoint steady_now() {
  return std::chrono::duration_cast<TimePoint>(std::chrono::steady_clock::now().time_since_epoch());
}

/// A request that is being read.
struct HttpServerConnection::IncomingRequest {
  std::shared_ptr<const HttpLimits> limits;  ///< those in force when the wait for it began
  Parser parser;
  base::Request request;
  RequestMemory memory;
  bool has_head = false;
  bool has_last_chunk = false;  ///< only trailers may follow
  bool is_last = false;         ///< the connection was already due to end when its bytes were received
  std::function<void(uint64_t, std::string_view, ErrorCode&)> on_chunk;  ///< the parser refers to it

  IncomingRequest(std::shared_ptr<const HttpLimits> current, HttpServerState& server)
      : limits(std::move(current)), memory(server.memory, server.small_use()) {
    on_chunk = [this](uint64_t size, std::string_view /*extensions*/, ErrorCode& /*error*/) {
      has_last_chunk |= size == 0;
    };
    parser.on_chunk_header(on_chunk);
    parser.eager(true);
    parser.header_limit(static_cast<uint32_t>(std::min<size_t>(limits->head_bytes, UINT32_MAX)));
    parser.body_limit(limits->body_bytes);
  }

  // How many trailers there are is not known; the parser keeps them until the request is complete.
  bool reserve_head() {
    return memory.reserve_head(has_last_chunk && !parser.is_done() ? limits->head_bytes : 0);
  }
  bool reserve_body(size_t bytes) { return memory.reserve_body(bytes, limits->all_bodies_bytes); }
};

HttpServerConnection::HttpServerConnection(Connection::Socket socket, HttpServerState& server,
                                           base::MemoryReservation memory)
    : connection_(std::make_shared<Connection>(std::move(socket))),
      server_(server),
      memory_(std::move(memory)) {}

void HttpServerConnection::enter(State state) {
  state_ = state;
  state_since_ = steady_now();
  progress_.begin(state_since_);
}

bool HttpServerConnection::is_evictable() const {
  if (connection_->is_interrupted()) return false;
  return state_ == State::lingering || (state_ == State::idle && connection_->is_idle_in_kernel());
}

bool HttpServerConnection::is_slow(TimePoint now) const {
  const bool is_reading = state_ == State::reading_head || state_ == State::reading_body;
  const bool is_writing = state_ == State::writing && !awaits_link_;
  if (!(is_reading || is_writing) || connection_->is_interrupted()) return false;
  if (is_reading && !connection_->is_reading()) return false;  // bytes have been received
  return progress_.is_slow(now);
}

void HttpServerConnection::end_as_slow() {
  overdue_ = state_ != State::writing;
  gives_way_ = true;
  connection_->interrupt();
}

Duration HttpServerConnection::time_limit(const HttpLimits& limits) const {
  switch (state_) {
    case State::idle:
      return std::max(limits.idle_timeout, idle_limit_);
    case State::reading_head:
      return limits.head_timeout;
    case State::reading_body:
      return limits.body_timeout;
    case State::writing:
      return limits.write_timeout;
    case State::lingering:
      return kLingerTime;
    case State::handling:
      break;
  }
  return Duration::max();
}

void HttpServerConnection::end_if_overdue(const HttpLimits& limits, TimePoint now) {
  if (now - state_since_ < time_limit(limits) || connection_->is_interrupted()) return;
  const bool awaits_bytes = state_ != State::writing;
  if (awaits_bytes && !connection_->is_reading()) return;  // bytes have been received, and count as progress
  if (state_ == State::idle && !is_evictable()) return;
  overdue_ = state_ == State::reading_head || state_ == State::reading_body;
  connection_->interrupt();
}

void HttpServerConnection::serve() {
  while (!server_.closing && serve_request()) {
  }
  connection_->close();
}

// Serves one request; false when the connection must end.
bool HttpServerConnection::serve_request() {
  enter(connection_->buffered().empty() ? State::idle : State::reading_head);
  IncomingRequest incoming(server_.limits.load(), server_);
  idle_limit_ = incoming.limits->idle_timeout;
  return read_request(incoming) && respond(incoming);
}

bool HttpServerConnection::read_request(IncomingRequest& incoming) {
  for (;;) {
    if (!parse_buffered(incoming)) return false;
    if (incoming.has_head && !incoming.reserve_body(memory_of(incoming.parser.get().body())))
      return refuse(503, "too many bodies at once");
    if (incoming.parser.is_done())
      return reserve_document(incoming, incoming.parser.get().body().size()) ||
             refuse(503, "too many documents at once");
    if (!read_more(incoming)) return false;
  }
}

// Calls to the control address are documents, which the handler parses.
bool HttpServerConnection::reserve_document(IncomingRequest& incoming, size_t bytes) {
  return server_.link.traffic_class != link::TrafficClass::control || incoming.memory.reserve_document(bytes);
}

// Parses the buffered bytes; false when the connection must end.
bool HttpServerConnection::parse_buffered(IncomingRequest& incoming) {
  Parser& parser = incoming.parser;
  while (!parser.is_done() && !connection_->buffered().empty()) {
    const auto bytes = connection_->buffered();
    if (!incoming.has_head) parser.eager(false);
    ErrorCode error;
    const size_t parsed = parser.put(asio::buffer(bytes.data(), bytes.size()), error);
    const bool has_whole_head = !incoming.has_head && parser.is_header_done();
    if (has_whole_head && has_folded_line(bytes.substr(0, parsed)))
      return refuse(400, "a line of the head is folded");
    if (!incoming.has_head) incoming.memory.count_head(bytes.substr(0, parsed));
    connection_->consume(parsed);
    if (!incoming.reserve_head()) return refuse(503, "too many requests at once");
    if (error == http::error::need_more) {
      if (connection_->buffered().size() == bytes.size()) return may_wait_for_line(incoming);
    } else if (error) {
      return refuse(status_of(error), error.message());
    }
    if (has_whole_head && !accept_head(incoming)) return false;
  }
  return true;
}

// The parser keeps a chunk's line and the trailers until they are whole, and the body limit does not count
// them; false when they are too long.
bool HttpServerConnection::may_wait_for_line(const IncomingRequest& incoming) {
  if (!incoming.has_head || connection_->buffered().size() <= incoming.limits->head_bytes) return true;
  return refuse(431, "a chunk's line or the trailers exceed the limit of a head (head_bytes)");
}

// Checks a head that has just been read; false when the connection must end.
bool HttpServerConnection::accept_head(IncomingRequest& incoming) {
  Parser& parser = incoming.parser;
  const auto& head = parser.get();
  incoming.has_head = true;
  parser.eager(true);
  enter(State::reading_body);
  if (const auto error = head_error(head)) return refuse(error->status, error->reason);
  const auto length = parser.content_length();
  if (length && *length > incoming.limits->body_bytes) return refuse(413, "body limit exceeded");
  if (length && !incoming.reserve_body(*length)) return refuse(503, "too many bodies at once");
  if (length && !reserve_document(incoming, *length)) return refuse(503, "too many documents at once");
  copy_head(head, incoming.request);  // before any trailer
  const bool expects_continue =
      !parser.is_done() && head.version() >= 11 &&
      base::equals_ignore_case(std::string_view(head[http::field::expect]), "100-continue");
  return !expects_continue || !connection_->write("HTTP/1.1 100 Continue\r\n\r\n");
}

// Waits for bytes; false when the connection must end.
bool HttpServerConnection::read_more(IncomingRequest& incoming) {
  const bool awaits_first = connection_->buffered().empty() && !incoming.has_head && state_ == State::idle;
  if (awaits_first) return await_request(incoming);
  const size_t buffered = connection_->buffered().size();
  const ErrorCode error = connection_->read_more(incoming.has_head ? kBodyReadSize : Connection::kReadSize);
  progress_.record(connection_->buffered().size() - buffered, steady_now());
  if (error && overdue_) return refuse(408, "the request did not come in time");
  if (error) return false;
  // The request became overdue while these bytes were being read; since it is handled, it must be answered.
  overdue_ = gives_way_ = false;
  incoming.is_last |= connection_->is_interrupted();
  connection_->clear_interrupt();
  return true;
}

// Waits for the first bytes of a request; false when the connection must end.
bool HttpServerConnection::await_request(IncomingRequest& incoming) {
  const MessageWait wait = connection_->await_message();
  if (wait == MessageWait::ended) return false;
  incoming.is_last = wait == MessageWait::received_as_last;
  enter(State::reading_head);
  return true;
}

base::Response HttpServerConnection::handle(base::Request& request) {
  request.cancellation = client_disconnected_;
  watch_client();
  base::Response response = server_.handler(request);
  connection_->on_read_done(nullptr);
  return response;
}

// Keeps reading, so that the end of the connection is noticed; pipelined requests may arrive before it.
// Beyond kMaxPipelinedBytes nothing more is read, whichever of them is handled.
void HttpServerConnection::watch_client() {
  if (connection_->buffered().size() >= kMaxPipelinedBytes) return;
  connection_->on_read_done([this] {
    if (connection_->has_ended())
      client_disconnected_->cancel();
    else
      watch_client();
  });
  connection_->start_read();
}

// Moves the body to the request and frees the parser's copy of the head, before the request may wait.
HttpServerConnection::RequestLine HttpServerConnection::take_body(IncomingRequest& incoming) {
  auto message = incoming.parser.release();
  auto memory = incoming.memory.take_body(memory_of(message.body()));
  incoming.request.body = base::Body(std::move(message.body()), std::move(memory));
  return {message.method() == http::verb::head, message.version(), message.keep_alive()};
}

// Calls the handler and writes its response; false when the connection must end.
bool HttpServerConnection::respond(IncomingRequest& incoming) {
  const RequestLine line = take_body(incoming);
  server_.link.count_received(incoming.request.body.size());
  state_ = State::handling;
  struct Running {
    std::atomic<int>& count;
    explicit Running(std::atomic<int>& running) : count(running) { ++count; }
    ~Running() { --count; }
  } running(server_.running_requests);
  const base::Response response = handle(incoming.request);
  const ResponseContext context{line.is_head_request, line.version,
                                line.keep_alive && !server_.closing && !server_.draining &&
                                    !server_.connection_limit_reached && !incoming.is_last};
  const std::string head = response_head(response, context, *server_.limits.load());
  if (const ErrorCode error = write_response(response, head, context.is_head_request)) {
    if (!client_disconnected_->is_cancelled()) report_undelivered(incoming.request, response, error);
    return false;
  }
  // Closing with unread bytes sends a reset, which may discard the response before the client has read it.
  if (!context.keep_alive && !connection_->buffered().empty()) linger();
  return context.keep_alive;
}

ErrorCode HttpServerConnection::write_response(const base::Response& response, const std::string& head,
                                               bool without_body) {
  enter(State::writing);
  const bool no_body = without_body || has_no_body(response.status);
  return write_parts(head, no_body ? std::string_view() : std::string_view(response.body));
}

// Writes each part once the link has capacity for it; the head is sent with the first.
ErrorCode HttpServerConnection::write_parts(std::string_view head, std::string_view body) {
  const TimePoint since = steady_now();
  const size_t most = server_.link.outbound_part_bytes();
  do {
    const std::string_view part = body.substr(0, most);
    awaits_link_ = true;
    const bool granted = await_link(head.size() + part.size(), since, head.size() + body.size());
    awaits_link_ = false;
    if (!granted) return make_error_code(boost::system::errc::timed_out);
    size_t written = 0;
    const auto on_progress = [&](size_t total) {
      state_since_ = steady_now();
      progress_.record(total - std::exchange(written, total), state_since_);
    };
    on_progress(0);
    if (const auto error = connection_->write(head, part, [&] { on_progress(connection_->bytes_written()); }))
      return error;
    on_progress(head.size() + part.size());
    body.remove_prefix(part.size());
    head = {};
  } while (!body.empty());
  return {};
}

// Only responses to clients wait; responses to operators are control traffic.
bool HttpServerConnection::await_link(size_t bytes, TimePoint since, size_t remaining) {
  const link::LinkUse& link = server_.link;
  if (link.traffic_class == link::TrafficClass::clients)
    return link.await_outbound(bytes, since, remaining, server_.limits.load()->write_timeout);
  link.count_sent(bytes);
  return true;
}

// Many clients disconnect early, so log lines are rate-limited; every undelivered response is counted.
void HttpServerConnection::report_undelivered(const base::Request& request, const base::Response& response,
                                              ErrorCode error) {
  const uint64_t count = ++server_.undelivered_responses;
  const TimePoint now = steady_now();
  const TimePoint logged = server_.undelivered_logged;
  if (logged != TimePoint::min() && now - logged < kUndeliveredLogPeriod) return;
  server_.undelivered_logged = now;
  logger.warn(
      "A response with status {} to {} {} was not delivered: {}; {} bytes were written; {} undelivered "
      "responses so far.",
      response.status, request.method, request.target, error.message(), connection_->bytes_written(), count);
}

// Sends an error response, then lingers so that the client can read it. The connection ends: always returns
// false.
bool HttpServerConnection::refuse(int status, const std::string& error) {
  base::Response response{
      status, {{"Content-Type", "application/json"}}, fmt::format("{{\"defect\":\"{}\"}}\n", error)};
  if (status == 503) response.headers.emplace_back("Retry-After", kRetryAfterSeconds);
  if (status == 408 || status == 503) log_refusal(status, error);
  connection_->clear_interrupt();
  if (!write_response(response, response_head(response, {}, *server_.limits.load()), false)) linger();
  return false;
}

// The request may be unknown, as its head may be incomplete; the client's address identifies the connection.
void HttpServerConnection::log_refusal(int status, const std::string& error) {
  if (!base::is_logged(base::LogLevel::info) || !server_.refusal_lines.acquire(steady_now())) return;
  ErrorCode ignored;
  const auto client = connection_->socket().remote_endpoint(ignored);
  logger.info("A request from {}:{} was refused with {} before it was handled: {} ({} refusals not logged).",
              client.address().to_string(), client.port(), status, error,
              server_.refusal_lines.take_suppressed());
}

void HttpServerConnection::linger() {
  if (gives_way_) return;
  enter(State::lingering);
  connection_->shutdown_send();
  size_t dropped = connection_->buffered().size();
  connection_->consume(dropped);
  while (dropped < kMaxLingerBytes && !connection_->read_more()) {
    const size_t bytes = connection_->buffered().size();
    dropped += bytes;
    connection_->consume(bytes);
  }
}

}  // namespace dunlinwing::net
