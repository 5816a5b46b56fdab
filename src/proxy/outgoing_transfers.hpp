/// @file
/// The transfers of bodies that other nodes read from this node part by part.
///
/// Invariants: a transfer's body never changes, even if its cache entry is replaced or evicted. Transfer
/// numbers are not reused and start at a random one, so that a number issued before a restart is not valid
/// after it.
/// Threads: every function may be called from any thread; the one lock is a leaf.
#pragma once
#include <map>
#include <mutex>

#include "base/ports.hpp"

namespace dunlinwing::proxy {

class OutgoingTransfers {
 public:
  explicit OutgoingTransfers(base::Random& random) : next_(random.draw() / 2 + 1) {}

  /// @return the number of the transfer; never 0
  uint64_t begin(base::Body body, TimePoint now);

  /// Returns the requested part, which is shorter at the end of the body. Reading the last part ends the
  /// transfer.
  pb::BodyPart read(const pb::ReadBody& request, TimePoint now);

  /// Ends the transfers whose last read is longer ago than the idle timeout.
  void evict_idle(TimePoint now);

 private:
  struct Transfer {
    base::Body body;
    TimePoint read_at{0};
  };

  std::mutex mutex_;  // guards all below
  std::map<uint64_t, Transfer> transfers_;
  uint64_t next_;
};

}  // namespace dunlinwing::proxy
