// Choosing a worker by the time it is expected to take: what it usually takes, its
// load as last told and as this relay knows it, own zone first while that has room.
// A worker that keeps failing is set aside for a while and tried again by single
// requests; never are all workers of a service set aside at once.
#pragma once
#include <mutex>

#include "base/ports.hpp"
#include "traffic/face.hpp"
#include "traffic/table.hpp"

namespace dunlinwing::traffic {

struct Choice {
  Worker worker;
  Duration expected{0};  // until its answer
  Duration wait{0};      // the part of it spent behind others there
};

struct Ended {
  bool good = false, unsent = false;
  std::optional<Load> load;
  Duration took{0};
};

class LoadBalancer {
 public:
  LoadBalancer(base::Clock& c, base::Random& r);
  ~LoadBalancer();
  // Null when no worker of these versions is left that is not in `tried`. Of more than
  // `few` that fit, this relay uses its own few, the same as long as they fit.
  std::optional<Choice> choose(const std::vector<Worker>& ws, const std::vector<std::string>& versions,
                               const std::string& zone, const std::vector<std::string>& tried,
                               size_t few = SIZE_MAX);
  void name(const std::string& relay);  // by which this relay's few are drawn
  void began(const Worker& w);
  void ended(const Worker& w, const Ended& e);
  // Somebody else stands at its address: it is left alone until it is known again.
  void elsewhere(const Worker& w);
  void forget(const std::vector<std::string>& alive);
  // What an answer of this service usually takes; 0 while nothing is known.
  Duration usual(const std::string& service) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> p_;
};

}  // namespace dunlinwing::traffic
