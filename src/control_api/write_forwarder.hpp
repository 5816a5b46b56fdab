/// @file
/// Sends writes to the replica that coordinates their resource (membership/replica_selector), which
/// carries them out together with those of other nodes. When a coordinator fails, the next replica takes
/// over.
///
/// Invariants: a node that is not a replica proposes no change, except while replicas run an older version of
/// the program; a write is answered by its deadline. Threads: called in fibers of the control thread;
/// suspends the calling fiber.
#pragma once
#include "control_api/api_context.hpp"
#include "membership/replica_selector.hpp"

namespace dunlinwing::control_api {

/// Where a write was carried out, for the log.
struct ForwardTrace {
  std::string coordinator;  ///< empty: it was carried out nowhere
  int calls = 0;            ///< to other nodes
};

class WriteForwarder {
 public:
  /// Carries out a write on this node.
  using Execute = std::function<base::Response(const ApiRequest& request)>;

  /// @param execute   proposes the changes of a write
  /// @param validate  as `execute`, but proposes nothing: responds with a 503 where it would
  WriteForwarder(base::Ports& ports, node::Node& node, Execute execute, Execute validate);

  /// Responds to a write of this node's client. While replicas respond but none is available, as when a fleet
  /// starts, it tries again until the deadline.
  base::Response forward(const ApiRequest& request, ForwardTrace& trace);

  /// Responds to a write that another node has forwarded to this one.
  pb::ForwardedWriteResponse handle(const pb::ForwardedWrite& forwarded);

 private:
  /// How a candidate responded.
  struct CallResult {
    std::optional<base::Response> response;  ///< empty: try the next candidate
    bool unsupported = false;  ///< it runs a version of the program that knows no forwarded writes
    bool silent = false;       ///< it may have received the write, and did not respond in time
    bool unavailable = false;  ///< it cannot coordinate now, but may soon
  };

  /// Calls for one write that did not carry it out.
  struct FailedCalls {
    int silent = 0;       ///< in all passes over the candidates
    int unavailable = 0;  ///< in this pass
  };

  /// Tries the candidates in turn; nothing when none carried the write out.
  std::optional<base::Response> try_candidates(const ApiRequest& request, FailedCalls& failed,
                                               ForwardTrace& trace);
  CallResult call(const consensus::Replica& replica, const ApiRequest& request, Duration limit);
  std::vector<consensus::Replica> candidates(const ApiRequest& request) const;

  base::Ports& ports_;
  node::Node& node_;
  Execute execute_;
  Execute validate_;
  membership::ReplicaSelector selector_;
};

}  // namespace dunlinwing::control_api
