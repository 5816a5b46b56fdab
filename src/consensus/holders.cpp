// Adopting never goes back to a lower epoch.
#include "consensus/holders.hpp"

#include <algorithm>

namespace dunlinwing::consensus {

Holders::Holders(std::vector<Holder> first) : all_(std::move(first)) {}

bool Holders::adopt(const pb::HolderSet& s) {
  if (s.epoch() <= epoch_ || s.holders_size() == 0) return false;
  epoch_ = s.epoch();
  all_.clear();
  for (auto& h : s.holders()) all_.push_back({h.name(), h.address()});
  return true;
}

bool Holders::has(const std::string& n) const {
  return std::any_of(all_.begin(), all_.end(), [&](auto& h) { return h.name == n; });
}

pb::HolderSet Holders::message() const {
  pb::HolderSet s;
  s.set_epoch(epoch_);
  for (auto& h : all_) {
    auto* e = s.add_holders();
    e->set_name(h.name);
    e->set_address(h.address);
  }
  return s;
}

}  // namespace dunlinwing::consensus
