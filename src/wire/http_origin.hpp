// An HTTP/1.1 client that fires one request at a worker and says honestly how
// far it got. Connections that ended well are kept for the next.
#pragma once
#include "wire/loop.hpp"

namespace dunlinwing::wire {

class HttpOrigin final : public base::Origin {
 public:
  // Answers' bodies beyond `body_bytes` are not taken; `kept` idle connections at most.
  explicit HttpOrigin(size_t body_bytes, size_t kept = 512);
  ~HttpOrigin() override;
  bool reach(const std::string& addr, Duration limit) override;
  std::variant<base::Response, base::AttemptError> send(const std::string& addr, const base::Request& q,
                                                        const base::AttemptRules& r) override;
  int idle() const;                         // connections kept
  int held(const std::string& addr) const;  // connections to it, in use or kept

  struct Impl;

 private:
  size_t most_;
  std::shared_ptr<Impl> p_;
};

}  // namespace dunlinwing::wire
