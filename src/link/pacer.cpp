#include "link/pacer.hpp"

#include <algorithm>

namespace dunlinwing::link {
namespace {
// Fraction of the link's rate; the rest is for packet headers and traffic that is not counted here.
constexpr double kUsableShare = 0.9;
// Fraction of the usable rate that pays for traffic which did not wait; bodies keep the rest.
constexpr double kUnpacedShare = 0.9;
// Bodies make room for at most this much of it; what a process sends beyond that waits in the kernel.
constexpr double kMaxDebtMs = 2000;
constexpr double kMsPerSecond = 1000;
// A burst and a part are what the link carries in these times; the minimum size bounds the overhead per part.
constexpr double kBurstMs = 15;
constexpr double kPartMs = 10;
constexpr double kMinPartBytes = 4 << 10;
constexpr double kMaxPartBytes = 4 << 20;

double in_ms(double bytes_per_second, double ms) { return bytes_per_second * ms / kMsPerSecond; }

size_t index(TrafficClass traffic_class) { return static_cast<size_t>(traffic_class); }
}  // namespace

const char* label(TrafficClass traffic_class) {
  switch (traffic_class) {
    case TrafficClass::control:
      return "control";
    case TrafficClass::clients:
      return "clients";
    case TrafficClass::fetches:
      return "fetches";
    case TrafficClass::backends:
      break;
  }
  return "backends";
}

Pacer::Pacer(base::Clock& clock, base::Tasks& tasks, double bytes_per_second)
    : clock_(clock),
      tasks_(tasks),
      link_rate_(bytes_per_second),
      rate_(bytes_per_second * kUsableShare),
      burst_(std::max(in_ms(rate_, kBurstMs), kMinPartBytes)),
      part_bytes_(rate_ > 0
                      ? static_cast<size_t>(std::clamp(in_ms(rate_, kPartMs), kMinPartBytes, kMaxPartBytes))
                      : SIZE_MAX),
      tokens_(burst_),
      refilled_at_(clock.now()) {}

Duration Pacer::uncontended_time(size_t bytes) const {
  if (rate_ <= 0) return Duration(0);
  return Duration(static_cast<int64_t>(static_cast<double>(bytes) / rate_ * kMsPerSecond));
}

TimePoint Pacer::completion(const Transfer& transfer) const {
  return transfer.since + uncontended_time(transfer.remaining);
}

void Pacer::refill(TimePoint now) {
  const double earned = in_ms(rate_, static_cast<double>((now - refilled_at_).count()));
  const double paid = std::min(debt_, earned * kUnpacedShare);
  debt_ -= paid;
  tokens_ = std::min(burst_, tokens_ + earned - paid);
  refilled_at_ = now;
}

void Pacer::take_tokens(TrafficClass traffic_class, size_t bytes) {
  count(traffic_class, bytes);
  if (rate_ > 0) tokens_ -= static_cast<double>(bytes);
}

void Pacer::count(TrafficClass traffic_class, size_t bytes) {
  auto& refunded = refunded_[index(traffic_class)];
  const size_t counted_before = std::min(bytes, refunded);
  refunded -= counted_before;
  counts_[index(traffic_class)].bytes += bytes - counted_before;
}

Duration Pacer::time_until_tokens() const {
  const double lacking = std::max(0.0, -tokens_);
  const double ms_at_full_rate = (debt_ + lacking) / rate_ * kMsPerSecond;
  const double ms_beside_debt = lacking / (rate_ * (1 - kUnpacedShare)) * kMsPerSecond;
  return Duration(1 + static_cast<int64_t>(std::min(ms_at_full_rate, ms_beside_debt)));
}

void Pacer::wake_first() {
  if (!waiters_.empty()) waiters_.begin()->second.condition->notify();
}

bool Pacer::acquire(const Transfer& transfer, size_t bytes, Duration limit,
                    const base::CancellationPtr& cancellation) {
  const TimePoint now = clock_.now();
  std::unique_lock lock(mutex_);
  if (rate_ <= 0) return take_tokens(transfer.traffic_class, bytes), true;
  refill(now);
  const TimePoint key = completion(transfer);
  if (tokens_ > 0 && (waiters_.empty() || key < waiters_.begin()->first))
    return take_tokens(transfer.traffic_class, bytes), true;
  const auto place = waiters_.emplace(key, Waiter{transfer, tasks_.condition()});
  auto& counts = counts_[index(transfer.traffic_class)];
  ++counts.waits;
  counts.waiting_bytes += transfer.remaining;
  const bool granted = await_turn(place, bytes, now + limit, cancellation, lock);
  counts.wait_ms += static_cast<uint64_t>((clock_.now() - now).count());
  counts.waiting_bytes -= transfer.remaining;
  counts.given_up += !granted;
  waiters_.erase(place);
  wake_first();
  return granted;
}

bool Pacer::await_turn(Waiters::iterator place, size_t bytes, TimePoint end,
                       const base::CancellationPtr& cancellation, std::unique_lock<std::mutex>& lock) {
  const auto condition = place->second.condition;
  const base::CancellationSubscription subscription(cancellation, [condition] { condition->notify(); });
  for (;;) {
    const TimePoint now = clock_.now();
    if (now >= end || base::is_cancelled(cancellation)) return false;
    refill(now);
    const bool is_first = place == waiters_.begin();
    if (is_first && tokens_ > 0) {
      take_tokens(place->second.transfer.traffic_class, bytes);
      return true;
    }
    const Duration wait = is_first ? std::min(time_until_tokens(), end - now) : end - now;
    lock.unlock();
    condition->wait(wait);
    lock.lock();
  }
}

void Pacer::charge(TrafficClass traffic_class, size_t bytes) {
  const TimePoint now = clock_.now();
  const std::lock_guard lock(mutex_);
  refill(now);
  count(traffic_class, bytes);
  const double from_tokens = std::clamp(tokens_, 0.0, static_cast<double>(bytes));
  tokens_ -= from_tokens;
  debt_ = std::min(debt_ + static_cast<double>(bytes) - from_tokens, in_ms(rate_, kMaxDebtMs));
}

void Pacer::refund(TrafficClass traffic_class, size_t bytes) {
  const std::lock_guard lock(mutex_);
  refunded_[index(traffic_class)] += bytes;
  if (rate_ > 0) tokens_ = std::min(burst_, tokens_ + static_cast<double>(bytes));
}

Duration Pacer::expected_time(size_t bytes) const {
  if (rate_ <= 0) return Duration(0);
  const TimePoint now = clock_.now();
  const std::lock_guard lock(mutex_);
  const TimePoint key = completion({TrafficClass::clients, now, bytes});
  double ahead = static_cast<double>(bytes) + debt_ - tokens_ -
                 in_ms(rate_, static_cast<double>((now - refilled_at_).count()));
  for (auto waiter = waiters_.begin(); waiter != waiters_.end() && waiter->first <= key; ++waiter)
    ahead += static_cast<double>(waiter->second.transfer.remaining);
  return Duration(static_cast<int64_t>(std::max(0.0, ahead) / rate_ * kMsPerSecond));
}

TrafficCountsByClass Pacer::counts() const {
  const std::lock_guard lock(mutex_);
  return counts_;
}

}  // namespace dunlinwing::link
