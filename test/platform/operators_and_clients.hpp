// Stand-in clients and operator: what they send, how long they wait, when they try
// again, all as the users' page has it.
#pragma once
#include "platform/platform_stub.hpp"

namespace dunlinwing::test {

class Clients {
 public:
  Clients(simulation::Fleet& fleet, Diary& d) : fleet_(fleet), d_(d) {}
  void knock();  // keeps asking every node whether it is ready
  void come(const Page& p, int per_second, TimePoint until);
  void probe(const std::string& host, const std::string& target);  // to each node that takes clients
  void page(const Page& p) { page_ = p; }                          // from now on clients want what it offers
  bool impatient = false;                                          // do not wait as told
  uint64_t wanted = 0, served = 0;                                 // requests, their tries taken together
  bool all_in() const;

 private:
  void one();
  simulation::Host* door(const std::string& zone, const std::set<std::string>& tried);
  Try& send(simulation::Host& host, Try t, Duration most);
  simulation::Fleet& fleet_;
  Diary& d_;
  Page page_;
  std::map<std::string, int> missed_;
  uint64_t named_ = 0;
};

class Operator {
 public:
  Operator(simulation::Fleet& fleet, Diary& d) : fleet_(fleet), d_(d) {}
  bool put(const Page& p);  // sent until it gets a clear answer
  // The status of the clear answer; 0 when none came in `most`.
  int put_text(const std::string& what, const Page& p, const std::string& text, bool valid,
               Duration most = Duration(20000));
  bool purge(const std::string& host, const std::string& path, const std::string& tag);
  bool move(const std::string& service, const std::string& version, Duration within, bool bad);
  std::string state(const std::string& service, std::string* version = nullptr);
  void read_back(Duration over);
  std::string last_by;    // who took the last order
  int lost_permille = 0;  // of acknowledgements, on their way back to the operator

 private:
  std::pair<int, std::string> call(const std::string& method, const std::string& target,
                                   const std::string& body, Duration most, const std::string& what);
  simulation::Fleet& fleet_;
  Diary& d_;
};

}  // namespace dunlinwing::test
