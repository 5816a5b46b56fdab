// A complete fleet of real processes on one machine: three zones, twelve edge relays (three of
// them replicas), two store relays, and a deployment's backend instances. Acts as the platform:
// starts processes, sends SIGTERM and after six seconds SIGKILL, suspends them, wipes disks.
#pragma once
#include <sys/types.h>

#include <deque>

#include "fleet/links.hpp"
#include "net/http.hpp"
#include "support/journal.hpp"

namespace dunlinwing::test {

struct FleetConfig {
  std::string directory, binaries, deployment = "lobby";
  int port = 21000;
  double scale = 1;
  int bound_ms = 2000;
  bool backend_faults = false;
};

struct Machine {
  std::string name, zone, kind;  // edge, store or worker
  bool has_disk = false;
  int index = 0;
  pid_t pid = -1;
  bool frozen = false;
  std::string program;  // that the supervisor starts
  std::vector<std::string> args;
  std::string client_address, control_address, peer_address;
};

class Fleet {
 public:
  Fleet(net::EventLoopPool& pool, FleetConfig c);
  void write_settings();  // also opens the links; starts no process
  void start(const std::string& name);
  void start_nodes();
  void start_backends();
  std::string add_backend(const std::string& service, const std::string& version, const std::string& zone,
                          const std::vector<std::string>& more);
  void terminate(const std::string& name);  // SIGTERM, and SIGKILL if it still runs six seconds later
  void kill(const std::string& name);
  void freeze(const std::string& name);
  void thaw(const std::string& name);
  void wipe(const std::string& name);
  void stop_all();
  bool reap(const std::string& name);  // reaps the process if it has ended
  // Acts as each machine's supervisor: restarts a relay that has ended, with the staged program
  // after exit status 75, with the last good one after any other status.
  void supervise();
  bool supervised = false;
  void watch_assignments();  // journals each node's assignment once a majority reports it
  pid_t start_client(const std::string& name, int rate, int seconds, uint64_t seed);
  bool client_done(pid_t p);

  base::Response http(const std::string& node, const std::string& method, const std::string& target,
                      const std::string& body = {}, base::Headers headers = {});
  base::Response http_any(const std::string& method, const std::string& target, const std::string& body = {});
  bool wait_until(Duration most, const std::function<bool()>& what);  // polls the condition
  bool all_ready(Duration most);
  bool await_configuration_everywhere(const std::string& name, Duration most);
  void event(const std::string& json_fields);

  Links& links() { return links_; }
  std::deque<Machine>& machines() { return machines_; }
  Machine& at(const std::string& name);
  std::string node_list(bool pairs) const;
  const FleetConfig& config() const { return config_; }
  net::SystemClock clock;

 private:
  pid_t spawn(const std::string& program, const std::vector<std::string>& args, const std::string& log);
  net::EventLoopPool& pool_;
  FleetConfig config_;
  Links links_;
  std::deque<Machine> machines_;  // fibers keep references to elements while others are added
  net::HttpClient http_{32u << 20};
  Journal events_;
  int backends_ = 0;
  bool stopping_ = false, watching_ = false;
};

std::string configuration_document(const std::string& deployment, const std::string& extra_versions = {});

}  // namespace dunlinwing::test
