// The asking half of the registers: read and compare-and-set by name, over a
// majority of the holders. Any node can do it; none leads.
#pragma once
#include "base/ports.hpp"
#include "consensus/replica_set.hpp"

namespace dunlinwing::consensus {

struct VersionedValue {
  uint64_t version = 0;  // 0: nothing was ever written
  std::string data;
};
struct VersionConflict {
  VersionedValue now;
};
enum class RegisterError { no_majority, fate_unknown };

using ReadResult = std::variant<VersionedValue, RegisterError>;
using WriteResult = std::variant<VersionedValue, VersionConflict, RegisterError>;

class RegisterClient {
 public:
  RegisterClient(base::Ports& ps, std::string me, ReplicaSetView& set, Duration round, Local local);
  ~RegisterClient();
  ReadResult read(const std::string& name);
  WriteResult write(const std::string& name, uint64_t expect, const std::string& data);
  // Goes to a set that differs by one machine: the present set is made last at a
  // majority of itself, every register that `names` then tells of is finished under it, and only then
  // is the next set written.
  std::variant<pb::ReplicaSet, ReplicaSetError> change(
      const std::vector<Replica>& to, const std::function<std::optional<std::vector<std::string>>()>& names);
  size_t majority() const;
  const std::vector<Replica>& holders() const;
  ReplicaSetView& set();

 private:
  struct Impl;
  std::unique_ptr<Impl> p_;
};

}  // namespace dunlinwing::consensus
