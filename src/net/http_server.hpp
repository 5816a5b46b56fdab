/// @file
/// An HTTP/1.1 server that passes completely read requests to a handler function. Each connection has its own
/// fiber. The limits may be changed while it runs.
///
/// Threads: every function may be called from any thread.
#pragma once
#include "link/link.hpp"
#include "net/event_loop.hpp"

namespace dunlinwing::net {

/// The memory that is reserved for each open connection: its fiber's stack, its read buffer with a head or
/// with further requests, and its bookkeeping.
inline constexpr size_t kConnectionBytes = 48 << 10;

struct HttpLimits {
  size_t head_bytes = 16 << 10;          ///< of a request
  size_t body_bytes = 1 << 20;           ///< of a request
  size_t all_bodies_bytes = 256U << 20;  ///< of all request bodies in this process's memory at once
  size_t max_connections = 0;            ///< open connections; 0: no limit
  Duration idle_timeout{60000};          ///< until a request begins
  Duration head_timeout{10000};          ///< from the first byte of a request's head to its last
  Duration body_timeout{30000};          ///< from the end of the head to the end of the body
  Duration write_timeout{10000};         ///< without progress in sending a response
  bool advertise_idle = false;           ///< send the idle timeout in a Keep-Alive header
};

/// Answers a request; may suspend the calling fiber.
using HttpHandler = std::function<base::Response(base::Request&)>;

class HttpServer {
 public:
  /// @param pool  must outlive the server
  /// @param name  used in log lines
  /// @param link  that carries the requests and paces responses to clients
  /// @param memory  for connections, heads and bodies; must outlive the server and the requests
  HttpServer(EventLoopPool& pool, std::string name, HttpLimits limits, HttpHandler handler,
             link::LinkUse link = {}, base::MemoryAccount& memory = base::MemoryAccount::unlimited());
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// Accepts connections and spreads them over the threads [first_thread, end_thread).
  /// @param address  IP:port
  /// @return an error text when the address cannot be listened on
  [[nodiscard]] std::optional<std::string> listen(const std::string& address, int first_thread,
                                                  int end_thread);

  /// New limits take effect at each connection's next step.
  void set_limits(HttpLimits limits);

  /// From now on each response is the last on its connection.
  void drain();

  /// Ends the connections on which no byte of a further request was received.
  void close_idle();

  /// Accepts no new connections; the open ones end after their pending response.
  void close();

  /// Number of requests that are being handled or whose response is being written.
  int running_requests() const;
  int open_connections() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;  ///< shared with the fibers of the connections
};

}  // namespace dunlinwing::net
