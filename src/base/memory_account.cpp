#include "base/memory_account.hpp"

#include <utility>

namespace dunlinwing::base {
namespace {
// Of the capacity, in eighths.
constexpr size_t kParts = 8;
constexpr size_t kBulkParts = 6;
constexpr size_t kOrdinaryParts = 7;
}  // namespace

size_t MemoryAccount::limit(MemoryUse use) const {
  if (capacity_ == SIZE_MAX || use == MemoryUse::control) return capacity_;
  return capacity_ / kParts * (use == MemoryUse::bulk ? kBulkParts : kOrdinaryParts);
}

bool MemoryAccount::try_reserve(size_t bytes, size_t limit) {
  size_t used = used_;
  do {
    if (bytes > limit || used > limit - bytes) return false;
  } while (!used_.compare_exchange_weak(used, used + bytes));
  return true;
}

bool MemoryAccount::reserve(size_t bytes, MemoryUse use) {
  const size_t most = limit(use);
  if (try_reserve(bytes, most)) return true;
  if (bytes <= most) {
    reclaim(bytes);
    if (try_reserve(bytes, most)) return true;
  }
  ++refusals_;
  return false;
}

void MemoryAccount::reclaim(size_t bytes) {
  std::function<void(size_t)> reclaimer;
  {
    const std::lock_guard lock(mutex_);
    reclaimer = reclaimer_;
  }
  if (reclaimer) reclaimer(bytes);
}

void MemoryAccount::set_reclaimer(std::function<void(size_t bytes)> reclaim) {
  const std::lock_guard lock(mutex_);
  reclaimer_ = std::move(reclaim);
}

MemoryAccount& MemoryAccount::unlimited() {
  static MemoryAccount account;
  return account;
}

MemoryReservation::MemoryReservation(MemoryReservation&& other) noexcept
    : account_(other.account_), use_(other.use_), bytes_(std::exchange(other.bytes_, 0)) {}

MemoryReservation& MemoryReservation::operator=(MemoryReservation&& other) noexcept {
  if (this == &other) return *this;
  clear();
  account_ = other.account_;
  use_ = other.use_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

bool MemoryReservation::grow_to(size_t bytes) {
  if (!account_ || bytes <= bytes_) return true;
  if (!account_->reserve(bytes - bytes_, use_)) return false;
  bytes_ = bytes;
  return true;
}

void MemoryReservation::shrink_to(size_t bytes) {
  if (!account_ || bytes >= bytes_) return;
  account_->release(bytes_ - bytes);
  bytes_ = bytes;
}

}  // namespace dunlinwing::base
