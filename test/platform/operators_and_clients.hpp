// Simulated clients and operator: what they send, how long they wait and when they retry, as specified by the
// users' protocol page.
#pragma once
#include "platform/platform_stub.hpp"

namespace dunlinwing::test {

class Clients {
 public:
  Clients(simulation::Fleet& fleet, EventJournal& journal) : fleet_(fleet), journal_(journal) {}
  void poll_readiness();  // polls the readiness of every node
  void generate_traffic(const OperatorConfiguration& configuration, int per_second, TimePoint until);
  void probe(const std::string& host, const std::string& target);  // sends one request to each ready node
  void use_configuration(const OperatorConfiguration& configuration) {
    configuration_ = configuration;
  }                                 // clients request its routes from now on
  bool impatient = false;           // ignores Retry-After
  uint64_t wanted = 0, served = 0;  // requests, not counting retries
  bool all_ready() const;

 private:
  void run_one();
  simulation::Host* choose_node(const std::string& zone, const std::set<std::string>& tried);
  ClientAttempt& send(simulation::Host& host, ClientAttempt attempt, Duration most);
  simulation::Fleet& fleet_;
  EventJournal& journal_;
  OperatorConfiguration configuration_;
  std::map<std::string, int> missed_polls_;
  uint64_t next_id_ = 0;
};

class Operator {
 public:
  Operator(simulation::Fleet& fleet, EventJournal& journal) : fleet_(fleet), journal_(journal) {}
  bool put(const OperatorConfiguration& configuration);  // retries until it gets a definite response
  // Returns the status of the definite response; 0 when there was none within `most`.
  int put_text(const std::string& what, const OperatorConfiguration& configuration, const std::string& text,
               bool valid, Duration most = Duration(20000));
  bool purge(const std::string& host, const std::string& path, const std::string& tag);
  bool roll_out_version(const std::string& service, const std::string& version, Duration within, bool bad);
  std::string rollout_state(const std::string& service, std::string* version = nullptr);
  void read_back(Duration over);
  std::string last_by;    // the node that acknowledged the last request
  int lost_permille = 0;  // share of acknowledgements that are lost before they reach the operator

 private:
  Duration delivery_limit() const;
  std::pair<int, std::string> call(const std::string& method, const std::string& target,
                                   const std::string& body, Duration most, const std::string& what);
  simulation::Fleet& fleet_;
  EventJournal& journal_;
};

}  // namespace dunlinwing::test
