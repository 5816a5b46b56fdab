/// @file
/// The mean latency of each route of each service, relative to which a request is refused when its response
/// would come too late. The routes of one service may differ by far, and a refused request is no sample: so
/// an estimate belongs to one route, and one without fresh samples lets a request through at times, whose
/// response renews it.
///
/// Threads: every function may be called from any thread; the one lock is a leaf.
#pragma once
#include <map>
#include <mutex>
#include <set>

#include "base/common.hpp"

namespace dunlinwing::proxy {

class RouteLatency {
 public:
  /// Adds a sample.
  void record(const std::string& service, const std::string& route, Duration latency, TimePoint now);

  /// What a request takes at an instance.
  /// @param at_instance   what requests of all routes take there
  /// @param of_service    the mean over all routes and instances; 0: unknown
  /// @return nothing when no estimate has a say and the request is to be tried: there is none yet, or the
  /// last
  ///         sample is older than kFreshTime and no request was let through within that time
  std::optional<Duration> estimate(const std::string& service, const std::string& route, Duration at_instance,
                                   Duration of_service, TimePoint now);

  /// Removes the estimates of all other routes.
  /// @param labels  of the routes in force
  void retain_routes(const std::set<std::string>& labels);

  static constexpr Duration kFreshTime{1000};

 private:
  struct Estimate {
    double mean_ms = 0;
    TimePoint sampled_at{0};
    TimePoint let_through_at{0};
  };
  using Key = std::pair<std::string, std::string>;  ///< service and route

  std::mutex mutex_;
  std::map<Key, Estimate> estimates_;  ///< guarded by mutex_
};

}  // namespace dunlinwing::proxy
