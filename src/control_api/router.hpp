// The interface for operators, workers and the platform: named resources in JSON
// over HTTP, at any relay.
#pragma once
#include "node/node.hpp"

namespace dunlinwing::control_api {

class Router {
 public:
  Router(base::Ports& ports, node::Node& node);
  ~Router();
  // Answers one request. Parks the calling fiber, for kAnswerLimit at most (contact.hpp)
  // unless the request asks to wait or transfers a large object.
  base::Response handle(base::Request& request);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwing::control_api
