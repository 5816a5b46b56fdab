// Requests reach a simulated worker by its address, whoever stands there now, and a
// relay's control face by its name.
#pragma once
#include "simulation/fleet.hpp"

namespace dunlinwing::simulation {

class SimOrigin final : public base::Origin {
 public:
  SimOrigin(Fleet& f, LifePtr l) : f_(f), l_(std::move(l)) {}
  bool reach(const std::string& addr, Duration) override;
  std::variant<base::Response, base::AttemptError> send(const std::string& addr, const base::Request& q,
                                                        const base::AttemptRules& rules) override;

 private:
  std::variant<base::Response, base::AttemptError> relay(const std::string& name, const base::Request& q,
                                                         Duration limit);
  Fleet& f_;
  LifePtr l_;
};

}  // namespace dunlinwing::simulation
