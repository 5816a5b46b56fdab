// Which requests a version on trial gets, and which of its workers get them. The share
// is kept by exact count at each relay, so that it holds over the fleet.
#pragma once
#include <mutex>
#include <optional>

#include "canary/canary_share.hpp"
#include "proxy/routing_snapshot.hpp"

namespace dunlinwing::proxy {

class CanaryAdmission {
 public:
  // The workers among which a granted request is placed; none when it is not granted.
  // Once what had been saved for warm workers is spent, each warm worker is asked in turn.
  std::vector<membership::BackendInstance> admit(const RoutingSnapshot& snapshot, const std::string& service,
                                                 const std::string& version, const std::string& route);

  // The bare share: the n-th trial request needs n times the full share before, but for
  // `ahead`, which is given once. Below its share no more than `spend` is used, and the
  // rest saved. Routes that had few trial requests come first; others take what they leave.
  struct ShareParameters {
    int earn = 0, spend = 0, initial_credit = 0;
  };
  bool admit(const std::string& service, uint64_t number, const std::string& version,
             const std::string& route, ShareParameters p);

 private:
  struct Share {
    uint64_t number = 0;
    std::string version;
    int64_t earned = 0, reserved = 0;  // hundredths of a request, not yet spent
    bool initial_credit_given = false;
    bool burst_over = false;  // what was saved for warm workers is spent
    uint64_t turn = 0;        // of the next worker, once the burst is over
    std::map<std::string, uint64_t> requests_by_route;
  };
  std::optional<uint64_t> next_turn(const std::string& service, int rank);  // empty: still in the burst
  std::mutex mutex_;
  std::map<std::string, Share> shares_;
};

}  // namespace dunlinwing::proxy
