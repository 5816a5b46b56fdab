// Which requests a version on trial gets, and which of its workers get them. The share
// is kept by exact count at each relay, so that it holds over the fleet.
#pragma once
#include <mutex>

#include "traffic/table.hpp"

namespace dunlinwing::traffic {

// A move with a term may begin a little ahead of its share: so many requests over the
// fleet, of the fifty that the rule leaves.
inline constexpr int64_t kAhead = 20;

// Of a move with a term only two workers of the new version are asked, the first two by
// name, so that they have something to do. All relays choose alike, from the same news.
std::vector<Worker> trial_workers(const std::vector<Worker>& ws, const std::string& version, bool term);

class Trials {
 public:
  // The workers among which a granted request is placed; none when it is not granted.
  std::vector<Worker> grant(const Table& t, const std::string& service, const std::string& version,
                            const std::string& route);

  // The bare share: the n-th trial request needs n times the full share before, but for
  // `ahead`. Routes that had few trial requests come first; others take what they leave.
  bool grant(const std::string& service, uint64_t number, const std::string& version, const std::string& route,
             int percent, int ahead);

 private:
  struct Share {
    uint64_t number = 0;
    std::string version;
    int64_t earned = 0;  // hundredths of a request, not yet spent
    std::map<std::string, uint64_t> by;
  };
  std::mutex m_;
  std::map<std::string, Share> by_;
};

}  // namespace dunlinwing::traffic
