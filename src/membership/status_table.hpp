/// @file
/// What nodes know of each other: for each source its latest status, with its version and its age. Replicas
/// hold it for those who pull; pullers merge what they get. A node is a member while its status is younger
/// than a session. Does no I/O. Used by the thread that runs control only.
#pragma once
#include <set>

#include "base/common.hpp"
#include "wire.pb.h"

namespace dunlinwing::membership {

/// How many heartbeats a backend instance may miss before it counts as gone.
inline constexpr int kMissedHeartbeats = 3;

/// A node, from its latest status.
struct Member {
  std::string name;
  pb::NodeInfo info;
  Duration age{0};  ///< since the node stated it
};

/// A backend instance, from the latest of its heartbeats that any node reports.
struct BackendInstanceStatus {
  pb::Heartbeat heartbeat;
  Duration age{0};    ///< since the instance sent it
  bool gone = false;  ///< it has announced its end, or heartbeats are missing
};

/// The latest version of a status that a node knows, by its source.
using KnownVersions = google::protobuf::Map<std::string, pb::StatusVersion>;

/// Whether `version` is later than `other`. Versions are pairs of incarnation and count, so that a source
/// that was restarted, and counts from one again, is never taken for its older self.
[[nodiscard]] bool is_newer(const pb::StatusVersion& version, const pb::StatusVersion& other);

/// The statuses that this node knows.
class StatusTable {
 public:
  /// @param session  how long a status makes its source a member
  explicit StatusTable(Duration session) : session_(session) {}

  /// Takes a status that is later than the one known from its source.
  /// @return false when it is not
  bool merge(const pb::NodeStatus& status, TimePoint now);

  /// The statuses that a node lacks which knows those in `known`, each with its age.
  std::vector<pb::NodeStatus> since(const KnownVersions& known, TimePoint now) const;

  /// The versions of all statuses here, for a pull.
  KnownVersions known_versions() const;

  /// The highest version of a source's status that is known here, or that a requester stated it knows.
  std::optional<pb::StatusVersion> known_version(const std::string& source) const;

  /// Notes what a requester knows, where it is later than what is known here.
  void note_known_versions(const KnownVersions& known_to_requester, TimePoint now);

  /// The nodes whose session stands and that have not announced their end.
  std::vector<Member> members(TimePoint now) const;

  /// Every node of which a status is remembered, however old.
  std::vector<Member> all(TimePoint now) const;

  /// Every backend instance that any remembered status reports, by its name.
  std::map<std::string, BackendInstanceStatus> backend_instances(TimePoint now) const;

  /// The statuses younger than a session, by source; also of nodes that announced their end.
  std::map<std::string, pb::NodeStatus> latest(TimePoint now) const;

  /// States the instances whose announced end is recorded, in place of those stated before.
  void set_deregistered(std::set<std::string> instances) { deregistered_ = std::move(instances); }

  /// Of how many sources a status is remembered.
  size_t size() const { return entries_.size(); }

  /// Drops what is older than twenty sessions.
  void forget(TimePoint now);

 private:
  struct Entry {
    pb::NodeStatus status;
    TimePoint stated_at{0};  ///< when the source stated it, by this node's clock
  };
  struct RequesterVersion {
    pb::StatusVersion version;
    TimePoint noted_at{0};  ///< when a requester last stated it
  };

  Duration session_;
  std::map<std::string, Entry> entries_;                        ///< by source
  std::map<std::string, RequesterVersion> requester_versions_;  ///< by source; later than what is known here
  std::set<std::string> deregistered_;                          ///< instances whose announced end is recorded
};

}  // namespace dunlinwing::membership
