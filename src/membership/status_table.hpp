// What nodes know of each other: for each source its latest status, with its version and
// its age. Replicas keep it for those who pull; pullers merge what they get. A node is a
// member while its status is young.
#pragma once
#include <set>

#include "base/common.hpp"
#include "wire.pb.h"

namespace dunlinwing::membership {

struct Member {
  std::string name;
  pb::NodeInfo info;
  Duration age{0};
};

struct BackendInstanceStatus {
  pb::Heartbeat heartbeat;
  Duration age{0};
  bool gone = false;  // leaving, or its beats are missing
};

class StatusTable {
 public:
  explicit StatusTable(Duration session) : session_(session) {}
  bool merge(const pb::NodeStatus& status, TimePoint now);  // false when what is known is as new
  std::vector<pb::NodeStatus> since(const google::protobuf::Map<std::string, pb::StatusVersion>& have,
                                    TimePoint now) const;
  google::protobuf::Map<std::string, pb::StatusVersion> known_versions() const;
  // The highest version of a source's status that is known, or that an asker said it knows.
  std::optional<pb::StatusVersion> known_version(const std::string& source) const;
  void note_known_versions(const google::protobuf::Map<std::string, pb::StatusVersion>& known_to_asker,
                           TimePoint now);
  std::vector<Member> members(TimePoint now) const;
  std::vector<Member> all(TimePoint now) const;
  std::map<std::string, BackendInstanceStatus> backend_instances(TimePoint now) const;
  std::map<std::string, pb::NodeStatus> latest(TimePoint now) const;  // sessions that stand
  void deregistered(std::set<std::string> instances) { departed_ = std::move(instances); }
  size_t size() const { return by_.size(); }
  void forget(TimePoint now);

 private:
  struct Entry {
    pb::NodeStatus statuses;
    TimePoint heard{0};  // when the source said it, on our clock
  };
  Duration session_;
  std::map<std::string, Entry> by_;
  struct Noted {
    pb::StatusVersion mark;
    TimePoint heard{0};
  };
  std::map<std::string, Noted> noted_;  // known to askers, and later than what is known here
  std::set<std::string> departed_;      // as recorded: workers whose word to leave was taken
};

bool newer(const pb::StatusVersion& a, const pb::StatusVersion& b);

// How many periods a worker may miss before it is taken for gone.
inline constexpr int kMissedHeartbeats = 3;

}  // namespace dunlinwing::membership
