// What all relays together have seen of a version on trial and of the one in place,
// by route: in the whole trial, and since its workers are warm. Each node adds it up
// from the statuses by itself, over restarts of their sources; nothing of it is recorded.
#pragma once
#include "base/common.hpp"
#include "wire.pb.h"

namespace dunlinwing::traffic {

struct Tally {
  uint64_t good = 0, bad = 0, slow = 0, took_ms = 0;
  uint64_t all() const { return good + bad; }
  uint64_t poor() const { return bad + slow; }  // failed, or far slower than usual
  double rate() const { return all() ? static_cast<double>(poor()) / static_cast<double>(all()) : 0; }
  double mean() const { return all() ? static_cast<double>(took_ms) / static_cast<double>(all()) : 0; }
  Tally& operator+=(const Tally& o);
};
using ByRoute = std::map<std::string, Tally>;
Tally sum(const ByRoute& r);

struct Seen {
  ByRoute trial, old;            // since the trial began
  ByRoute warm_trial, warm_old;  // since its workers were warm
  ByRoute switched;              // by the version on trial since its switch, when it has all the load
};

class Docket {
 public:
  using States = std::map<std::string, pb::ServiceState>;
  // `warm`: services whose trial has warm workers now.
  void hear(const States& states, const std::map<std::string, pb::NodeStatus>& statuses,
            const std::set<std::string>& warm = {});
  const Seen& at(const std::string& service) const;

 private:
  struct Case {
    uint64_t number = 0;
    bool warm = false;
    Seen seen;
  };
  std::map<std::string, Case> cases_;
  // By source: its incarnation, and its rows as last heard.
  std::map<std::string, std::pair<uint64_t, std::map<std::vector<std::string>, Tally>>> last_;
  bool began_ = false;
};

// Whether the trial is so plainly worse, as a whole or on some route, that nothing more need be seen.
bool plainly_worse(const Seen& s);
// What on some route is worse, with evidence enough to end the trial. Empty: nothing.
std::string worse(const Seen& s);
// Whether there is more evidence than a verdict needs.
bool ample(const Seen& s);
// What speaks against promotion yet, or for good: too little evidence on a route, more
// failures or slower answers than of the version in place. Empty: nothing does.
std::string objection(const Seen& s);
/// What, seen in the switch, ends it on a route too rare for `worse`. Empty: nothing.
std::string refuted(const Seen& s);

}  // namespace dunlinwing::traffic
