// A duty that one node does at a time: its permit is a register that a
// majority of the holders wrote, renewed in good time. Its holder stops before
// the permit ends; its understudy takes it up once it has lapsed, others later.
#pragma once
#include "membership/state_cache.hpp"

namespace dunlinwing::membership {

class Duty {
 public:
  Duty(base::Ports& ps, consensus::RegisterClient& registers, StateCache& m, std::string name, std::string me, std::string zone,
       Span bound);
  ~Duty();
  void start();        // begins to stand for the duty
  bool held() const;   // to be asked right before each act
  uint64_t term() const;
  pb::Permit known() const;  // who holds it, as far as the last pull tells
  void rest(bool on);  // a drained node stands for no duty and gives up what it holds
  void hand_over();    // gives it up in favour of the understudy
  Span span() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> p_;
};

std::string duty_key(const std::string& name);

}  // namespace dunlinwing::membership
