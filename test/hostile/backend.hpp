/// @file
/// A backend instance in the test program, of every service of the relay under test. What it responds follows
/// from the path: /slow/ after a time, /large/ and /kept/ with a large body, else at once with a small one.
///
/// Thread safety: used only by the single event loop of the test program.
#pragma once
#include <string>

#include "net/http.hpp"

namespace dunlinwing::test {

class Backend {
 public:
  /// Listens, and sends heartbeats until the process ends.
  /// @param control_address  of the relay, for heartbeats
  /// @param address          IP:port to listen at
  /// @throws Failed when the address can't be listened on
  Backend(net::EventLoopPool& pool, std::string control_address, const std::string& address);

 private:
  base::Response answer(base::Request& request);
  void send_heartbeats(const std::string& service);

  std::string control_address_;
  std::string address_;
  net::SystemClock clock_;
  net::HttpClient http_{1U << 20};
  net::HttpServer server_;
};

}  // namespace dunlinwing::test
