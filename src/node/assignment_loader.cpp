#include "node/assignment_loader.hpp"

#include "base/log.hpp"
#include "config/release.hpp"

namespace dunlinwing::node {
namespace {
constexpr base::Log logger("relay");

using Configuration = std::shared_ptr<const config::RoutingConfiguration>;
/// A configuration, or why it can't be loaded.
using ConfigurationOrError = std::variant<Configuration, std::string>;

std::string assigned_release(const pb::NodeAssignment& assignment, const char* kind) {
  const auto found = assignment.releases().find(kind);
  return found == assignment.releases().end() ? std::string() : found->second;
}

/// Reads a release from its register; nothing when this node does not have it or can't parse it.
std::optional<config::Release> read_release(const char* kind, const std::string& name,
                                            const membership::ChosenValues& chosen) {
  const auto found = chosen.find(config::release_key(kind, name));
  if (found == chosen.end()) return {};
  auto parsed = config::parse_release(kind, name, found->second.data);
  if (auto* release = std::get_if<config::Release>(&parsed)) return std::move(*release);
  return {};
}

ConfigurationOrError read_configuration(const std::string& name, const membership::ChosenValues& chosen) {
  const auto found = chosen.find(config::release_key("layout", name));
  if (found == chosen.end()) return "the release is not known here";
  const auto release = config::parse_release("layout", name, found->second.data);
  if (const auto* errors = std::get_if<std::vector<base::ValidationError>>(&release))
    return errors->empty() ? "unreadable" : errors->front().pointer + " " + errors->front().message;
  const auto parsed = config::parse_routing_configuration(name, std::get<config::Release>(release).content);
  if (const auto* configuration = std::get_if<Configuration>(&parsed)) return *configuration;
  return "unreadable";
}

/// As read_configuration(), with `parsed` as a cache.
ConfigurationOrError find_configuration(const std::string& name, const membership::ChosenValues& chosen,
                                        ConfigurationMap& parsed) {
  if (const auto found = parsed.find(name); found != parsed.end()) return found->second;
  auto result = read_configuration(name, chosen);
  if (const auto* configuration = std::get_if<Configuration>(&result)) parsed[name] = *configuration;
  return result;
}

void set_log_level(const config::SystemOptions& options) {
  base::LogLevel level{};
  if (base::parse_log_level(options.log_level, level)) base::set_log_level(level);
}
}  // namespace

AssignmentLoader::AssignmentLoader(std::string node_name, config::SystemOptions defaults)
    : node_name_(std::move(node_name)), defaults_(std::move(defaults)) {}

RunningConfiguration AssignmentLoader::load(const pb::RolloutState& rollout,
                                            const membership::ChosenValues& chosen,
                                            const RunningConfiguration& previous) {
  RunningConfiguration running{previous.configuration, previous.system, previous.generation};
  const auto own = rollout.nodes().find(node_name_);
  load_assignment(own == rollout.nodes().end() ? pb::NodeAssignment() : own->second, chosen, running);
  load_numbered(chosen, previous.configuration_number, running);
  return running;
}

void AssignmentLoader::load_assignment(const pb::NodeAssignment& assignment,
                                       const membership::ChosenValues& chosen,
                                       RunningConfiguration& running) {
  if (assignment.generation() < generation_) return;
  const std::string configuration_release = assigned_release(assignment, "layout");
  Configuration configuration;
  if (!configuration_release.empty()) {
    const auto result = find_configuration(configuration_release, chosen, parsed_);
    if (const auto* error = std::get_if<std::string>(&result)) {
      load_error_ = "layout/" + configuration_release + ": " + *error;
      return;
    }
    configuration = std::get<Configuration>(result);
  }
  const std::string system_release = assigned_release(assignment, "system");
  const auto system = load_system_options(system_release, chosen, running.system);
  if (!system) {
    load_error_ = "system/" + system_release + ": not known or unreadable here";
    return;
  }
  load_error_.clear();
  if (assignment.generation() > generation_)
    logger.info("{}: switched to generation {} with configuration {}.", node_name_, assignment.generation(),
                configuration_release.empty() ? "(none)" : configuration_release);
  running = {configuration, *system, assignment.generation()};
  generation_ = assignment.generation();
  running_releases_.clear();
  for (const auto& [kind, release] : assignment.releases())
    if (kind != "software") running_releases_[kind] = release;
  update_pending_software(assigned_release(assignment, "software"), chosen);
  if (!system_release.empty()) set_log_level(*system);
}

std::optional<config::SystemOptions> AssignmentLoader::load_system_options(
    const std::string& release, const membership::ChosenValues& chosen,
    const config::SystemOptions& previous) {
  const auto running = running_releases_.find("system");
  // Releases are immutable, so the running one need not be read again.
  if (running != running_releases_.end() && running->second == release) return previous;
  if (release.empty()) return defaults_;
  const auto parsed = read_release("system", release, chosen);
  if (!parsed) return {};
  return config::parse_system_options(parsed->content, defaults_);
}

void AssignmentLoader::load_numbered(const membership::ChosenValues& chosen, uint64_t previous_number,
                                     RunningConfiguration& running) {
  const config::ActiveConfiguration& active = numbered_configuration_.read(chosen);
  if (active.number == 0) return;
  if (active.number > previous_number)
    logger.info("{}: switched to numbered configuration {}.", node_name_, active.number);
  running.configuration_number = running.generation = active.number;
  running.configuration = active.configuration;
  load_error_ =
      active.configuration ? "" : config::numbered_configuration_name(active.number) + ": unreadable";
}

// The assigned software runs on this node when its version is that of this executable.
void AssignmentLoader::update_pending_software(const std::string& release,
                                               const membership::ChosenValues& chosen) {
  const std::string previous = pending_software_ ? pending_software_->name : std::string();
  pending_software_.reset();
  if (release.empty()) {
    software_error_.clear();
    return;
  }
  for (const auto& [sha256, target] : software::recorded_software(chosen))
    if (target.name == release) pending_software_ = target;
  if (pending_software_ && pending_software_->version == kSoftwareVersion) {
    running_releases_["software"] = release;
    pending_software_.reset();
  }
  if (!pending_software_ || pending_software_->name != previous) software_error_.clear();
}

ConfigurationMap AssignmentLoader::assigned_configurations(const pb::RolloutState& rollout,
                                                           const membership::ChosenValues& chosen) {
  ConfigurationMap assigned;
  for (const auto& [node, assignment] : rollout.nodes()) {
    const std::string release = assigned_release(assignment, "layout");
    if (release.empty()) continue;
    const auto result = find_configuration(release, chosen, parsed_);
    if (const auto* configuration = std::get_if<Configuration>(&result)) assigned[release] = *configuration;
  }
  parsed_ = assigned;
  return assigned;
}

bool AssignmentLoader::set_software_error(const std::string& error) {
  if (software_error_ == error) return false;
  software_error_ = error;
  return true;
}

}  // namespace dunlinwing::node
