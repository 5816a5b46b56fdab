// The way of a request that may be answered from the cache: a kept receipt, another's
// fetch, or a fetch of its own, through the shield or from a worker; and what a caller
// is told of any way.
#pragma once
#include <atomic>
#include <mutex>

#include "cache/cache.hpp"
#include "traffic/upstream_client.hpp"

namespace dunlinwing::traffic {

struct ServeCounts {
  std::atomic<uint64_t> requests{0}, defects{0}, turned_away{0}, unknown{0}, hits{0}, fills{0}, carried{0};
};

// What is to be said to a caller, or that the request is to be matched anew.
struct Way {
  base::Response receipt;
  Outcome outcome = Outcome::none;
  bool overtaken = false, left = false, doubt = false;
  Duration back{0};  // when turned away
};

struct Ways {
  base::Ports& ps;
  const Face& face;
  // Turned away, with when to come back, spread so that a crowd does not return at once.
  Way away(int status, const std::string& why, Duration back = Duration(0)) const;
  Way unknown(const std::string& why) const;
  Way of(Fetched&& f) const;
};

class Fills {
 public:
  Fills(base::Ports& ps, const Face& face, std::string me, std::function<bool()> fresh,
        std::function<TablePtr()> table, UpstreamClient& shots, ServeCounts& counts);
  Way cached(const Work& w);
  // What is kept for this request, usable or not.
  cache::ItemPtr kept(const Work& w);
  bool usable(const cache::ItemPtr& i, const Work& w, TimePoint now) const;
  static Duration lifetime(const Work& w);
  void bound(size_t bytes) { most_ = bytes; }
  void sweep() { cache_.sweep(ps_.clock.now()); }
  size_t bytes() const { return cache_.bytes(); }

 private:
  void shield_failed(const std::string& address);
  std::string shield_for(const Table& t, const std::string& key);
  std::pair<Way, cache::ItemPtr> fill(const Work& w, const std::string& key);

  base::Ports& ps_;
  const Face& face_;
  Ways ways_;
  std::string me_;
  std::function<bool()> fresh_;
  std::function<TablePtr()> table_;
  UpstreamClient& shots_;
  ServeCounts& n_;
  cache::Cache cache_;
  size_t most_ = SIZE_MAX;
  std::mutex m_;
  std::map<std::string, TimePoint> resting_;  // shields, until when
};

}  // namespace dunlinwing::traffic
