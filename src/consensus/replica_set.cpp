// Adopting never goes back to a lower epoch.
#include "consensus/replica_set.hpp"

#include <algorithm>

namespace dunlinwing::consensus {

ReplicaSetView::ReplicaSetView(std::vector<Replica> first) : all_(std::move(first)) {}

bool ReplicaSetView::adopt(const pb::ReplicaSet& s) {
  if (s.epoch() <= epoch_ || s.holders_size() == 0) return false;
  epoch_ = s.epoch();
  all_.clear();
  for (auto& h : s.holders()) all_.push_back({h.name(), h.address()});
  return true;
}

bool ReplicaSetView::has(const std::string& n) const {
  return std::any_of(all_.begin(), all_.end(), [&](auto& h) { return h.name == n; });
}

pb::ReplicaSet ReplicaSetView::message() const {
  pb::ReplicaSet s;
  s.set_epoch(epoch_);
  for (auto& h : all_) {
    auto* e = s.add_holders();
    e->set_name(h.name);
    e->set_address(h.address);
  }
  return s;
}

}  // namespace dunlinwing::consensus
