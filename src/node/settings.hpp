/// @file
/// A node's settings: one JSON file, validated before anything is started; each error is reported with its
/// JSON pointer. The keys are described in docs/settings.md.
#pragma once
#include "base/json.hpp"
#include "node/node.hpp"

namespace dunlinwing::node {

/// The values of the settings file, with defaults for omitted keys. Addresses are IP:port.
struct Settings {
  NodeConfig node;
  std::string client_address;            ///< for client requests; empty: no client listener
  std::string control_address;           ///< for the control API; empty: no control API
  std::string readiness_address;         ///< for the platform's readiness checks; empty: none
  std::string data_directory;            ///< of the replica's state; empty: this machine stores no state
  std::string release_directory;         ///< of staged software; empty: this machine can't stage any
  std::string log_level = "info";        ///< debug, info, warn or error
  std::string protocol_adapter = "own";  ///< "own" or "platform": the protocol conventions used
  int threads = 2;                       ///< of the process; the first one runs the control plane
  Duration heartbeat_period{0};          ///< of backend instances whose heartbeats omit it; 0: not configured
  Duration grace{0};  ///< from the stop signal until the process must have exited; 0: derived from the bound
  int max_sockets = 0;         ///< limit on open sockets of this process; 0: not configured
  double memory_mb = 0;        ///< available to this process, in MiB; 0: not configured
  size_t log_bytes = 4 << 20;  ///< size of the replica's log at which a snapshot replaces it
};

using SettingsResult = std::variant<Settings, std::vector<base::ValidationError>>;

/// @return the settings, or all errors found in them
[[nodiscard]] SettingsResult parse_settings(std::string_view text);

/// The JSON schema of a settings file.
std::string_view settings_schema();

}  // namespace dunlinwing::node
