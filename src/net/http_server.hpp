// An HTTP/1.1 server that hands whole requests to a function, one fiber a
// connection. Its limits may be changed while it runs.
#pragma once
#include "net/event_loop.hpp"

namespace dunlinwing::net {

struct HttpLimits {
  size_t head_bytes = 16 << 10;
  size_t body_bytes = 1 << 20;
  size_t all_bodies_bytes = 256u << 20;  // of all requests' bodies that this process holds at once
  size_t max_connections = 0;            // open connections; 0: no bound
  Duration idle_timeout{60000};          // until a request begins
  Duration head_timeout{10000};          // from a head's first byte to its last
  Duration body_timeout{30000};          // from a head's end to its body's
  Duration write_timeout{10000};         // without an answer's bytes moving
  bool advertise_idle = false;           // name the idle time in Keep-Alive
};

using HttpHandler = std::function<base::Response(base::Request&)>;

class HttpServer {
 public:
  HttpServer(EventLoopPool& pool, std::string name, HttpLimits l, HttpHandler h);
  ~HttpServer();
  // Connections are spread over threads [from, to).
  std::optional<std::string> listen(const std::string& address, int from, int to);
  void set_limits(HttpLimits l);  // from any thread; binds from each connection's next step
  void drain();                   // from now on each answer is its connection's last
  void close_idle();              // ends connections on which no byte of a request was read
  void close();                   // takes no new connections; live ones end after their present answer
  int running_requests() const;   // requests now in a handler
  int open_connections() const;   // connections

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwing::net
