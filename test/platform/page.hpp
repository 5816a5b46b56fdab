// A configuration as the stand-in operator means it, and in the words it is put in.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "base/common.hpp"

namespace dunlinwing::test {

struct OperatorRoute {                   // a route
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

// The first configuration of a day; and one step on from it: a route added, dropped or
// led elsewhere, a split, a time-out.
OperatorConfiguration first_configuration(double rate = 0);
OperatorConfiguration next_configuration(const OperatorConfiguration& configuration, uint64_t revision,
                                         uint64_t dice);

// What must be turned away: its name, and the text, which would stand under `revision`.
std::vector<std::pair<std::string, std::string>> invalid_texts(const OperatorConfiguration& configuration,
                                                               uint64_t revision);

}  // namespace dunlinwing::test
