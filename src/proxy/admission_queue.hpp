/// @file
/// Admission control: per service, this node bounds the number of concurrent requests and the length of the
/// queue of waiting requests, so that overload of one service does not starve another.
///
/// Invariants: the queue is FIFO. A request is rejected at once if the queue is expected to delay it beyond
/// its start deadline, and is rejected while waiting when its start deadline passes.
/// Threads: every function may be called from any fiber; admit() may suspend it, without holding the lock.
#pragma once
#include <deque>
#include <mutex>

#include "base/ports.hpp"

namespace dunlinwing::proxy {

enum class AdmissionResult {
  admitted,
  queue_full,
  too_late,   ///< the request could not start by its start deadline
  cancelled,  ///< the client has disconnected
};

/// The number of a service's requests on this node.
struct ServiceLoad {
  int running = 0;
  int waiting = 0;
};

class AdmissionQueues {
 public:
  explicit AdmissionQueues(base::Ports& ports) : ports_(ports) {}

  /// Waits until the request may run. The caller must call release() for each admitted request.
  /// @param max_running  limit of the service's concurrent requests
  /// @param max_waiting  limit of the service's waiting requests
  /// @param start_by     the start deadline
  /// @param cancellation of the request; ends the wait
  [[nodiscard]] AdmissionResult admit(const std::string& service, int max_running, int max_waiting,
                                      TimePoint start_by, const base::CancellationPtr& cancellation = {});

  /// Ends an admitted request and admits waiting requests.
  /// @param latency  how long the request ran
  void release(const std::string& service, Duration latency);

  /// The estimated time until all requests that wait now have started, from the recent latency.
  Duration drain_time(const std::string& service);

  ServiceLoad load(const std::string& service);

  /// The number of requests of all services, running or waiting.
  int running_requests();

 private:
  struct Waiter {
    std::shared_ptr<base::Condition> condition;
    bool admitted = false;
  };
  struct Queue {
    int running = 0;
    int limit = 1;          // of concurrent requests, as last passed to admit()
    double latency_ms = 0;  // exponentially weighted mean
    std::deque<std::shared_ptr<Waiter>> waiters;

    // The estimated wait of one more request, in milliseconds.
    [[nodiscard]] double drain_ms() const;
  };

  AdmissionResult await_admission(const std::string& service, const std::shared_ptr<Waiter>& waiter,
                                  TimePoint start_by, const base::CancellationPtr& cancellation);

  base::Ports& ports_;
  std::mutex mutex_;
  std::map<std::string, Queue> queues_;  // by service; guarded by mutex_
};

/// Releases an admitted request at the end of the scope.
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
