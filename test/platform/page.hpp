// A configuration of the simulated operator, and its text in the platform's format.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "base/common.hpp"

namespace dunlinwing::test {

struct OperatorRoute {
  std::string name, host, prefix, kind;  // kind: idempotent, non_idempotent, cacheable
  double timeout_s = 1.5, latency_target_s = 0.2, cache_ttl_s = 0;
  int priority = 1, attempts = 2;
  std::vector<std::pair<std::string, double>> weighted_services;
};

struct Backend {
  std::string name;
  int connections = 130;
  double rate = 0;
};

struct OperatorConfiguration {
  uint64_t revision = 0;
  std::vector<OperatorRoute> routes;
  std::vector<Backend> backends;
  std::string text() const;
  const OperatorRoute* match(const std::string& host, const std::string& target) const;
  bool routes_to(const std::string& host, const std::string& target, const std::string& service) const;
};

// The first configuration of a scenario, and one with a single change: a route added, removed or sent to
// another service, a changed split or timeout.
OperatorConfiguration first_configuration(double rate = 0);
OperatorConfiguration next_configuration(const OperatorConfiguration& configuration, uint64_t revision,
                                         uint64_t dice);

// Invalid configurations that must be rejected: a name, and the text, with the number `revision`.
std::vector<std::pair<std::string, std::string>> invalid_texts(const OperatorConfiguration& configuration,
                                                               uint64_t revision);

}  // namespace dunlinwing::test
