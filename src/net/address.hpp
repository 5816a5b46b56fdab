/// @file
/// Addresses as settings, heartbeats and the control API state them.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace dunlinwing::net {

struct Address {
  std::string ip;  ///< IPv4 or IPv6, without brackets
  uint16_t port = 0;
};

/// Reads `IP:port`; nothing when the text is anything else.
[[nodiscard]] std::optional<Address> split_address(const std::string& text);

}  // namespace dunlinwing::net
