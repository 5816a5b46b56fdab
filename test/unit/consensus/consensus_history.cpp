// Checks of a history. Each is made as soon as a call returns.
#include "unit/consensus/consensus_history.hpp"

#include <fmt/format.h>

namespace dunlinwing::test {
namespace {

constexpr char kOver = '<';  // separates a value's name from the name of the previous value

std::string own_name(const std::string& data) { return data.substr(0, data.find(kOver)); }
std::string previous_name(const std::string& data) {
  auto over = data.find(kOver);
  return over == std::string::npos ? "" : data.substr(over + 1);
}

}  // namespace

uint64_t History::latest_version(const std::string& register_name) const {
  auto found = registers_.find(register_name);
  return found == registers_.end() ? 0 : found->second.latest_version;
}

std::string History::successor(const std::string& writer, const consensus::VersionedValue& previous) {
  return fmt::format("{}#{}{}{}", writer, ++written_, kOver, own_name(previous.data));
}

void History::observe(TimePoint now, const Observation& observation, const consensus::VersionedValue& value) {
  auto& observed = registers_[observation.register_name];
  auto what = fmt::format("{}: {} of {} returned version {}, {}", observation.node, observation.call,
                          observation.register_name, value.version, value.data);
  note(now, what);
  if (value.version < observation.latest_version)
    add_violation(fmt::format("{}, but version {} was returned before the call began", what,
                              observation.latest_version));
  auto [known, first] = observed.values.emplace(value.version, value.data);
  if (!first && known->second != value.data)
    add_violation(fmt::format("{}, but an earlier call returned that version as {}", what, known->second));
  check_chain(observed, value.version);
  check_chain(observed, value.version + 1);
  observed.latest_version = std::max(observed.latest_version, value.version);
}

// Checks that the value of a version names the value of the previous version, if both were returned.
void History::check_chain(const Register& observed, uint64_t version) {
  if (version == 0) return;
  auto value = observed.values.find(version), previous = observed.values.find(version - 1);
  if (value == observed.values.end()) return;
  bool previous_known = version == 1 || previous != observed.values.end();
  auto name = version == 1 ? "" : previous_known ? own_name(previous->second) : "";
  if (previous_known && previous_name(value->second) != name)
    add_violation(
        fmt::format("version {} is {}, but the previous version is {}", version, value->second, name));
}

void History::note(TimePoint now, const std::string& line) {
  lines_.push_back(fmt::format("{} {}", now.count(), line));
}

void History::add_violation(const std::string& what) {
  violations_.push_back(what);
  lines_.push_back("VIOLATED: " + what);
}

std::string History::report() const {
  std::string all;
  for (auto& line : lines_) all += line + "\n";
  for (auto& what : violations_) all += "violated: " + what + "\n";
  return all;
}

}  // namespace dunlinwing::test
