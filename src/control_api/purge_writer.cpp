// One write per service is in progress at a time; purges that arrive meanwhile go into the next one.
#include "control_api/purge_writer.hpp"

#include <algorithm>

namespace dunlinwing::control_api {
namespace {
// Per service, before the older half is merged; bounds the register to a few kilobytes.
constexpr int kMaxPurges = 128;
// A waiting request checks for its result this often; normally the writer notifies it long before.
constexpr Duration kRecheckPeriod{1000};

bool same_target(const pb::Purge& left, const pb::Purge& right) {
  return left.kind() == right.kind() && left.path() == right.path() && left.host() == right.host();
}

/// Whether the newer purge makes the older one superfluous.
bool covers(const pb::Purge& newer, const pb::Purge& older) {
  if (newer.number() < older.number() || (!newer.host().empty() && newer.host() != older.host()))
    return false;
  if (newer.kind() == purge_kind::kService) return true;
  if (newer.kind() == purge_kind::kPathPrefix &&
      (older.kind() == purge_kind::kPathPrefix || older.kind() == purge_kind::kPath))
    return older.path().starts_with(newer.path());
  return newer.kind() == older.kind() && newer.path() == older.path();
}

template <class Predicate>
void erase_purges(pb::PurgeSet& purges, Predicate predicate) {
  auto* list = purges.mutable_purges();
  list->erase(std::remove_if(list->begin(), list->end(), predicate), list->end());
}

/// Replaces the older half with one purge of the whole service.
void merge_older_half(pb::PurgeSet& purges) {
  std::vector<uint64_t> numbers;
  for (const auto& purge : purges.purges()) numbers.push_back(purge.number());
  auto middle = numbers.begin() + kMaxPurges / 2;
  std::nth_element(numbers.begin(), middle, numbers.end());
  pb::Purge merged;
  merged.set_kind(std::string(purge_kind::kService));
  merged.set_number(*middle);
  erase_purges(purges, [&](const pb::Purge& purge) { return purge.number() <= merged.number(); });
  *purges.add_purges() = merged;
}
}  // namespace

PurgeResult add_purge(pb::PurgeSet& purges, const pb::Purge& purge) {
  for (const auto& known : purges.purges())
    if (!purge.name().empty() && known.name() == purge.name())
      return {known.number(), true, !same_target(known, purge)};
  purges.set_number(purges.number() + 1);
  pb::Purge added = purge;
  added.set_number(purges.number());
  erase_purges(purges, [&](const pb::Purge& older) { return covers(added, older); });
  *purges.add_purges() = added;
  if (purges.purges_size() > kMaxPurges) merge_older_half(purges);
  return {purges.number(), false, false};
}

struct PurgeWriter::Impl {
  using Result = std::variant<PurgeResult, PurgeError>;

  /// A purge that a request waits for.
  struct PendingPurge {
    pb::Purge purge;
    std::shared_ptr<base::Condition> done;
    std::optional<Result> result;
  };
  using Batch = std::vector<std::shared_ptr<PendingPurge>>;

  /// The purges that wait to be written to the register of one service.
  struct ServiceQueue {
    bool writing = false;  ///< a fiber is writing, and will also write the pending purges
    Batch pending;
  };

  base::Ports& ports;
  consensus::RegisterClient& registers;
  std::map<std::string, ServiceQueue> queues;  ///< by service; entries stay, since fibers refer to them

  static void fail(const Batch& batch, PurgeError error) {
    for (const auto& pending : batch) pending->result = error;
  }

  /// Adds the batch to the service's set and sets the result of each purge.
  void write(const std::string& service, const Batch& batch) {
    auto key = std::string(kPurgePrefix) + service;
    auto read = registers.read(key);
    auto* value = std::get_if<consensus::VersionedValue>(&read);
    if (!value) return fail(batch, PurgeError::no_majority);
    auto stored = *value;
    for (;;) {
      pb::PurgeSet purges;
      purges.ParseFromString(stored.data);
      std::vector<PurgeResult> results;
      for (const auto& pending : batch) results.push_back(add_purge(purges, pending->purge));
      auto written = registers.write(key, stored.version, purges.SerializeAsString());
      if (std::holds_alternative<consensus::VersionedValue>(written)) {
        for (size_t i = 0; i < batch.size(); ++i) batch[i]->result = results[i];
        return;
      }
      if (auto* error = std::get_if<consensus::RegisterError>(&written))
        return fail(batch, *error == consensus::RegisterError::no_majority ? PurgeError::no_majority
                                                                           : PurgeError::outcome_unknown);
      stored = std::get<consensus::VersionConflict>(written).current;
    }
  }

  /// Writes batch after batch until nothing is pending.
  void write_pending(ServiceQueue& queue, const std::string& service) {
    while (!queue.pending.empty()) {
      auto batch = std::exchange(queue.pending, {});
      write(service, batch);
      for (const auto& pending : batch) pending->done->notify();
    }
    queue.writing = false;
  }
};

PurgeWriter::PurgeWriter(base::Ports& ports, consensus::RegisterClient& registers)
    : impl_(new Impl{ports, registers, {}}) {}
PurgeWriter::~PurgeWriter() = default;

std::variant<PurgeResult, PurgeError> PurgeWriter::put(const std::string& service, const pb::Purge& purge) {
  auto pending = std::make_shared<Impl::PendingPurge>();
  pending->purge = purge;
  pending->done = impl_->ports.tasks.condition();
  auto& queue = impl_->queues[service];
  queue.pending.push_back(pending);
  if (!queue.writing) {
    queue.writing = true;
    impl_->ports.tasks.spawn([impl = impl_, &queue, service] { impl->write_pending(queue, service); });
  }
  while (!pending->result) pending->done->wait(kRecheckPeriod);
  return *pending->result;
}

}  // namespace dunlinwing::control_api
