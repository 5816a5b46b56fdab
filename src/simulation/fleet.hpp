// A simulated deployment: relays of the product, workers, callers and
// operators, and the faults that can befall them. Journals come out in the
// form of the stand-ins', so that one checker reads both.
#pragma once
#include "control_api/control.hpp"
#include "simulation/ports.hpp"

namespace dunlinwing::simulation {

struct FleetShape {
  int holders = 5, edges = 4, spares = 0;  // spares have a disk, and no settings name them as holders
  bool seeded = false;  // the first set of holders forms out of the seeds, the hosts h1 to h3
  int tolerate = 0;
  double scale = 600;
  Duration bound{2000};
  int64_t wall0 = 1700000000000;
  // What a release of this name breaks on the nodes that run it: nothing, beats or reach.
  std::string broken, breaks;
  int first = 3, second = 3;  // workers of the cached and of the other service
  Duration near{1}, far{3};   // a message's way
  // A deployment that speaks other words: they go into each relay's settings, stand
  // before its control face, and take the place of the workers below.
  using Handler = std::function<base::Response(base::Request&)>;
  std::function<void(relay::NodeConfig&)> settings;
  std::function<base::Response(base::Request&, const Handler& product)> before;
  std::function<std::variant<base::Response, base::AttemptError>(
      const LifePtr&, const std::string& address, const base::Request&, const base::AttemptRules&)>
      send;
  std::function<bool(const std::string& address)> stands;
};

// The brief's two deployments: fourteen machines, five of them with a disk.
FleetShape lobby_shape();
FleetShape practice_shape();

struct Host {
  std::string name, zone, address;
  bool holder = false, shield = false, spare = false;
  bool begun = false;  // started before
  Platter platter;
  int64_t wall = 0;
  LifePtr life;
  std::unique_ptr<Clock> clock;
  std::unique_ptr<Random> random;
  std::unique_ptr<Tasks> tasks;
  std::unique_ptr<Net> net;
  std::unique_ptr<base::Origin> origin;
  std::unique_ptr<base::Ports> ports;
  std::unique_ptr<Disk> disk;
  std::unique_ptr<relay::Node> node;
  std::unique_ptr<control_api::Control> control;
  bool up() const { return life && !life->dead; }
};

struct Worker {
  std::string service, version, zone, instance, address;
  bool alive = true, leaving = false;
  bool foreign = false;  // a program of somebody else: runs what it gets, says 421, and never beats
  int bad_percent = 0, lose_percent = 0, wrong_percent = 0, refuse_percent = 0;
  std::function<void(const std::string& by)>
      left;  // told who took its word that it leaves; it says nothing more then
  Duration least{1}, most{8};
  int64_t max_age = 0, period_ms = 1000;
  int load = 0;  // as it says in its answers; the work that others give it
  uint64_t beats = 0;
  // A version that is bad in its own way: how many times slower this request is, 0 when it fails.
  std::function<int(const std::string& target)> spoils;
  TimePoint warm_at{0};  // until then it is twice as slow, and says so
  int running = 0;
};

struct Told {  // an operator's call and its answer
  int status = 0;
  std::string body, etag;
  bool lost = false;
  std::string by;  // the host that answered
};

struct Exchange {                    // with one host
  bool whole = false, read = false;  // the answer came; the process began on the request
  base::Response receipt;
};

class Fleet {
 public:
  Fleet(World& w, FleetShape s);
  ~Fleet();
  void start(const std::string& host);
  void start_all();
  void kill(const std::string& host);
  void wipe(const std::string& host);
  void cut_off(const std::string& host);  // both ways, from all
  Host& at(const std::string& name);
  std::vector<std::unique_ptr<Host>>& hosts() { return hosts_; }
  Host* some(bool only_ready);

  Worker& add_worker(const std::string& service, const std::string& version, int64_t max_age);
  std::vector<std::unique_ptr<Worker>>& workers() { return workers_; }

  // Fibers of the outside world.
  int call(const std::string& method, const std::string& target, const std::string& body = {},
           Host* to = nullptr);
  void callers(int per_second, TimePoint until, std::function<void()> one);
  Told tell(const std::string& method, const std::string& target, const std::string& body,
            std::vector<std::pair<std::string, std::string>> hs = {});
  Exchange exchange(Host& to, base::Request q, bool control, Duration most);
  void outside(std::function<void()> f);
  void sleep(Duration s);
  bool until(Duration most, const std::function<bool()>& f);
  void event(const std::string& fields);

  bool breaks(const std::string& host, const std::string& what);  // whether its release does that
  FleetShape& faults() { return s_; }
  World& world() { return w_; }
  const FleetShape& shape() const { return s_; }
  Weather calm() const { return {0, 0, s_.near, s_.far}; }  // the network of a good day
  void end();                                               // kills all, so that every fiber unwinds
  uint64_t calls = 0, good = 0;

 private:
  friend class SimOrigin;
  void beat(Worker& w);
  World& w_;
  FleetShape s_;
  Directory dir_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::unique_ptr<Worker>> workers_;
  struct Grave;
  std::vector<std::unique_ptr<Grave>> graves_;
  LifePtr out_;
  uint64_t named_ = 0;
  bool old_ = false;  // all were started once
};

}  // namespace dunlinwing::simulation
