/// @file
/// The status that a node reports of itself: when it is sent, and under which version. Versions continue
/// above those under which other nodes knew this node before a restart, since they reject lower ones.
///
/// Does no I/O. Used by the control thread only.
#pragma once
#include "membership/status_table.hpp"

namespace dunlinwing::membership {

class OwnStatus {
 public:
  /// @param longest_interval  between two statuses, even if nothing urgent has changed
  /// @param fill              fills in the status, except its source and version
  OwnStatus(std::string node_name, Duration longest_interval, std::function<void(pb::NodeStatus&)> fill)
      : node_name_(std::move(node_name)), longest_interval_(longest_interval), fill_(std::move(fill)) {}

  /// The status to send now; nothing if it is not due and nothing urgent has changed.
  std::optional<pb::NodeStatus> next(TimePoint now);

  /// Sets the incarnation above the latest version under which this node was known before.
  void begin_after(const std::optional<pb::StatusVersion>& latest);

  /// Handles other nodes having a later status of this node than its own: one from before its restart that no
  /// replica had when it started.
  void raise_above(const pb::StatusVersion& known);

  /// 0: not known yet, and no status is sent.
  uint64_t incarnation() const { return incarnation_; }

 private:
  const std::string node_name_;
  const Duration longest_interval_;
  const std::function<void(pb::NodeStatus&)> fill_;
  uint64_t incarnation_ = 0;  ///< see incarnation()
  uint64_t count_ = 0;        ///< number of statuses sent under this incarnation
  TimePoint sent_at_{0};      ///< of the latest one
  std::string urgent_part_;   ///< of that status
};

}  // namespace dunlinwing::membership
