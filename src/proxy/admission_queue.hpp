/// @file
/// Admission control: each service has a bound of requests that run at once on this node and a bounded
/// queue of those that wait, so that a crowd at one service does not starve another.
///
/// Invariants: first come, first served. A request that could not run by its start deadline behind those
/// that wait is rejected at once; one that has waited until then is rejected then.
/// Threads: every function may be called from any fiber; admit() may suspend it, without holding the lock.
#pragma once
#include <deque>
#include <mutex>

#include "base/ports.hpp"

namespace dunlinwing::proxy {

enum class AdmissionResult {
  admitted,
  queue_full,
  too_late,   ///< it could not run by its start deadline
  cancelled,  ///< its client has left
};

/// How many requests a service has on this node.
struct ServiceLoad {
  int running = 0;
  int waiting = 0;
};

class AdmissionQueues {
 public:
  explicit AdmissionQueues(base::Ports& ports) : ports_(ports) {}

  /// Waits until the request may run. Whoever is admitted has to release().
  /// @param max_running  requests of the service that may run at once
  /// @param max_waiting  requests of the service that may wait at once
  /// @param start_by     after which running it makes no more sense
  /// @param cancellation of the request; ends the waiting
  [[nodiscard]] AdmissionResult admit(const std::string& service, int max_running, int max_waiting,
                                      TimePoint start_by, const base::CancellationPtr& cancellation = {});

  /// Ends a request that was admitted, and admits those who wait.
  /// @param latency  how long it ran
  void release(const std::string& service, Duration latency);

  /// How long it will take until all that wait now have begun, by the latency of late.
  Duration drain_time(const std::string& service);

  ServiceLoad load(const std::string& service);

  /// Requests of all services, running or waiting.
  int running_requests();

 private:
  struct Waiter {
    std::shared_ptr<base::Condition> condition;
    bool admitted = false;
  };
  struct Queue {
    int running = 0;
    int limit = 1;          // of those that run at once, as last given to admit()
    double latency_ms = 0;  // exponentially weighted mean
    std::deque<std::shared_ptr<Waiter>> waiters;

    // How long one more request would wait, in milliseconds.
    [[nodiscard]] double drain_ms() const;
  };

  AdmissionResult await_admission(const std::string& service, const std::shared_ptr<Waiter>& waiter,
                                  TimePoint start_by, const base::CancellationPtr& cancellation);

  base::Ports& ports_;
  std::mutex mutex_;
  std::map<std::string, Queue> queues_;  // by service; guarded by mutex_
};

/// Releases an admitted request at the end of its scope.
class AdmissionGuard {
 public:
  /// @param service  outlives the guard
  AdmissionGuard(AdmissionQueues& queues, base::Clock& clock, const std::string& service)
      : queues_(queues), clock_(clock), service_(service), admitted_at_(clock.now()) {}
  ~AdmissionGuard() { queues_.release(service_, clock_.now() - admitted_at_); }
  AdmissionGuard(const AdmissionGuard&) = delete;
  AdmissionGuard& operator=(const AdmissionGuard&) = delete;

 private:
  AdmissionQueues& queues_;
  base::Clock& clock_;
  const std::string& service_;
  TimePoint admitted_at_;
};

}  // namespace dunlinwing::proxy
