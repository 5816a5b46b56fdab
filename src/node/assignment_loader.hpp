/// @file
/// Determines which configuration, system options and software this node runs: loads what the rollout assigns
/// to it, or the numbered configuration if there is one.
///
/// Invariants: an assignment is loaded completely or not at all; if loading fails, the previous one stays
/// active and the error is reported. The generation never decreases.
/// Threads: used by the control thread only, except for generation().
#pragma once
#include <atomic>

#include "config/numbered_configuration.hpp"
#include "config/system_options.hpp"
#include "software/artifacts.hpp"

namespace dunlinwing::node {

/// Configurations by the name of their release.
using ConfigurationMap = std::map<std::string, std::shared_ptr<const config::RoutingConfiguration>>;

/// The configuration and options that are active on this node.
struct RunningConfiguration {
  std::shared_ptr<const config::RoutingConfiguration> configuration;  ///< null: none yet
  config::SystemOptions system;
  uint64_t generation = 0;            ///< of the assignment, or the number of the numbered configuration
  uint64_t configuration_number = 0;  ///< of the numbered configuration; 0: releases supply the configuration
};

class AssignmentLoader {
 public:
  /// @param defaults  system options that apply while no system release is assigned
  AssignmentLoader(std::string node_name, config::SystemOptions defaults);

  /// Loads what the chosen values assign to this node, and applies the log level of the system options.
  /// @param previous  what has been active so far; kept where the assignment can't be loaded
  RunningConfiguration load(const pb::RolloutState& rollout, const membership::ChosenValues& chosen,
                            const RunningConfiguration& previous);

  /// The readable configurations that are assigned to any node. Drops all others from memory.
  ConfigurationMap assigned_configurations(const pb::RolloutState& rollout,
                                           const membership::ChosenValues& chosen);

  /// The releases that run on this node, by kind.
  const std::map<std::string, std::string>& running_releases() const { return running_releases_; }

  /// The generation of the latest loaded assignment. May be called from any thread.
  uint64_t generation() const { return generation_; }

  /// Why the assigned releases do not run on this node; empty when they do.
  const std::string& error() const { return load_error_.empty() ? software_error_ : load_error_; }

  /// The software that is assigned to this node but does not run on it.
  const std::optional<software::SoftwareRelease>& pending_software() const { return pending_software_; }

  /// Sets why the assigned software can't be loaded; empty: no error.
  /// @return whether the error has changed
  bool set_software_error(const std::string& error);

 private:
  void load_assignment(const pb::NodeAssignment& assignment, const membership::ChosenValues& chosen,
                       RunningConfiguration& running);
  std::optional<config::SystemOptions> load_system_options(const std::string& release,
                                                           const membership::ChosenValues& chosen,
                                                           const config::SystemOptions& previous);
  void load_numbered(const membership::ChosenValues& chosen, uint64_t previous_number,
                     RunningConfiguration& running);
  void update_pending_software(const std::string& release, const membership::ChosenValues& chosen);

  std::string node_name_;
  config::SystemOptions defaults_;
  config::NumberedConfigurationReader numbered_configuration_;
  ConfigurationMap parsed_;                              ///< cache, to avoid parsing again at each pull
  std::map<std::string, std::string> running_releases_;  ///< by kind
  std::atomic<uint64_t> generation_{0};
  std::string load_error_;      ///< of the configuration or the system options
  std::string software_error_;  ///< of the assigned software
  std::optional<software::SoftwareRelease> pending_software_;
};

}  // namespace dunlinwing::node
