#include "consensus/replica_set.hpp"

#include <algorithm>

namespace dunlinwing::consensus {
namespace {

using Entries = google::protobuf::RepeatedPtrField<pb::ReplicaEntry>;

std::vector<Replica> from_entries(const Entries& entries) {
  std::vector<Replica> list;
  list.reserve(static_cast<size_t>(entries.size()));
  for (auto& entry : entries) list.push_back({entry.name(), entry.address()});
  return list;
}

void to_entries(const std::vector<Replica>& list, Entries& entries) {
  for (auto& replica : list) {
    auto* entry = entries.Add();
    entry->set_name(replica.name);
    entry->set_address(replica.address);
  }
}

}  // namespace

bool contains(const std::vector<Replica>& list, const Replica& replica) {
  return std::find(list.begin(), list.end(), replica) != list.end();
}

bool contains_name(const std::vector<Replica>& list, const std::string& name) {
  return std::any_of(list.begin(), list.end(), [&](auto& replica) { return replica.name == name; });
}

ReplicaSetView::ReplicaSetView(std::vector<Replica> initial) : current_(std::move(initial)) {
  collect_members();
}

void ReplicaSetView::collect_members() {
  all_ = current_;
  for (auto& replica : previous_)
    if (!contains(current_, replica)) all_.push_back(replica);
}

bool ReplicaSetView::adopt(const pb::ReplicaSet& set) {
  if (set.epoch() <= epoch_ || set.replicas_size() == 0) return false;
  epoch_ = set.epoch();
  current_ = from_entries(set.replicas());
  previous_ = from_entries(set.previous());
  collect_members();
  return true;
}

bool ReplicaSetView::is_quorum(const MemberFlags& members) const {
  auto has_majority = [&](const std::vector<Replica>& list) {
    size_t count = 0;
    for (size_t i = 0; i < all_.size() && i < members.size(); ++i)
      count += members[i] && contains(list, all_[i]);
    return count >= majority_of(list.size());
  };
  return has_majority(current_) && (!joint() || has_majority(previous_));
}

size_t ReplicaSetView::sufficient_count() const {
  auto spare = [](const std::vector<Replica>& list) { return list.size() - majority_of(list.size()); };
  if (current_.empty()) return 1;
  size_t fewest_spare = spare(current_);
  if (joint()) fewest_spare = std::min(fewest_spare, spare(previous_));
  return all_.size() - fewest_spare;
}

bool ReplicaSetView::has(const std::string& name) const { return contains_name(all_, name); }

pb::ReplicaSet ReplicaSetView::message() const {
  pb::ReplicaSet set;
  set.set_epoch(epoch_);
  to_entries(current_, *set.mutable_replicas());
  to_entries(previous_, *set.mutable_previous());
  return set;
}

}  // namespace dunlinwing::consensus
