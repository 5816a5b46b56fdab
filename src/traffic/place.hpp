// Choosing a worker: two choices by load, own zone first. A worker that keeps
// failing is set aside for a while and tried again by single requests; never
// are all workers of a service set aside at once.
#pragma once
#include <mutex>

#include "base/ports.hpp"
#include "traffic/table.hpp"

namespace dunlinwing::traffic {

class Places {
 public:
  Places(base::Clock& c, base::Chance& r);
  ~Places();
  // Null when no worker of these versions is left that is not in `tried`.
  std::optional<Worker> choose(const std::vector<Worker>& ws, const std::vector<std::string>& versions,
                               const std::string& zone, const std::vector<std::string>& tried);
  void began(const Worker& w);
  void ended(const Worker& w, bool good, std::optional<int> load);
  // Somebody else stands at its address: it is left alone until it is known again.
  void elsewhere(const Worker& w);
  void forget(const std::vector<std::string>& alive);

 private:
  struct Impl;
  std::unique_ptr<Impl> p_;
};

}  // namespace dunlinwing::traffic
