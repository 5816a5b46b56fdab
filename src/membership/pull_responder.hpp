/// @file
/// The side of a pull that responds: the registers that this node's replica has accepted and the statuses it
/// knows, as far as the requester lacks them.
///
/// Does no I/O. Used by the control thread only.
#pragma once
#include "consensus/acceptor.hpp"
#include "membership/status_table.hpp"

namespace dunlinwing::membership {

class PullResponder {
 public:
  /// @param acceptor  this node's replica; null: it has none, and responds as a non-voting one
  /// @param session   how long a status keeps its source a member
  PullResponder(StatusTable& statuses, const consensus::Acceptor* acceptor, Duration session)
      : statuses_(statuses), acceptor_(acceptor), session_(session) {}

  pb::PullResponse respond(const pb::PullRequest& request, TimePoint now);

 private:
  void add_statuses(const pb::PullRequest& request, TimePoint now, pb::PullResponse& response) const;
  void add_version_of_requester(const pb::PullRequest& request, pb::PullResponse& response) const;

  StatusTable& statuses_;
  const consensus::Acceptor* const acceptor_;
  const Duration session_;
};

}  // namespace dunlinwing::membership
