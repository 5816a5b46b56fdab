// Stand-in workers: they run what they are sent, or say that they did not, keep
// objects that change, beat, drain, crash, and misbehave as they are told to.
#pragma once
#include "platform/event_journal.hpp"
#include "simulation/fleet.hpp"

namespace dunlinwing::test {

struct Server {
  std::string id, service, version, zone, address;
  int slots = 8, queue = 8, running = 0, waiting = 0;
  bool alive = true, dark = false, draining = false, tells_load = true, resets_when_full = false;
  Duration work{8};
  int slower = 1;
  TimePoint warm_at{0};
  uint64_t calls = 0;
  int lose = 0, cut = 0, spoil = 0, extra = 0;        // in a thousand
  std::function<int(const std::string& target)> bad;  // times slower, 0: it fails; for bad versions
  std::optional<base::Response> late;                 // an answer too many, not yet sent
};

class Yard {
 public:
  Yard(simulation::Fleet& fleet, Diary& d) : fleet_(fleet), d_(d) {}
  using Shot = std::variant<base::Response, base::AttemptError>;
  Shot send(const simulation::ProcessRunPtr& process, const std::string& address,
            const base::Request& request, const base::AttemptRules& r);
  bool stands(const std::string& address);
  Server& add(const std::string& service, const std::string& version = "v1", Duration cold = Duration(0),
              const std::string& address = {});
  void drain(Server& s);  // says so, serves on, says that it has ended, and ends
  void crash(Server& s, bool dark = false);
  std::vector<Server*> of(const std::string& service, const std::string& version = {});
  void change(const std::string& target);  // an object is replaced
  std::map<std::string, double> rates;     // requests a second that a service takes

 private:
  void beats(Server& s);
  bool beat(Server& s, const char* method);
  Server* at(const std::string& address);
  base::Response answer(Server& s, const base::Request& request, bool fails);
  simulation::Fleet& fleet_;
  Diary& d_;
  std::vector<std::unique_ptr<Server>> all_;
  std::map<std::string, std::vector<TimePoint>> came_;
  uint64_t named_ = 0;
};

bool is_object(const std::string& target);

}  // namespace dunlinwing::test
