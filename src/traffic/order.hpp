// The numbered layout: one register that holds the highest number stated and its
// document. It is in force on every node as soon as the node has heard of it, and
// while there is one no layout comes by a release.
#pragma once
#include "membership/state_cache.hpp"
#include "traffic/layout.hpp"

namespace dunlinwing::traffic {

inline constexpr const char* kOrderKey = "order";

struct Standing {
  uint64_t number = 0;  // 0: none was ever stated
  std::shared_ptr<const Layout> layout;
};

// Reads the register when its version has changed.
class Orders {
 public:
  const Standing& look(const membership::Chosen& c);

 private:
  uint64_t version_ = 0;
  Standing now_;
};

std::string order_name(uint64_t number);  // of its layout, in tallies and carries

}  // namespace dunlinwing::traffic
