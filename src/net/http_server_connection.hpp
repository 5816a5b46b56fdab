/// @file
/// A client's connection to an HTTP server: reads a request, calls the handler, writes the response, and
/// repeats until the connection must end.
///
/// Invariants: a request is handled only once it has been read completely; a request that has been read is
/// answered. While it is handled the connection is still read, so that the handler is notified at once when
/// the client disconnects; the end of the client's stream counts as a disconnect. Requests with ambiguous
/// framing (RFC 9112, sections 3.2 and 6.3) are rejected and the connection ends.
/// Threads: used only on the event loop that its socket belongs to. The server enforces the time limits by
/// calling end_if_overdue().
#pragma once
#include <atomic>

#include "base/log_limiter.hpp"
#include "net/client_progress.hpp"
#include "net/connection.hpp"
#include "net/http_server.hpp"

namespace dunlinwing::net {

/// State shared by all connections of one server. The atomics may be used from any thread.
struct HttpServerState {
  explicit HttpServerState(base::MemoryAccount& account) : memory(account) {}

  /// What connections and small requests use memory as.
  base::MemoryUse small_use() const {
    return link.traffic_class == link::TrafficClass::control ? base::MemoryUse::control
                                                             : base::MemoryUse::ordinary;
  }

  base::MemoryAccount& memory;
  HttpHandler handler;
  link::LinkUse link;
  std::atomic<std::shared_ptr<const HttpLimits>> limits;
  std::atomic<bool> closing{false};                   ///< each connection ends after its current request
  std::atomic<bool> draining{false};                  ///< each response is the last on its connection
  std::atomic<bool> connection_limit_reached{false};  ///< a new connection waits until one ends
  std::atomic<int> running_requests{0};
  std::atomic<uint64_t> undelivered_responses{0};  ///< requests handled whose response could not be written
  std::atomic<TimePoint> undelivered_logged{TimePoint::min()};  ///< when such a response was last logged
  base::LogLimiter refusal_lines{100};
};

class HttpServerConnection {
 public:
  enum class State {
    idle,  ///< between requests
    reading_head,
    reading_body,
    handling,
    writing,
    lingering,  ///< last response sent; further bytes are read and dropped
  };

  /// @param server  must outlive the connection
  /// @param memory  reserved for the connection
  HttpServerConnection(Connection::Socket socket, HttpServerState& server, base::MemoryReservation memory);

  /// Serves requests until the connection must end, then closes it.
  void serve();

  State state() const { return state_; }
  TimePoint state_since() const { return state_since_; }

  /// Whether nothing is lost when the connection ends: it lingers, or it is idle and no byte of a further
  /// request has arrived, including in the socket's receive buffer, which a lagging process may not have read
  /// yet.
  bool is_evictable() const;

  /// Whether the client sends a request, or reads a response, so slowly that the connection may be ended in
  /// favour of others when connections or memory are short.
  bool is_slow(TimePoint now) const;
  /// The client's rate in the current state.
  double bytes_per_second(TimePoint now) const { return progress_.bytes_per_second(now); }
  /// Ends the connection; a request that was not read whole is refused with 408.
  void end_as_slow();

  /// Ends the connection as soon as its fiber runs.
  void interrupt() { connection_->interrupt(); }

  /// Interrupts the connection when its current state has lasted longer than the limits allow.
  void end_if_overdue(const HttpLimits& limits, TimePoint now);

 private:
  struct IncomingRequest;
  /// What a response depends on of its request.
  struct RequestLine {
    bool is_head_request = false;
    unsigned version = 11;  ///< of HTTP, 10 or 11
    bool keep_alive = false;
  };

  bool serve_request();
  bool read_request(IncomingRequest& incoming);
  bool reserve_document(IncomingRequest& incoming, size_t bytes);
  bool parse_buffered(IncomingRequest& incoming);
  bool may_wait_for_line(const IncomingRequest& incoming);
  bool accept_head(IncomingRequest& incoming);
  RequestLine take_body(IncomingRequest& incoming);
  bool read_more(IncomingRequest& incoming);
  bool await_request(IncomingRequest& incoming);
  bool respond(IncomingRequest& incoming);
  base::Response handle(base::Request& request);
  void watch_client();
  ErrorCode write_response(const base::Response& response, const std::string& head, bool without_body);
  ErrorCode write_parts(std::string_view head, std::string_view body);
  bool await_link(size_t bytes, TimePoint since, size_t remaining);
  void report_undelivered(const base::Request& request, const base::Response& response, ErrorCode error);
  bool refuse(int status, const std::string& error);
  void log_refusal(int status, const std::string& error);
  void linger();
  void enter(State state);
  Duration time_limit(const HttpLimits& limits) const;

  std::shared_ptr<Connection> connection_;
  HttpServerState& server_;
  base::MemoryReservation memory_;  ///< of the connection itself
  /// Cancels all requests of this connection.
  base::CancellationPtr client_disconnected_ = std::make_shared<base::Cancellation>();
  State state_ = State::idle;
  TimePoint state_since_{0};  ///< steady clock; while writing: time of the last progress
  ClientProgress progress_;   ///< in the current state
  bool awaits_link_ = false;  ///< the response waits for the link, not for the client
  Duration idle_limit_{0};  ///< idle timeout that the client may rely on: the one when its current wait began
  bool gives_way_ = false;  ///< ended in favour of others: it does not linger
  bool overdue_ = false;    ///< interrupted for exceeding a time limit while a request was read
};

/// Milliseconds of the steady clock.
TimePoint steady_now();

}  // namespace dunlinwing::net
