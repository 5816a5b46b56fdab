// A leadership that one node does at a time: its read_lease is a register that a
// majority of the holders wrote, renewed in good time. Its holder stops before
// the read_lease ends; its understudy takes it up once it has lapsed, others later.
#pragma once
#include "membership/state_cache.hpp"

namespace dunlinwing::membership {

class Leadership {
 public:
  Leadership(base::Ports& ports, consensus::RegisterClient& registers, StateCache& state_cache,
             std::string name, std::string node_name, std::string zone, Duration bound);
  ~Leadership();
  void start();       // begins to stand for the leadership
  bool held() const;  // to be asked right before each act
  uint64_t term() const;
  pb::LeaderLease known_lease() const;  // who holds it, as far as the last pull tells
  void set_passive(bool on);            // a drained node stands for no leadership and gives up what it holds
  void transfer();                      // gives it up in favour of the understudy
  Duration span() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

std::string leadership_key(const std::string& name);

}  // namespace dunlinwing::membership
