// An HTTP/1.1 client that fires one request at a worker and says honestly how
// far it got. Connections that ended well are kept for the next.
#pragma once
#include "net/event_loop.hpp"

namespace dunlinwing::net {

class HttpClient final : public base::Origin {
 public:
  // Answers' bodies beyond `body_bytes` are not taken; `kept` idle connections at most.
  explicit HttpClient(size_t body_bytes, size_t kept = 512);
  ~HttpClient() override;
  bool can_connect(const std::string& address, Duration limit) override;
  std::variant<base::Response, base::AttemptError> send(const std::string& address,
                                                        const base::Request& request,
                                                        const base::AttemptRules& r) override;
  int idle() const;                                      // connections kept
  int connections_to(const std::string& address) const;  // connections to it, in use or kept

  struct Impl;

 private:
  size_t max_body_bytes_;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwing::net
