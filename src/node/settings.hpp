/// @file
/// A node's settings: one JSON file, each value checked, each error named by its place before anything is
/// started. The keys are described in docs/settings.md.
#pragma once
#include "base/json.hpp"
#include "node/node.hpp"

namespace dunlinwing::node {

/// What the settings file says, with the defaults of what it leaves out. Addresses are IP:port.
struct Settings {
  NodeConfig node;
  std::string client_address;      ///< for requests of clients; empty: none are taken
  std::string control_address;     ///< for the control API; empty: there is none
  std::string readiness_address;   ///< for the platform's question whether this node is ready; empty: none
  std::string data_directory;      ///< of the replica's state; empty: this machine stores none
  std::string release_directory;   ///< of staged software; empty: this machine can stage none
  std::string log_level = "info";  ///< debug, info, warn or error
  std::string protocol_adapter = "own";  ///< "own" or "platform": the terms that others are spoken to in
  int threads = 2;                       ///< of the process; the first is for control
  Duration heartbeat_period{0};  ///< of backend instances whose heartbeats do not state it; 0: not stated
  Duration grace{
      0};  ///< from the signal to stop until the process must have ended; 0: follows from the bound
  int max_sockets = 0;         ///< that this process may have open at once; 0: not stated
  double memory_mb = 0;        ///< of the machine, for this process, in MiB; 0: not stated
  size_t log_bytes = 4 << 20;  ///< of the replica's log, until a snapshot takes its place
};

using SettingsResult = std::variant<Settings, std::vector<base::ValidationError>>;

/// @return the settings, or all errors found in them
[[nodiscard]] SettingsResult parse_settings(std::string_view text);

/// The JSON schema of a settings file.
std::string_view settings_schema();

}  // namespace dunlinwing::node
