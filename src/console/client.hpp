/// @file
/// HTTP requests of the console to the fleet: tries one seed after the other and reports on standard error
/// which failed.
#pragma once
#include "base/json.hpp"
#include "base/ports.hpp"

namespace dunlinwing::console {

/// A relay's response to the console.
struct Reply {
  int status = 0;    ///< the HTTP status; 0: no seed could be reached
  base::Json body;   ///< null when the text is not JSON
  std::string text;  ///< the body as received
  std::string from;  ///< the address of the relay that sent it

  /// Whether it is unknown if a requested change was made.
  bool outcome_unknown() const { return text.find("fate") != std::string::npos; }
};

class Client {
 public:
  /// @param seeds  control addresses (IP:port), in the order in which they are tried
  Client(base::Origin& http, std::vector<std::string> seeds) : http_(http), seeds_(std::move(seeds)) {}

  Reply get(const std::string& path);
  /// A PUT is idempotent by name, so an interrupted one is sent again to the next seed.
  Reply put(const std::string& path, const std::string& body);
  /// A GET from one relay, whether a seed or not.
  Reply get_from(const std::string& address, const std::string& path, Duration limit);

  const std::vector<std::string>& seeds() const { return seeds_; }

 private:
  Reply try_seeds(const base::Request& request);

  base::Origin& http_;
  std::vector<std::string> seeds_;
};

}  // namespace dunlinwing::console
