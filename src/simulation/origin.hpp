// Requests reach a simulated backend instance by address, whichever instance has it now, and the
// control API of a relay by name.
#pragma once
#include "simulation/fleet.hpp"

namespace dunlinwing::simulation {

class SimOrigin final : public base::Origin {
 public:
  SimOrigin(Fleet& fleet, ProcessRunPtr process) : fleet_(fleet), process_(std::move(process)) {}
  bool can_connect(const std::string& address, Duration) override;
  std::variant<base::Response, base::AttemptError> send(const std::string& address,
                                                        const base::Request& request,
                                                        const base::AttemptRules& rules) override;

 private:
  // Waits until this process has fewer attempts at the address than its connection limit; false on timeout.
  bool await_connection(const std::string& address, const base::AttemptRules& rules);
  void receive(size_t bytes);
  void receive_part(size_t bytes);
  std::variant<base::Response, base::AttemptError> relay(const std::string& name,
                                                         const base::Request& request, Duration limit);
  Fleet& fleet_;
  ProcessRunPtr process_;
  std::map<std::string, int> connections_;  // in use by this process; key: address
};

}  // namespace dunlinwing::simulation
