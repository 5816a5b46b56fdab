/// @file
/// The attempts that were made for one client's request: how many of the allowed ones are used, and a record
/// of each for tracing.
///
/// Threads: an account is used only by the fiber that handles its request; the functions are pure.
#pragma once
#include "proxy/attempt_decision.hpp"

namespace dunlinwing::proxy {

/// One attempt of this node at a backend instance.
struct AttemptRecord {
  std::string instance;
  std::string address;    ///< IP:port
  base::AttemptTrace io;  ///< what happened on the connection
  AttemptClass result = AttemptClass::not_sent;
  int status = 0;              ///< of the response; 0: there was no complete one
  bool names_request = false;  ///< the response has the request's id
  Duration latency{0};         ///< from the choice of the instance to the result
};

/// The backend instances to which a client's request was sent, over all its paths: by this node, by shields
/// for it, and under an earlier configuration. Held by the entry node; a shield gets what is left and reports
/// what it used.
struct AttemptAccount {
  int sent = 0;
  std::vector<AttemptRecord> records;  ///< of this node's own attempts, also those whose connection failed
};

/// The attempt as a part of a log line.
std::string describe(const AttemptRecord& attempt);

}  // namespace dunlinwing::proxy
