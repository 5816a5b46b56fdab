// One fiber per register writes batch after batch until nothing waits. The value of the last write is
// remembered, so that the next batch needs no read; if another node has written meanwhile, the
// compare-and-set fails and returns the current value.
#include "consensus/register_updater.hpp"

#include <algorithm>
#include <deque>

#include "base/log.hpp"

namespace dunlinwing::consensus {
namespace {
constexpr base::Log logger("registers");
// A waiting update checks for its result this often; normally the writing fiber notifies it long before.
constexpr Duration kRecheckPeriod{1000};
constexpr size_t kMaxRemembered = 32;  // values of registers that nobody updates now

UpdateError update_error(RegisterError error) {
  return error == RegisterError::no_majority ? UpdateError::no_majority : UpdateError::outcome_unknown;
}
}  // namespace

struct RegisterUpdater::Impl {
  /// An update that a caller waits for.
  struct Pending {
    const RegisterUpdate* update;  ///< of the waiting caller
    TimePoint since;
    std::shared_ptr<base::Condition> done;
    std::optional<UpdateResult> result;
  };
  using Batch = std::vector<std::shared_ptr<Pending>>;

  /// The updates of one register that wait to be written.
  struct Queue {
    bool writing = false;  ///< a fiber is writing, and will also write the pending updates
    std::deque<std::shared_ptr<Pending>> pending;
    std::optional<VersionedValue> remembered;  ///< the last value that was written or read here
  };

  base::Ports& ports;
  RegisterClient& registers;
  UpdateTotals totals;
  std::map<std::string, Queue> queues;  ///< entries of writing fibers stay, since these refer to them

  /// The updates to attempt together: the first one alone, or with all that may share its version.
  Batch take_batch(Queue& queue) {
    Batch batch;
    while (!queue.pending.empty()) {
      const auto& next = queue.pending.front();
      const bool may_share =
          batch.empty() || (next->update->may_share_version && batch.front()->update->may_share_version);
      if (!may_share) break;
      batch.push_back(next);
      queue.pending.pop_front();
    }
    return batch;
  }

  /// Removes the updates whose callers no longer wait for them.
  void drop_late(Batch& batch) {
    const TimePoint now = ports.clock.now();
    std::erase_if(batch, [&](const auto& pending) {
      const bool late = now > pending->since && now > pending->update->deadline;
      if (late) finish(*pending, UpdateError::out_of_time);
      return late;
    });
  }

  static void finish(Pending& pending, const UpdateResult& result) {
    pending.result = result;
    pending.done->notify();
  }

  /// Applies the batch in order; returns the data to write, or nothing when the value stays as it is.
  static std::optional<std::string> apply(const Batch& batch, const VersionedValue& stored) {
    std::optional<std::string> changed;
    VersionedValue current = stored;
    for (const auto& pending : batch) {
      auto next = pending->update->apply(current);
      if (!next) continue;
      changed = *next;
      current = {stored.version + 1, std::move(*next)};
    }
    return changed;
  }

  static TimePoint latest_deadline(const Batch& batch) {
    TimePoint latest{0};
    for (const auto& pending : batch) latest = std::max(latest, pending->update->deadline);
    return latest;
  }

  /// The state of a batch between its attempts.
  struct Attempt {
    VersionedValue stored;   ///< the value to replace
    bool confirmed = false;  ///< it was in force at some time since the batch began
  };

  /// Makes one attempt to write the batch; nothing when another one is needed.
  std::optional<UpdateResult> attempt(const std::string& name, const Batch& batch, Attempt& state) {
    const auto data = apply(batch, state.stored);
    if (!data && state.confirmed) return state.stored;
    if (!data) return read(name, state);
    const auto written = registers.write(name, state.stored.version, *data);
    if (const auto* value = as<VersionedValue>(written)) return *value;
    if (const auto* error = as<RegisterError>(written)) return update_error(*error);
    ++totals.conflicts;
    state = {as<VersionConflict>(written)->current, true};
    return {};
  }

  /// Reads the value to replace; an error when that fails.
  std::optional<UpdateResult> read(const std::string& name, Attempt& state) {
    const auto result = registers.read(name);
    if (const auto* error = as<RegisterError>(result)) return update_error(*error);
    state = {*as<VersionedValue>(result), true};
    return {};
  }

  UpdateResult write(const std::string& name, Queue& queue, const Batch& batch) {
    Attempt state;
    if (queue.remembered)
      state.stored = *queue.remembered;
    else if (auto failed = read(name, state))
      return *failed;
    const TimePoint deadline = latest_deadline(batch);
    do
      if (auto result = attempt(name, batch, state)) return *result;
    while (ports.clock.now() < deadline);
    return UpdateError::out_of_time;
  }

  void count(const Batch& batch) {
    ++totals.batches;
    for (const auto& pending : batch) totals.waited += ports.clock.now() - pending->since;
  }

  void write_batch(const std::string& name, Queue& queue, const Batch& batch) {
    count(batch);
    const TimePoint began = ports.clock.now();
    const auto result = write(name, queue, batch);
    const auto* value = as<VersionedValue>(result);
    queue.remembered = value ? std::optional(*value) : std::nullopt;
    for (const auto& pending : batch) finish(*pending, result);
    logger.debug("{} updates of {} were {} after {} ms; the first had waited {} ms.", batch.size(), name,
                 value ? "written" : "not written", (ports.clock.now() - began).count(),
                 (began - batch.front()->since).count());
  }

  void write_pending(const std::string& name, Queue& queue) {
    while (!queue.pending.empty()) {
      auto batch = take_batch(queue);
      drop_late(batch);
      if (!batch.empty()) write_batch(name, queue, batch);
    }
    queue.writing = false;
    if (queues.size() > kMaxRemembered) queues.erase(name);
  }
};

RegisterUpdater::RegisterUpdater(base::Ports& ports, RegisterClient& registers)
    : impl_(new Impl{ports, registers, {}, {}}) {}
RegisterUpdater::RegisterUpdater(std::nullptr_t) {}
RegisterUpdater::~RegisterUpdater() = default;

UpdateTotals RegisterUpdater::totals() const { return impl_ ? impl_->totals : UpdateTotals{}; }

UpdateResult RegisterUpdater::update(const std::string& name, const RegisterUpdate& update) {
  if (!impl_) return UpdateError::no_majority;
  ++impl_->totals.updates;
  auto& queue = impl_->queues[name];
  auto pending = std::make_shared<Impl::Pending>(
      Impl::Pending{&update, impl_->ports.clock.now(), impl_->ports.tasks.condition(), {}});
  queue.pending.push_back(pending);
  if (!queue.writing) {
    queue.writing = true;
    impl_->ports.tasks.spawn([impl = impl_, &queue, name] { impl->write_pending(name, queue); });
  }
  while (!pending->result) pending->done->wait(kRecheckPeriod);
  return *pending->result;
}

}  // namespace dunlinwing::consensus
