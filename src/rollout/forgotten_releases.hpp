/// @file
/// The markers of finished releases whose progress has been deleted. A marker is stored in the operator
/// action of the release; it prevents leaders from treating the release as a new one.
///
/// Invariant: a release's name is removed from RolloutState.forgotten only once this node has known its
/// marker for longer than the bound. The write of the marker was then acknowledged before the latest pull of
/// any node with a read lease began, so that the next leader knows it too, whichever state of the releases it
/// reads. Threads: the fiber of the rollout controller; mark_next() waits for the network.
#pragma once
#include "consensus/register_client.hpp"
#include "membership/leadership.hpp"
#include "rollout/release_state_machine.hpp"

namespace dunlinwing::rollout {

using OperatorActionsByKey = std::map<std::string, pb::OperatorAction>;  ///< by the register of the release

/// Whether the operator action of the release, named by its register, carries the marker.
bool is_marked_forgotten(const OperatorActionsByKey& actions, const std::string& release_key);

class ForgottenReleases {
 public:
  /// The references have to outlive the object.
  /// @param bound  of the fleet
  ForgottenReleases(consensus::RegisterClient& registers, membership::Leadership& leadership, Duration bound);

  /// Records since when each forgotten release has carried the marker.
  /// @return the releases, as kind/name, whose marker every leader must know by now
  std::set<std::string> update(TimePoint now, const pb::RolloutState& state,
                               const OperatorActionsByKey& actions);

  /// Writes the marker of one release that lacks it; later calls continue with the others. Idempotent.
  void mark_next(const pb::RolloutState& state, const OperatorActionsByKey& actions);

 private:
  void mark(const std::string& path);

  consensus::RegisterClient& registers_;
  membership::Leadership& leadership_;
  Duration bound_;
  std::map<std::string, TimePoint> marked_since_;  ///< by kind/name: when this node first saw the marker
};

}  // namespace dunlinwing::rollout
