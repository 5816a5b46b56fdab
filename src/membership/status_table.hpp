/// @file
/// The latest status of each node, by its source, with its version and its age. Replicas serve the table to
/// nodes that pull; these merge the statuses they receive. A node is a member while its status is younger
/// than a session. Does no I/O. Used by the control thread only.
#pragma once
#include <set>

#include "base/common.hpp"
#include "wire.pb.h"

namespace dunlinwing::membership {

/// Number of heartbeats that a backend instance may miss before it is considered gone.
inline constexpr int kMissedHeartbeats = 3;

/// A node, as described by its latest status.
struct Member {
  std::string name;
  pb::NodeInfo info;
  Duration age{0};  ///< since the node reported the status
};

/// A backend instance, from the latest of its heartbeats that any node reports.
struct BackendInstanceStatus {
  pb::Heartbeat heartbeat;
  Duration age{0};    ///< since the instance sent it
  bool gone = false;  ///< it has announced its shutdown, or missed too many heartbeats
};

/// The latest status version that a node knows, by source.
using KnownVersions = google::protobuf::Map<std::string, pb::StatusVersion>;

/// Whether `version` is later than `other`. Versions are pairs of incarnation and count, so that statuses of
/// a restarted source, which counts from one again, are later than those from before the restart.
[[nodiscard]] bool is_newer(const pb::StatusVersion& version, const pb::StatusVersion& other);

/// The statuses that this node knows.
class StatusTable {
 public:
  /// @param session  how long a status keeps its source a member
  explicit StatusTable(Duration session) : session_(session) {}

  /// Stores a status if it is later than the known one of its source.
  /// @return false if it is not
  bool merge(const pb::NodeStatus& status, TimePoint now);

  /// The statuses missing at a node that knows the versions in `known`, each with its age.
  std::vector<pb::NodeStatus> since(const KnownVersions& known, TimePoint now) const;

  /// The versions of all statuses in this table, for a pull.
  KnownVersions known_versions() const;

  /// The highest version of a source's status that is in this table or that a requester reported to know.
  std::optional<pb::StatusVersion> known_version(const std::string& source) const;

  /// Records the versions that a requester knows, if they are later than those in this table.
  void record_requester_versions(const KnownVersions& known_to_requester, TimePoint now);

  /// The nodes whose session is alive and that have not announced their shutdown.
  std::vector<Member> members(TimePoint now) const;

  /// Whether the source's status is younger than `age` and does not announce its shutdown.
  bool is_member(const std::string& source, Duration age, TimePoint now) const;

  /// Every node with a status in this table, however old.
  std::vector<Member> all_nodes(TimePoint now) const;

  /// Every backend instance reported by any status in this table, by name.
  std::map<std::string, BackendInstanceStatus> backend_instances(TimePoint now) const;

  /// The statuses younger than a session, by source, with their ages, including those of nodes that announced
  /// their shutdown.
  std::map<std::string, pb::NodeStatus> live_statuses(TimePoint now) const;

  /// Replaces the set of instances whose announced shutdown is recorded.
  void set_deregistered(std::set<std::string> instances) { deregistered_ = std::move(instances); }

  /// Number of sources with a status in this table.
  size_t size() const { return entries_.size(); }

  /// Removes statuses and versions that are older than twenty sessions.
  void remove_expired(TimePoint now);

 private:
  struct Entry {
    pb::NodeStatus status;
    TimePoint reported_at{0};  ///< when the source reported it, by this node's clock
  };
  struct RequesterVersion {
    pb::StatusVersion version;
    TimePoint recorded_at{0};  ///< when a requester last reported it
  };

  Duration session_;
  std::map<std::string, Entry> entries_;                        ///< by source
  std::map<std::string, RequesterVersion> requester_versions_;  ///< by source; later than those in entries_
  std::set<std::string> deregistered_;  ///< instances whose announced shutdown is recorded
};

}  // namespace dunlinwing::membership
