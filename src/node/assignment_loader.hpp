/// @file
/// Which configuration, system options and software this node runs: loads what the rollout assigns to it, or
/// the numbered configuration where there is one.
///
/// Invariants: an assignment is loaded entirely or not at all; where it can't be loaded, what ran before goes
/// on running and the error is reported. The generation never falls.
/// Threads: used by the control thread only, except for generation().
#pragma once
#include <atomic>

#include "config/numbered_configuration.hpp"
#include "config/system_options.hpp"
#include "software/artifacts.hpp"

namespace dunlinwing::node {

/// Configurations by the name of their release.
using ConfigurationMap = std::map<std::string, std::shared_ptr<const config::RoutingConfiguration>>;

/// What is in force on this node.
struct RunningConfiguration {
  std::shared_ptr<const config::RoutingConfiguration> configuration;  ///< null: none yet
  config::SystemOptions system;
  uint64_t generation = 0;            ///< of the assignment, or the number of the numbered configuration
  uint64_t configuration_number = 0;  ///< of the numbered configuration; 0: configurations come as releases
};

class AssignmentLoader {
 public:
  /// @param defaults  system options in force while no system release is
  AssignmentLoader(std::string node_name, config::SystemOptions defaults);

  /// Loads what the chosen values assign to this node, and sets the log level that the system options state.
  /// @param previous  what was in force until now, which stays where the assignment can't be loaded
  RunningConfiguration load(const pb::RolloutState& rollout, const membership::ChosenValues& chosen,
                            const RunningConfiguration& previous);

  /// The configurations that are assigned to any node and can be read. Others are dropped from memory.
  ConfigurationMap assigned_configurations(const pb::RolloutState& rollout,
                                           const membership::ChosenValues& chosen);

  /// The releases that run here, by kind.
  const std::map<std::string, std::string>& running_releases() const { return running_releases_; }

  /// Of the latest assignment loaded. From any thread.
  uint64_t generation() const { return generation_; }

  /// Why the assigned releases do not run here; empty when they do.
  const std::string& error() const { return load_error_.empty() ? software_error_ : load_error_; }

  /// The software that is assigned to this node and does not run here.
  const std::optional<software::SoftwareTarget>& wanted_software() const { return wanted_software_; }

  /// States why the assigned software can't be loaded; empty: nothing is known against it.
  /// @return whether that is news
  bool set_software_error(const std::string& error);

 private:
  void load_assignment(const pb::NodeAssignment& assignment, const membership::ChosenValues& chosen,
                       RunningConfiguration& running);
  std::optional<config::SystemOptions> load_system_options(const std::string& release,
                                                           const membership::ChosenValues& chosen,
                                                           const config::SystemOptions& previous);
  void load_numbered(const membership::ChosenValues& chosen, uint64_t previous_number,
                     RunningConfiguration& running);
  void update_wanted_software(const std::string& release, const membership::ChosenValues& chosen);

  std::string node_name_;
  config::SystemOptions defaults_;
  config::NumberedConfigurationReader numbered_configuration_;
  ConfigurationMap parsed_;                              ///< so that none is parsed again at each pull
  std::map<std::string, std::string> running_releases_;  ///< by kind
  std::atomic<uint64_t> generation_{0};
  std::string load_error_;      ///< of the configuration or the system options
  std::string software_error_;  ///< of the assigned software
  std::optional<software::SoftwareTarget> wanted_software_;
};

}  // namespace dunlinwing::node
