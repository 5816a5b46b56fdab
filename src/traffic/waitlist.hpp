// Where requests wait for a place among those under way: one bounded waitlist
// a service, so that one service's crowd does not starve another.
#pragma once
#include <deque>
#include <mutex>

#include "base/ports.hpp"

namespace dunlinwing::traffic {

enum class Entry { in, full, too_late };

class Waitlists {
 public:
  explicit Waitlists(base::Ports& ps) : ps_(ps) {}
  Entry enter(const std::string& service, int inflight, int longest, TimePoint start_by);
  void leave(const std::string& service, Duration took);
  // How long it will be until those now waiting have had their places.
  Duration drained_in(const std::string& service);
  std::pair<int, int> load(const std::string& service);  // running, waiting
  int running();

 private:
  struct Waiter {
    std::shared_ptr<base::Condition> condition;
    bool in = false, gone = false;
  };
  struct List {
    int running = 0, limit = 1;
    double took_ms = 0;  // of late, smoothed
    std::deque<std::shared_ptr<Waiter>> waits;
  };
  base::Ports& ps_;
  std::mutex m_;
  std::map<std::string, List> by_;
};

}  // namespace dunlinwing::traffic
