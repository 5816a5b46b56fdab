// A loopback forwarder: each pair of relay and replica communicates through its own
// port here, so that a link can be cut and restored.
#pragma once
#include <set>

#include "net/event_loop.hpp"

namespace dunlinwing::test {

class Links {
 public:
  explicit Links(net::EventLoopPool& pool) : pool_(pool) {}
  void open(const std::string& from, const std::string& to, const std::string& listen,
            const std::string& target);
  void cut(const std::string& from, const std::string& to);
  void restore(const std::string& from, const std::string& to);
  void cut_off(const std::string& node);  // cuts its links to and from all other nodes
  void restore_all();

 private:
  struct Link;
  net::EventLoopPool& pool_;
  std::map<std::pair<std::string, std::string>, std::shared_ptr<Link>> links_by_ends_;
};

}  // namespace dunlinwing::test
