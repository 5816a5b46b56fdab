/// @file
/// An HTTP/1.1 client that sends one request to a backend instance and reports whether it may have been sent.
/// Connections are reused after a complete response (net/connection_pool.hpp).
///
/// Invariants: when it is uncertain where a response ends, or which request it belongs to, the response is
/// discarded and the connection closed. An abandoned connection is reset, so that bytes in its send buffer
/// are not delivered later. Threads: any fiber of an event loop.
#pragma once
#include "link/link.hpp"
#include "net/event_loop.hpp"

namespace dunlinwing::net {

class ConnectionPool;

class HttpClient final : public base::Origin {
 public:
  static constexpr size_t kDefaultMaxIdle = 512;

  /// @param max_body_bytes  responses with longer bodies are rejected
  /// @param max_idle        limit on idle connections
  /// @param link            that carries the attempts and paces the reading of long bodies. Null: traffic is
  /// not counted
  /// @param memory          for the bodies of responses; must outlive the client and the bodies. A response
  /// is read no further while there is none
  explicit HttpClient(size_t max_body_bytes, size_t max_idle = kDefaultMaxIdle, link::Link* link = nullptr,
                      base::MemoryAccount& memory = base::MemoryAccount::unlimited());
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient() override;

  bool can_connect(const std::string& address, Duration limit) override;
  std::variant<base::Response, base::AttemptError> send(const std::string& address,
                                                        const base::Request& request,
                                                        const base::AttemptRules& rules) override;

  int idle() const;                                      ///< connections
  int connections_to(const std::string& address) const;  ///< in use or idle

 private:
  size_t max_body_bytes_;
  link::LinkUse link_;
  base::MemoryAccount& memory_;
  std::shared_ptr<ConnectionPool> pool_;
};

}  // namespace dunlinwing::net
