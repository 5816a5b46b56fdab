// The way of a request through a relay, as one function read from top to
// bottom; and the shield's side of a carried one.
#pragma once
#include "traffic/fills.hpp"

namespace dunlinwing::traffic {

class Traffic {
 public:
  Traffic(base::Ports& ps, const Face& face, std::string me, std::string zone, std::function<bool()> fresh);
  ~Traffic();
  base::Response serve(base::Request& q);
  pb::CarryReply carry(const pb::Carry& c);
  // The services that have workers and none that a request from here could reach:
  // route, version, place and connection are tried, and no byte is sent.
  std::vector<std::string> unreached(Duration limit);
  void swap(TablePtr t);
  TablePtr table() const;
  void drain();  // from now on every new request is turned away
  int running();
  void say(pb::NodeStatus& n) const;  // what this node tells of its traffic
  const ServeCounts& counts() const;
  UpstreamClient& shots();
  size_t cache_bytes() const;
  void bound_cache(size_t bytes);  // the machine's own bound, beside the layout's
  void sweep();                    // drops kept receipts that are past their life

 private:
  struct Impl;
  std::unique_ptr<Impl> p_;
};

}  // namespace dunlinwing::traffic
