/// @file
/// Read-modify-writes of registers by one node. Updates of a register that arrive while another one is being
/// written wait and are written together, so that a node never competes with itself and its throughput grows
/// with the number of waiting updates.
///
/// Invariants: at most one proposal of this node for a register is under way; an update returns only after a
/// quorum has accepted a value that includes it, or confirmed the value that made it unnecessary.
/// Threads: used by the fibers of the control thread only; update() suspends the calling fiber.
#pragma once
#include "consensus/register_client.hpp"

namespace dunlinwing::consensus {

/// A change of one register's value.
struct RegisterUpdate {
  /// Returns the data that replaces the value, or nothing when the value stays as it is. Called for each
  /// attempt, and only the last call counts. It must not update registers itself.
  std::function<std::optional<std::string>(const VersionedValue& current)> apply;
  /// No attempt begins after this time, except the first one of an update that did not wait.
  TimePoint deadline{0};
  /// Whether other updates may be written under the same version. False for an update with a precondition on
  /// the version, since a version may then stand for one update only.
  bool may_share_version = true;
};

enum class UpdateError {
  no_majority,      ///< nothing was written
  outcome_unknown,  ///< the update may or may not have been written
  out_of_time,      ///< the deadline passed while other writes came first; nothing was written
};

/// The value in force that includes the update, or that made it unnecessary.
using UpdateResult = std::variant<VersionedValue, UpdateError>;

/// Sums over all updates since the start.
struct UpdateTotals {
  uint64_t updates = 0;
  uint64_t batches = 0;    ///< of updates that were attempted together
  uint64_t conflicts = 0;  ///< attempts that lost to another node's write
  Duration waited{0};      ///< until the update's batch began
};

class RegisterUpdater {
 public:
  /// Both references outlive the updater and its fibers.
  RegisterUpdater(base::Ports& ports, RegisterClient& registers);
  /// An updater that proposes nothing: every update fails at once, without a majority.
  explicit RegisterUpdater(std::nullptr_t);
  ~RegisterUpdater();

  /// @param name  of the register
  [[nodiscard]] UpdateResult update(const std::string& name, const RegisterUpdate& update);

  UpdateTotals totals() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;  ///< shared with the fibers that write; null: proposes nothing
};

}  // namespace dunlinwing::consensus
