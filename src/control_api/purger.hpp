// Purges: those that come together are written together, and a service's list
// stays bounded because old purges are folded into wider ones.
#pragma once
#include "consensus/register_client.hpp"

namespace dunlinwing::control_api {

enum class PurgeError { no_majority, fate_unknown };
struct PurgeDone {
  uint64_t number = 0;
  bool known = false;  // a purge of this name was there already
  bool clash = false;  // and it was another purge
};

// Adds to the set; pure.
PurgeDone add_purge(pb::PurgeSet& s, const pb::Purge& p);

class Purger {
 public:
  Purger(base::Ports& ps, consensus::RegisterClient& b);
  ~Purger();
  std::variant<PurgeDone, PurgeError> put(const std::string& service, const pb::Purge& p);

 private:
  struct Impl;
  std::shared_ptr<Impl> p_;
};

}  // namespace dunlinwing::control_api
