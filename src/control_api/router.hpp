/// @file
/// The HTTP interface for operators and backend instances: named resources in JSON, at any node. The
/// routes are one table in router.cpp; docs/resources.md describes them.
///
/// Invariants: a read waits for a pull that began after the read arrived, so it returns everything that was
/// acknowledged before. A write is compare-and-set on the register of its resource. Both are answered within
/// a time limit, with a 503 if necessary (control_api/majority_contact).
#pragma once
#include "node/node.hpp"

namespace dunlinwing::control_api {

class Router {
 public:
  /// Both arguments outlive the router and the fibers of its requests.
  Router(base::Ports& ports, node::Node& node);
  ~Router();

  /// Answers one request. Suspends the calling fiber of the control thread, for kResponseLimit at most,
  /// unless the request asks to wait (a watch), uploads a chunk or changes the replica set.
  base::Response handle(base::Request& http);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;  ///< shared with the fibers of writes, which may outlast handle()
};

}  // namespace dunlinwing::control_api
