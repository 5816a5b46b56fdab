// Stand-in clients and operator: what they send, how long they wait, when they try
// again, all as the users' page has it.
#pragma once
#include "platform/platform_stub.hpp"

namespace dunlinwing::test {

class Clients {
 public:
  Clients(simulation::Fleet& fleet, EventJournal& journal) : fleet_(fleet), journal_(journal) {}
  void poll_readiness();  // keeps asking every node whether it is ready
  void generate_traffic(const OperatorConfiguration& configuration, int per_second, TimePoint until);
  void probe(const std::string& host, const std::string& target);  // to each node that takes clients
  void use_configuration(const OperatorConfiguration& configuration) {
    configuration_ = configuration;
  }                                 // from now on clients want what it offers
  bool impatient = false;           // do not wait as told
  uint64_t wanted = 0, served = 0;  // requests, their tries taken together
  bool all_finished() const;

 private:
  void run_one();
  simulation::Host* choose_node(const std::string& zone, const std::set<std::string>& tried);
  ClientAttempt& send(simulation::Host& host, ClientAttempt attempt, Duration most);
  simulation::Fleet& fleet_;
  EventJournal& journal_;
  OperatorConfiguration configuration_;
  std::map<std::string, int> missed_;
  uint64_t next_id_ = 0;
};

class Operator {
 public:
  Operator(simulation::Fleet& fleet, EventJournal& journal) : fleet_(fleet), journal_(journal) {}
  bool put(const OperatorConfiguration& configuration);  // sent until it gets a clear answer
  // The status of the clear answer; 0 when none came in `most`.
  int put_text(const std::string& what, const OperatorConfiguration& configuration, const std::string& text,
               bool valid, Duration most = Duration(20000));
  bool purge(const std::string& host, const std::string& path, const std::string& tag);
  bool roll_out_version(const std::string& service, const std::string& version, Duration within, bool bad);
  std::string rollout_state(const std::string& service, std::string* version = nullptr);
  void read_back(Duration over);
  std::string last_by;    // who took the last order
  int lost_permille = 0;  // of acknowledgements, on their way back to the operator

 private:
  std::pair<int, std::string> call(const std::string& method, const std::string& target,
                                   const std::string& body, Duration most, const std::string& what);
  simulation::Fleet& fleet_;
  EventJournal& journal_;
};

}  // namespace dunlinwing::test
