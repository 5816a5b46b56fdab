// Asking many at once: every target is asked by a fiber of its own, and the
// caller goes on as soon as it has heard enough.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::consensus {

struct Replica {
  std::string name, address;
  bool operator==(const Replica&) const = default;
};

using Replies = std::vector<std::optional<pb::Reply>>;
using Enough = std::function<bool(const Replies&)>;
using Local = std::function<pb::Reply(const pb::Ask&)>;

// `local` answers for the target named `me`, without the network.
Replies ask_all(base::Ports& ps, const std::vector<Replica>& ts, const std::function<pb::Ask(size_t)>& make,
                Duration limit, const Enough& enough, const std::string& me = {}, const Local& local = {});

}  // namespace dunlinwing::consensus
