// Where requests wait for a place among those under way: one bounded waitlist
// a service, so that one service's crowd does not starve another.
#pragma once
#include <deque>
#include <mutex>

#include "base/ports.hpp"

namespace dunlinwing::proxy {

enum class AdmissionResult { admitted, queue_full, too_late };

class AdmissionQueues {
 public:
  explicit AdmissionQueues(base::Ports& ports) : ports_(ports) {}
  AdmissionResult admit(const std::string& service, int inflight, int longest, TimePoint start_by);
  void release(const std::string& service, Duration took);
  // How long it will be until those now waiting have had their places.
  Duration drain_time(const std::string& service);
  std::pair<int, int> load(const std::string& service);  // running, waiting
  int running_requests();

 private:
  struct Waiter {
    std::shared_ptr<base::Condition> condition;
    bool admitted = false, abandoned = false;
  };
  struct Queue {
    int running = 0, limit = 1;
    double latency_ms = 0;  // of late, smoothed
    std::deque<std::shared_ptr<Waiter>> waiters;
  };
  base::Ports& ports_;
  std::mutex mutex_;
  std::map<std::string, Queue> queues_;
};

}  // namespace dunlinwing::proxy
