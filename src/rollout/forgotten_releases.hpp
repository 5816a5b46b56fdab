/// @file
/// The markers of finished releases whose progress is no longer kept. A marker stands in the operator action
/// of the release and tells every leader that the release is not a new one.
///
/// Invariant: a release's name leaves RolloutState.forgotten only once its marker has been known here for a
/// bound. It was acknowledged then before the latest pull of any node with a read lease began, so that a
/// successor knows it too, whichever state of the releases it reads.
/// Threads: the fiber of the rollout controller; mark_next() waits for the network.
#pragma once
#include "consensus/register_client.hpp"
#include "membership/leadership.hpp"
#include "rollout/release_state_machine.hpp"

namespace dunlinwing::rollout {

using OperatorActionsByKey = std::map<std::string, pb::OperatorAction>;  ///< by the register of the release

/// Whether the release, named by its register, carries the marker.
bool is_marked_forgotten(const OperatorActionsByKey& actions, const std::string& release_key);

class ForgottenReleases {
 public:
  /// The references have to outlive the object.
  /// @param bound  of the fleet
  ForgottenReleases(consensus::RegisterClient& registers, membership::Leadership& leadership, Duration bound);

  /// Notes which of the forgotten releases carry the marker.
  /// @return those, as kind/name, whose marker every leader must know by now
  std::set<std::string> update(TimePoint now, const pb::RolloutState& state,
                               const OperatorActionsByKey& actions);

  /// Writes the marker of one release that lacks it; later calls go on with the others. Done twice it does no
  /// harm.
  void mark_next(const pb::RolloutState& state, const OperatorActionsByKey& actions);

 private:
  void mark(const std::string& path);

  consensus::RegisterClient& registers_;
  membership::Leadership& leadership_;
  Duration bound_;
  std::map<std::string, TimePoint> marked_since_;  ///< by kind/name: since when the marker is known here
};

}  // namespace dunlinwing::rollout
