/// @file
/// A crowd of hostile clients: each opens a connection, carries out a script on it, and does so again until
/// the crowd is dismissed.
///
/// Thread safety: used only by the single event loop of the test program.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/connection.hpp"

namespace dunlinwing::test {

/// What one client does on one connection. Returns when it has finished or the connection has ended.
/// @param number  of the client, from 0
using ClientScript = std::function<void(net::Connection& connection, int number)>;

class Crowd {
 public:
  /// @param pool  must outlive the crowd
  Crowd(net::EventLoopPool& pool, std::string address);

  /// Starts clients; suspends the calling fiber until each has carried out the script or failed once, or
  /// until the limit.
  void start(int count, Duration limit, ClientScript script);

  /// Ends all clients and their connections; suspends the calling fiber until they have ended.
  void dismiss();

 private:
  struct State {
    std::string address;
    ClientScript script;
    bool dismissed = false;
    int running = 0;
    int finished_once = 0;                                    ///< clients whose first connection has ended
    std::vector<std::weak_ptr<net::Connection>> connections;  ///< by client
  };

  static void run_client(const std::shared_ptr<State>& state, int number);

  net::EventLoopPool& pool_;
  std::shared_ptr<State> state_;
};

/// Reads and drops what comes until the connection ends.
void read_to_end(net::Connection& connection);

/// Sends a byte of the text at a time, with a pause after each, until all are sent or the connection ends.
/// @return whether all were sent
bool send_slowly(net::Connection& connection, std::string_view text, Duration pause);

}  // namespace dunlinwing::test
