// HTTP/1.1 by Boost.Beast behind a narrow face: a server that hands whole
// requests to a function, and a client that fires one request at a worker and
// says honestly how far it got.
#pragma once
#include "wire/loop.hpp"

namespace dunlinwing::wire {

struct HttpLimits {
  size_t head_bytes = 16 << 10;
  size_t body_bytes = 1 << 20;
  Span idle{60000}, read{10000}, write{10000};
};

using HttpHandler = std::function<base::Receipt(base::Request&)>;

class HttpServer {
 public:
  HttpServer(Pool& pool, std::string name, HttpLimits l, HttpHandler h);
  ~HttpServer();
  // Connections are spread over threads [from, to).
  std::optional<std::string> listen(const std::string& addr, int from, int to);
  void wind_down();      // from now on each answer is its connection's last
  void close();          // takes no new connections; live ones end after their present answer
  int running() const;   // requests now in a handler

 private:
  struct Impl;
  std::shared_ptr<Impl> p_;
};

class HttpOrigin final : public base::Origin {
 public:
  explicit HttpOrigin(size_t body_bytes) : most_(body_bytes) {}
  bool reach(const std::string& addr, Span limit) override;
  std::variant<base::Receipt, base::ShotDefect> shoot(const std::string& addr, const base::Request& q,
                                                      const base::ShotRules& r) override;

 private:
  size_t most_;
};

}  // namespace dunlinwing::wire
