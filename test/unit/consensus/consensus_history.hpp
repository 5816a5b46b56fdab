// Records the results that register clients received and checks that they are linearizable: no
// version has two values, each value replaced the previous one, and no call returns a version
// older than one that any call had returned before it began.
#pragma once
#include "consensus/register_client.hpp"

namespace dunlinwing::test {

// The call of a node. `latest_version`: the latest version that any call had returned when it began.
struct Observation {
  std::string node, call, register_name;
  uint64_t latest_version = 0;
};

class History {
 public:
  // The latest version of a register that any call has returned.
  uint64_t latest_version(const std::string& register_name) const;
  // A new value to replace `previous`; it contains the name of `previous`.
  std::string successor(const std::string& writer, const consensus::VersionedValue& previous);
  // Records the value that a call acknowledged or returned, and checks it.
  void observe(TimePoint now, const Observation& observation, const consensus::VersionedValue& value);
  void note(TimePoint now, const std::string& line);
  void add_violation(const std::string& what);
  const std::vector<std::string>& violations() const { return violations_; }
  // All noted lines, then the violations.
  std::string report() const;

 private:
  struct Register {
    std::map<uint64_t, std::string> values;  // by version
    uint64_t latest_version = 0;
  };
  void check_chain(const Register& observed, uint64_t version);

  std::map<std::string, Register> registers_;
  uint64_t written_ = 0;
  std::vector<std::string> lines_, violations_;
};

}  // namespace dunlinwing::test
