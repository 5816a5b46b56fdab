/// @file
/// Parses the addresses in settings, heartbeats and the control API.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace dunlinwing::net {

struct Address {
  std::string ip;  ///< IPv4 or IPv6, without brackets
  uint16_t port = 0;
};

/// Parses `IP:port`; returns nullopt for any other text.
[[nodiscard]] std::optional<Address> parse_address(const std::string& text);

}  // namespace dunlinwing::net
