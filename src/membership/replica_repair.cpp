#include "membership/replica_repair.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "base/log.hpp"

namespace dunlinwing::membership {
namespace {
constexpr base::Log logger("repair");
constexpr size_t kMaxReplicas = 9, kMinReplicas = 3;
constexpr int kChecksPerBound = 8;     // checks of the set by each replica
constexpr int kTurnsPerBound = 4;      // each further replica by name acts a quarter of the bound later
constexpr int kJoinWaitsPerBound = 1;  // a change waits for new replicas to vote for at most this long

using ReplicaList = std::vector<consensus::Replica>;

const RepairNode* find_node(const ClusterView& view, const std::string& name) {
  auto found =
      std::find_if(view.nodes.begin(), view.nodes.end(), [&](auto& node) { return node.name == name; });
  return found == view.nodes.end() ? nullptr : &*found;
}

/// Computes one plan: changes the list step by step and collects the reason for each change.
class Planner {
 public:
  explicit Planner(const ClusterView& view) : view_(view), list_(view.replicas) {
    for (const auto& replica : list_)
      if (auto* node = find_node(view_, replica.name); node && !node->zone.empty()) ++zones_[node->zone];
  }

  std::optional<RepairStep> plan() {
    if (count_voting(view_.replicas) < consensus::majority_of(view_.replicas.size())) return {};
    replace_lost();
    grow();
    drop_gone();
    if (list_ == view_.replicas) return {};
    return RepairStep{list_, reason_};
  }

 private:
  size_t required_size() const { return 2 * static_cast<size_t>(view_.tolerate) + 1; }

  bool votes(const consensus::Replica& replica) const {
    auto* node = find_node(view_, replica.name);
    return node && node->votes && contains(view_.replicas, replica);
  }

  size_t count_voting(const ReplicaList& list) const {
    return static_cast<size_t>(
        std::count_if(list.begin(), list.end(), [&](auto& replica) { return votes(replica); }));
  }

  /// A change must not depend on new replicas: a majority of the new list has to vote already. Sets below the
  /// minimum size may grow regardless.
  bool is_safe(const ReplicaList& list) const {
    return view_.replicas.size() < kMinReplicas || count_voting(list) >= consensus::majority_of(list.size());
  }

  /// Why a replica should be replaced by a node that is present; nothing: it should not.
  std::optional<std::string> replacement_reason(const consensus::Replica& replica) const {
    auto* node = find_node(view_, replica.name);
    if (!node) return {};
    if (node->leaving) return replica.name + " is leaving";
    if (!node->address.empty() && node->address != replica.address)
      return replica.name + " has a new address";
    if (!node->votes && node->since_response >= unresponsive_limit(view_.bound))
      return replica.name + " does not respond";
    if (!node->votes && node->non_voting >= non_voting_limit(view_.bound))
      return replica.name + " cannot vote";
    return {};
  }

  /// A present node with a disk, from the zone with the fewest replicas; null: there is none.
  const RepairNode* candidate() const {
    const RepairNode* best = nullptr;
    for (const auto& node : view_.nodes) {
      if (!node.disk || !node.present || node.address.empty()) continue;
      bool taken = std::any_of(list_.begin(), list_.end(), [&](auto& replica) {
        return replica.address == node.address || (replica.name == node.name && !replacement_reason(replica));
      });
      if (taken) continue;
      if (!best || zone_count(node.zone) < zone_count(best->zone)) best = &node;
    }
    return best;
  }

  size_t zone_count(const std::string& zone) const {
    auto found = zones_.find(zone);
    return found == zones_.end() ? 0 : found->second;
  }

  void add_reason(const std::string& reason) { reason_ += (reason_.empty() ? "" : ", ") + reason; }

  void apply_change(ReplicaList list, const RepairNode& node, const std::string& reason) {
    list_ = std::move(list);
    ++zones_[node.zone];
    add_reason(reason);
  }

  void replace_lost() {
    for (const auto& replica : view_.replicas) {
      auto reason = replacement_reason(replica);
      if (!reason) continue;
      auto* node = find_node(view_, replica.name);
      if (auto zone = zones_.find(node->zone); zone != zones_.end()) --zone->second;
      auto* successor = candidate();
      auto list = list_;
      if (successor) {
        auto place = std::find(list.begin(), list.end(), replica);
        *place = {successor->name, successor->address};
      }
      if (successor && is_safe(list))
        apply_change(list, *successor, fmt::format("{}: replaced by {}", *reason, successor->name));
      else if (!node->zone.empty())
        ++zones_[node->zone];
    }
  }

  void grow() {
    while (list_.size() < std::min(required_size(), kMaxReplicas)) {
      auto* node = candidate();
      if (!node) return;
      auto list = list_;
      list.push_back({node->name, node->address});
      if (!is_safe(list)) return;
      apply_change(
          list, *node,
          fmt::format("{} joins: {} of {} required replicas", node->name, list.size(), required_size()));
    }
  }

  void drop_gone() {
    for (const auto& replica : view_.replicas) {
      auto* node = find_node(view_, replica.name);
      bool gone = node && !node->votes && node->absent >= absence_limit(view_.bound);
      if (!gone || !contains(list_, replica) || list_.size() <= std::max(required_size(), kMinReplicas))
        continue;
      auto list = list_;
      std::erase(list, replica);
      if (!is_safe(list)) continue;
      list_ = list;
      add_reason(replica.name + " is gone");
    }
  }

  const ClusterView& view_;
  ReplicaList list_;                     ///< with the changes planned so far; never smaller than is safe
  std::map<std::string, size_t> zones_;  ///< replicas of list_ in each zone
  std::string reason_;                   ///< for the changes planned so far
};

}  // namespace

std::optional<RepairStep> plan_repair(const ClusterView& view) {
  if (view.tolerate < 1 || view.replicas.empty()) return {};
  return Planner(view).plan();
}

struct ReplicaRepair::Impl {
  base::Ports& ports;
  consensus::RegisterClient& registers;
  StateCache& state_cache;
  consensus::Acceptor& acceptor;
  std::string node_name;
  int tolerate;
  Duration bound;
  std::map<std::string, TimePoint> session_seen;  ///< when this node last saw each node's session alive
  std::map<std::string, uint64_t> behind;         ///< registers_behind() of this replica at the last check
  std::string need;                               ///< the change needed at the last check; empty: none
  TimePoint need_since{0};                        ///< since when that change has been needed

  ClusterView observe() {
    ClusterView view{registers.replica_set().current(), {}, tolerate, bound};
    auto now = ports.clock.now();
    for (auto& [name, node] : known_nodes(now)) {
      auto contact = state_cache.contact(name);
      node.votes = state_cache.is_voting(name);
      node.since_response = contact.since_response;
      node.non_voting = contact.since_vote;
      node.absent = now - session_seen.emplace(name, now).first->second;
      view.nodes.push_back(node);
    }
    return view;
  }

  /// The replicas and all nodes with a disk, by name, as their statuses describe them.
  std::map<std::string, RepairNode> known_nodes(TimePoint now) {
    std::map<std::string, RepairNode> nodes;
    for (const auto& replica : registers.replica_set().current())
      nodes[replica.name] = {replica.name, "", replica.address, true};
    for (const auto& member : state_cache.statuses().all_nodes(now))
      if (!member.info.zone().empty() && member.info.disk()) nodes[member.name] = node_of(member);
    for (const auto& member : state_cache.statuses().members(now)) {
      session_seen[member.name] = now;
      if (auto node = nodes.find(member.name); node != nodes.end())
        node->second.present = !member.info.drained();
    }
    return nodes;
  }

  static RepairNode node_of(const Member& member) {
    RepairNode node{member.name, member.info.zone(), member.info.peer_address(), member.info.disk()};
    node.leaving = member.info.leaving();
    return node;
  }

  /// This node's rank by name, from 0, among the replicas that can act; nothing: it cannot act.
  std::optional<int> rank(const ClusterView& view) const {
    int before = 0;
    bool is_replica = false;
    for (const auto& replica : registers.replica_set().all()) {
      auto* node = find_node(view, replica.name);
      if (replica.name == node_name) is_replica = true;
      if (node && node->votes && node->present && replica.name < node_name) ++before;
    }
    if (!is_replica || !state_cache.is_voting(node_name)) return {};
    return before;
  }

  /// Whether the change `what` has been needed for long enough that it is this node's turn to make it.
  bool is_own_turn(const std::string& what, const ClusterView& view) {
    auto now = ports.clock.now();
    if (std::exchange(need, what) != what) need_since = now;
    auto own_rank = rank(view);
    return own_rank && now - need_since >= bound * *own_rank / kTurnsPerBound;
  }

  /// Whether each present replica of the new list votes already.
  bool all_joined(const ClusterView& view) const {
    const auto& replicas = registers.replica_set().current();
    return std::all_of(replicas.begin(), replicas.end(), [&](const auto& replica) {
      auto* node = find_node(view, replica.name);
      return node && (node->votes || !node->present);
    });
  }

  void finish_change(const ClusterView& view) {
    auto epoch = registers.replica_set().epoch();
    bool own_turn = is_own_turn(fmt::format("finish {}", epoch), view);
    if (!all_joined(view) && ports.clock.now() - need_since < bound / kJoinWaitsPerBound) return;
    if (!own_turn) return;
    auto start = ports.clock.now();
    auto result = registers.finish_change([this] { return state_cache.register_names(bound); });
    if (auto* set = std::get_if<pb::ReplicaSet>(&result))
      logger.info("{}: finished the change to the replica set of epoch {} with {} replicas in {} ms.",
                  node_name, set->epoch(), set->replicas_size(), (ports.clock.now() - start).count());
    else
      logger.warn("{}: failed to finish the change to the replica set of epoch {}; the next check retries.",
                  node_name, epoch);
  }

  void begin_change(const ClusterView& view) {
    auto step = plan_repair(view);
    if (!step) return need.clear();
    if (!is_own_turn(fmt::format("{} {}", registers.replica_set().epoch(), step->reason), view)) return;
    auto result = registers.begin_change(step->replicas);
    if (auto* set = std::get_if<pb::ReplicaSet>(&result)) {
      logger.info("{}: began a change to the replica set of epoch {}: {}.", node_name, set->epoch(),
                  step->reason);
      state_cache.pull_soon();
    } else {
      logger.warn("{}: failed to begin a change of the replica set ({}); the next check retries.", node_name,
                  step->reason);
    }
  }

  /// Rewrites registers that this replica copied in a refill, since copies do not count as votes until this
  /// replica accepts them, and those written while it was unreachable, which its disk lacks.
  void catch_up() {
    if (acceptor.non_voting()) return;
    if (auto copied = acceptor.refilled_registers(); !copied.empty()) registers.rewrite(copied);
    auto missing = state_cache.registers_behind(node_name);
    std::vector<std::string> still_missing;  // also missing at the last check, so not just in transit
    for (const auto& [name, round] : missing)
      if (auto before = behind.find(name); before != behind.end() && before->second == round)
        still_missing.push_back(name);
    behind = std::move(missing);
    if (!still_missing.empty()) registers.rewrite(still_missing);
  }

  void check() {
    if (!state_cache.has_read_lease()) {  // an unseen session may still be alive
      session_seen.clear();
      need.clear();
      return;
    }
    catch_up();
    auto current = observe();
    if (registers.replica_set().joint())
      finish_change(current);
    else
      begin_change(current);
  }

  bool has_successor() {
    auto nodes = observe().nodes;
    return std::any_of(nodes.begin(), nodes.end(), [&](const RepairNode& node) {
      return node.disk && node.present && !registers.replica_set().has(node.name);
    });
  }
};

ReplicaRepair::ReplicaRepair(base::Ports& ports, consensus::RegisterClient& registers,
                             StateCache& state_cache, consensus::Acceptor& acceptor, std::string node_name,
                             int tolerate, Duration bound)
    : impl_(new Impl{ports, registers, state_cache, acceptor, std::move(node_name), tolerate, bound}) {}
ReplicaRepair::~ReplicaRepair() = default;

void ReplicaRepair::start() {
  impl_->ports.tasks.spawn([impl = impl_] {
    for (;;) {
      impl->ports.clock.sleep(impl->bound / kChecksPerBound);
      impl->check();
    }
  });
}

bool ReplicaRepair::has_successor() const { return impl_->tolerate > 0 && impl_->has_successor(); }

}  // namespace dunlinwing::membership
