// What clients of the registers were told, and whether one linear history explains it: no version
// has two values, each value was written over the one before it, and nobody is shown a version
// older than one that anybody was shown before the call began.
#pragma once
#include "consensus/register_client.hpp"

namespace dunlinwing::test {

// Who was told something by which call; `floor`: the latest version told when the call began.
struct Observation {
  std::string node, call, register_name;
  uint64_t floor = 0;
};

class History {
 public:
  // The latest version of a register that anybody was told.
  uint64_t floor(const std::string& register_name) const;
  // A new value to be written over `previous`, which it names.
  std::string successor(const std::string& writer, const consensus::VersionedValue& previous);
  // The value that a call acknowledged or returned.
  void observe(TimePoint now, const Observation& observation, const consensus::VersionedValue& value);
  void note(TimePoint now, const std::string& line);
  void violated(const std::string& what);
  const std::vector<std::string>& violations() const { return violations_; }
  // The violations after all that was noted.
  std::string report() const;

 private:
  struct Register {
    std::map<uint64_t, std::string> values;  // by version
    uint64_t floor = 0;
  };
  void check_chain(const Register& observed, uint64_t version);

  std::map<std::string, Register> registers_;
  uint64_t written_ = 0;
  std::vector<std::string> lines_, violations_;
};

}  // namespace dunlinwing::test
