#include "membership/own_status.hpp"

#include <fmt/format.h>

#include "base/log.hpp"

namespace dunlinwing::membership {
namespace {
constexpr base::Log logger("membership");

/// The part of a status whose changes are sent at once, as a text to compare; the rest (counters, clocks,
/// ages) may be sent later.
std::string urgent_part(const pb::NodeStatus& status) {
  pb::NodeStatus node;
  *node.mutable_node() = status.node();
  node.mutable_node()->clear_wall_ms();
  node.mutable_node()->clear_running();
  std::string text = node.SerializeAsString();
  // Sorted by key, because a protobuf map has no defined order.
  std::map<std::string, std::string> running(status.node().running().begin(), status.node().running().end());
  for (const auto& [kind, release] : running) text += fmt::format("{}={};", kind, release);
  for (const auto& counts : status.canary_counts())
    text += fmt::format("{}:{}:{}{};", counts.service(), counts.number(), counts.bad(), counts.aborted());
  for (const auto& followed : status.switches())
    text += fmt::format("{}:{};", followed.service(), followed.number());
  for (const auto& heartbeat : status.heartbeats())
    text += fmt::format("{}/{}{};", heartbeat.instance(), heartbeat.leaving() ? 0 : heartbeat.sequence(),
                        heartbeat.leaving());
  return text;
}
}  // namespace

std::optional<pb::NodeStatus> OwnStatus::next(TimePoint now) {
  if (!incarnation_) return {};
  pb::NodeStatus status;
  status.set_source(node_name_);
  status.mutable_version()->set_incarnation(incarnation_);
  fill_(status);
  auto urgent = urgent_part(status);
  if (now - sent_at_ < longest_interval_ && urgent == urgent_part_) return {};
  sent_at_ = now;
  urgent_part_ = std::move(urgent);
  status.mutable_version()->set_count(++count_);
  return status;
}

void OwnStatus::begin_after(const std::optional<pb::StatusVersion>& latest) {
  incarnation_ = latest ? latest->incarnation() + 1 : 1;
}

void OwnStatus::raise_above(const pb::StatusVersion& known) {
  pb::StatusVersion own_version;
  own_version.set_incarnation(incarnation_);
  own_version.set_count(count_);
  if (!incarnation_ || !is_newer(known, own_version)) return;
  incarnation_ = known.incarnation() + 1;
  count_ = 0;
  urgent_part_.clear();
  logger.info("{}: raised its incarnation to {}, above a status from before its restart.", node_name_,
              incarnation_);
}

}  // namespace dunlinwing::membership
