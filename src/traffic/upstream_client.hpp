// Getting one request run by a worker: waitlist, pace, place, shot, and the
// checks on what comes back. Says truthfully whether the request ran.
#pragma once
#include <atomic>

#include "base/ports.hpp"
#include "traffic/budget.hpp"
#include "traffic/load_balancer.hpp"
#include "traffic/trial.hpp"
#include "traffic/waitlist.hpp"

namespace dunlinwing::traffic {

struct Work {
  TablePtr table;
  std::shared_ptr<const Layout> layout;
  const Service* service = nullptr;
  const Route* route = nullptr;
  base::Request q;
  std::string host;  // part of a receipt's name when the route is bound to a host
  TimePoint arrived{0}, deadline{0};
  std::string relay;  // where it entered, and the assignment there
  uint64_t generation = 0;
  bool again = false;  // a repeat of something already sent: needs the budget
  Duration span() const { return deadline - arrived; }
  TimePoint start_by() const {
    return deadline - span() / 2;
  }                   // no first shot after it: told early, not late
  bool safe() const;  // may run more than once
};

// `overtaken`: a newer layout came in force before this shot could be made; the
// request is to be matched anew under it.
enum class Fate { answered, not_run, unknown, overtaken };

struct Fetched {
  Fate fate = Fate::not_run;
  base::Response receipt;
  std::string version, why;
  bool left = false;   // some byte of some shot may have reached a worker
  bool doubt = false;  // and not every worker that got one said that it did not run it
  Duration back{0};    // when it makes sense to come back, when turned away
};

struct VersionCount {
  uint64_t good = 0, bad = 0;
  uint64_t slow = 0, took_ms = 0;  // good answers far beyond the usual time; over all answers
};

struct CountKey {
  std::string service, version, route;
  auto operator<=>(const CountKey&) const = default;
};

class UpstreamClient {
 public:
  UpstreamClient(base::Ports& ps, const Face& face, std::string me, std::string zone,
                 std::function<bool()> fresh, std::function<TablePtr()> table);
  ~UpstreamClient();
  Fetched run(const Work& w);
  bool reaches(const Work& w, Duration limit);  // whether some worker would take a connection
  bool repeat_allowed(const Work& w);
  void sent(const std::string& service);  // a first send that earns repeats
  std::map<CountKey, VersionCount> counts() const;
  // Bad answers of each version on trial: by service, the trial's number and the count.
  std::map<std::string, std::pair<uint64_t, uint64_t>> trials() const;
  std::map<std::string, uint64_t> asked() const;  // of services with a stated rate
  std::pair<int, int> load(const std::string& service);
  int running();
  Duration usual(const std::string& service) const;  // what an answer takes here; 0: not known
  uint64_t repeats() const;
  void bound_places(int most);  // workers of one service that this relay uses, at most; 0: no bound
  void workers_known(const std::vector<std::string>& instances);

 private:
  struct Impl;
  std::unique_ptr<Impl> p_;
};

}  // namespace dunlinwing::traffic
