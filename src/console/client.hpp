// One call to the fleet: tries one seed after the other and says which failed.
#pragma once
#include "base/json.hpp"
#include "base/ports.hpp"

namespace dunlinwing::console {

struct ClientOptions {
  std::vector<std::string> seeds;
  bool quiet = false;
};

struct Reply {
  int status = 0;  // 0: no seed could be reached
  base::Json body;
  std::string text, etag, from;
};

class Client {
 public:
  Client(base::Origin& http, ClientOptions r) : http_(http), r_(std::move(r)) {}
  Reply get(const std::string& path, Duration limit = Duration(8000));
  Reply put(const std::string& path, const std::string& body, base::Headers headers = {});
  Reply at(const std::string& seed, const std::string& path, Duration limit);
  const std::vector<std::string>& seeds() const { return r_.seeds; }

 private:
  Reply any(const base::Request& request, Duration limit);
  base::Origin& http_;
  ClientOptions r_;
};

}  // namespace dunlinwing::console
