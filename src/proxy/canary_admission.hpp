/// @file
/// Decides which requests are sent to a service's canary, and to which of its instances. Each node counts its
/// own share exactly, so that the share over the fleet is exact too.
///
/// Each request earns a fraction of a canary request, and each canary request spends a whole one. After a
/// restart a node starts with nothing earned except its part of the initial credit.
/// Threads: every function may be called from any thread; the one lock is a leaf.
#pragma once
#include <mutex>
#include <optional>

#include "canary/canary_share.hpp"
#include "proxy/routing_snapshot.hpp"

namespace dunlinwing::proxy {

class CanaryAdmission {
 public:
  /// Counts a request when it is first sent to an instance of the service: it earns a fraction of a canary
  /// request. A request rejected because of its deadline or latency target is not sent and earns nothing.
  void record_request(const RoutingSnapshot& snapshot, const std::string& service);

  /// Decides on one request of the service, and counts it against the share.
  /// @param version  of the canary; empty: no canary
  /// @param route    the label of the request's route
  /// @return the instances to choose from; empty: the request is not sent to the canary. Once the initial
  ///         credit of a rollout with a deadline is spent, this is a single warm instance, in round-robin
  ///         order.
  std::vector<membership::BackendInstance> admit(const RoutingSnapshot& snapshot, const std::string& service,
                                                 const std::string& version, const std::string& route);

  /// The parameters of a share.
  struct ShareParameters {
    int percent = 0;         ///< of the service's requests
    int initial_credit = 0;  ///< canary requests that may be sent before they are earned; granted once
    bool is_warm = false;    ///< the canary's instances are warm: the initial credit is granted
  };

  /// The share alone: n canary requests must be earned before the n-th is admitted, except for the initial
  /// credit. Routes with the fewest canary requests have priority; the others use the remainder.
  /// @param number  of the rollout; a new number or version resets the count
  bool admit(const std::string& service, uint64_t number, const std::string& version,
             const std::string& route, ShareParameters parameters);

  /// Like record_request(), for the share alone.
  void earn(const std::string& service, uint64_t number, const std::string& version,
            ShareParameters parameters);

 private:
  struct Share {
    uint64_t number = 0;  // of the rollout
    std::string version;
    int64_t earned = 0;  // in hundredths of a request, not spent yet
    bool initial_credit_given = false;
    bool initial_credit_spent = false;
    uint64_t next_warm_instance = 0;  // round-robin counter, once the initial credit is spent
    std::map<std::string, uint64_t> requests_by_route;
  };
  static ShareParameters share_parameters(const RoutingSnapshot& snapshot, const std::string& service,
                                          const pb::ServiceState& state);
  Share& share_of(const std::string& service, uint64_t number, const std::string& version);
  std::optional<uint64_t> next_warm_instance(const std::string& service, int rank);

  std::mutex mutex_;
  std::map<std::string, Share> shares_;  // by service; guarded by mutex_
};

}  // namespace dunlinwing::proxy
