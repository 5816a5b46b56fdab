/// @file
/// A backend instance over raw TCP that gets into each trouble that the users' protocol allows: declines that
/// come late, twice or for another instance, truncated and lost responses, bytes that are no response, extra
/// responses, resets before and after a request was read, connections that end.
///
/// Thread safety: used only by the single event loop of the soak program.
#pragma once
#include <functional>
#include <random>
#include <string>

#include "net/connection.hpp"
#include "net/system_clock.hpp"

namespace dunlinwing::test {

/// What an instance does with one request. In the first group it executes the request, else not.
enum class Trouble {
  none,
  slow,
  cut_response,
  garbled_response,
  extra_response,       ///< an old response is repeated behind the response, in one segment
  late_extra_response,  ///< the same, some time later
  lost_response,
  reset_after_execution,
  last_response,  ///< with Connection: close
  decline,
  slow_decline,
  repeated_decline,       ///< twice in one segment
  late_repeated_decline,  ///< the second one some time later
  wrong_instance,         ///< a 421, and some time later its copy
  reset_before_execution,
  close_before_execution,
};

class TroubledBackend {
 public:
  /// @param executed  called for each execution, with the request's target
  TroubledBackend(net::EventLoopPool& pool, std::string service, std::string name, uint64_t seed,
                  std::function<void(const std::string& target)> executed);

  /// Starts listening.
  /// @param address  IP:port
  void listen(const std::string& address);

  /// The instance's name; a restarted one has another.
  std::string instance() const;

  /// Ends all connections, and continues under another name at the same address.
  void restart();

  /// The number of requests that met a trouble.
  uint64_t troubles() const { return troubles_; }

 private:
  using ConnectionPtr = std::shared_ptr<net::Connection>;
  /// A request as far as its response depends on it.
  struct Received {
    std::string id;
    std::string target;
    std::string addressed_instance;
  };

  void accept();
  bool serve(const ConnectionPtr& connection);
  std::optional<Received> read_request(net::Connection& connection);
  bool respond(const ConnectionPtr& connection, const Received& request, Trouble trouble);
  bool execute_and_respond(const ConnectionPtr& connection, const Received& request, Trouble trouble);
  bool decline(const ConnectionPtr& connection, const Received& request, Trouble trouble);
  void write_later(const ConnectionPtr& connection, std::string text);
  Trouble draw();
  std::string response_head(int status, const std::string& id, const std::string& more, size_t length) const;
  std::string good_response(const Received& request, bool is_last) const;

  net::EventLoopPool& pool_;
  net::SystemClock clock_;
  std::string service_;
  std::string name_;
  std::mt19937_64 random_;
  std::function<void(const std::string&)> executed_;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::vector<std::weak_ptr<net::Connection>> connections_;
  int restarts_ = 0;
  uint64_t troubles_ = 0;
};

}  // namespace dunlinwing::test
