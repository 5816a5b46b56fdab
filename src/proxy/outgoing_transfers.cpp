#include "proxy/outgoing_transfers.hpp"

namespace dunlinwing::proxy {
namespace {
constexpr Duration kMaxIdle(10000);  // a node that waits longer for its link has abandoned the request
}

uint64_t OutgoingTransfers::begin(base::Body body, TimePoint now) {
  const std::lock_guard lock(mutex_);
  transfers_[next_] = {std::move(body), now};
  return next_++;
}

pb::BodyPart OutgoingTransfers::read(const pb::ReadBody& request, TimePoint now) {
  pb::BodyPart part;
  const std::lock_guard lock(mutex_);
  const auto found = transfers_.find(request.transfer());
  if (found == transfers_.end() || request.offset() > found->second.body.size()) {
    part.set_unknown_transfer(true);
    return part;
  }
  const base::Body& body = found->second.body;
  part.set_data(body.substr(request.offset(), request.bytes()));
  found->second.read_at = now;
  if (request.offset() + part.data().size() >= body.size()) transfers_.erase(found);
  return part;
}

void OutgoingTransfers::evict_idle(TimePoint now) {
  const std::lock_guard lock(mutex_);
  std::erase_if(transfers_, [&](const auto& entry) { return now - entry.second.read_at > kMaxIdle; });
}

}  // namespace dunlinwing::proxy
