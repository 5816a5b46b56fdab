/// @file
/// The account of the memory that requests and responses take in this process: connections, heads, bodies,
/// and cached responses. What others decide the size of is reserved here before it is allocated, so that the
/// sum stays below the account's capacity whatever clients send and however slowly they read.
///
/// Invariants: every reserved byte is released exactly once, by the reservation that holds it. Bulk
/// reservations leave a part of the capacity to ordinary ones, and ordinary ones leave a part to control, so
/// that large requests fail before small ones and control goes on.
/// Threads: every function may be called from any thread.
#pragma once
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>

namespace dunlinwing::base {

/// What a reservation is for; the later ones may use more of the capacity.
enum class MemoryUse {
  bulk,      ///< bodies
  ordinary,  ///< connections, heads, and what the handling of a small request takes
  control,   ///< calls of operators and backend instances
};

class MemoryAccount {
 public:
  /// @param capacity  in bytes; SIZE_MAX: no limit
  explicit MemoryAccount(size_t capacity = SIZE_MAX) : capacity_(capacity) {}
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  /// Reserves the bytes if they fit; otherwise asks the reclaimer to free memory and tries once more.
  /// @return whether they are reserved
  [[nodiscard]] bool reserve(size_t bytes, MemoryUse use);
  void release(size_t bytes) { used_ -= bytes; }

  /// Sets the function that frees memory which can be had again, such as cached responses.
  /// @param reclaim  called with a number of bytes, on any thread and without locks; null: none
  void set_reclaimer(std::function<void(size_t bytes)> reclaim);

  /// The bytes that may be reserved in total for this use.
  size_t limit(MemoryUse use) const;
  size_t used() const { return used_; }

  /// The number of reservations that were refused so far.
  uint64_t refusals() const { return refusals_; }

  /// An account without a limit, for what is not counted.
  static MemoryAccount& unlimited();

 private:
  bool try_reserve(size_t bytes, size_t limit);
  void reclaim(size_t bytes);

  const size_t capacity_;
  std::atomic<size_t> used_{0};
  std::atomic<uint64_t> refusals_{0};
  std::mutex mutex_;  ///< guards reclaimer_
  std::function<void(size_t)> reclaimer_;
};

/// Bytes reserved from an account, released when this object is destroyed. Not shared between threads.
class MemoryReservation {
 public:
  /// Holds nothing, and everything is granted.
  MemoryReservation() = default;
  MemoryReservation(MemoryAccount& account, MemoryUse use) : account_(&account), use_(use) {}
  MemoryReservation(MemoryReservation&& other) noexcept;
  MemoryReservation& operator=(MemoryReservation&& other) noexcept;
  ~MemoryReservation() { clear(); }

  /// Reserves more bytes, up to the given total.
  /// @return false when they are not granted; the reservation is then unchanged
  [[nodiscard]] bool grow_to(size_t bytes);
  /// Releases the bytes beyond the given total.
  void shrink_to(size_t bytes);
  void clear() { shrink_to(0); }
  size_t bytes() const { return bytes_; }

 private:
  MemoryAccount* account_ = nullptr;  ///< null: nothing is counted
  MemoryUse use_ = MemoryUse::bulk;
  size_t bytes_ = 0;
};

}  // namespace dunlinwing::base
