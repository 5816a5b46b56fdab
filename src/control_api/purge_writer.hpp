// Purges: those that come together are written together, and a service's list
// stays bounded because old purges are folded into wider ones.
#pragma once
#include "consensus/register_client.hpp"

namespace dunlinwing::control_api {

enum class PurgeError { no_majority, outcome_unknown };
struct PurgeResult {
  uint64_t number = 0;
  bool known = false;     // a purge of this name was there already
  bool conflict = false;  // and it was another purge
};

// Adds to the set; pure.
PurgeResult add_purge(pb::PurgeSet& purges, const pb::Purge& purge);

class PurgeWriter {
 public:
  PurgeWriter(base::Ports& ports, consensus::RegisterClient& registers);
  ~PurgeWriter();
  std::variant<PurgeResult, PurgeError> put(const std::string& service, const pb::Purge& purge);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwing::control_api
