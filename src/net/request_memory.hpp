/// @file
/// The memory that a request takes from its first byte until its response is written: its head, in the parser
/// and in the copies that the proxy makes, its body, and the buffers of its handling.
///
/// Invariant: what is reserved is at least what the request takes, as far as it was read.
/// Threads: used only by the connection's fiber; the limit on all bodies together counts over all threads.
#pragma once
#include <string_view>

#include "base/memory_account.hpp"

namespace dunlinwing::net {

class RequestMemory {
 public:
  /// @param small_use  what a small request uses memory as; a large head or body is a bulk use
  RequestMemory(base::MemoryAccount& account, base::MemoryUse small_use);
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;
  ~RequestMemory();

  /// Counts a further part of the head.
  void count_head(std::string_view parsed);

  /// Reserves what the head takes that was counted so far.
  /// @param trailer_bytes  the most that trailers may have which are not complete; 0: there are none
  [[nodiscard]] bool reserve_head(size_t trailer_bytes);

  /// Reserves a body and the buffer that it is read with.
  /// @param bytes   in total
  /// @param of_all  limit on the bodies of all requests of this process together
  [[nodiscard]] bool reserve_body(size_t bytes, size_t of_all);

  /// Reserves what a document takes that is parsed from a body, on top of the body.
  [[nodiscard]] bool reserve_document(size_t body_bytes);

  /// Hands over the reservation of a body that has been read, reduced to its size.
  base::MemoryReservation take_body(size_t bytes);

 private:
  bool reserve_of_all(size_t bytes, size_t of_all);
  bool grow(base::MemoryReservation& reservation, size_t bytes, size_t most_as_small);

  base::MemoryAccount& account_;
  const base::MemoryUse small_use_;
  base::MemoryReservation head_;
  base::MemoryReservation body_;
  base::MemoryReservation document_;
  size_t of_all_bodies_ = 0;  ///< this request's part of the limit on all bodies
  size_t head_lines_ = 0;
  size_t head_bytes_ = 0;
};

}  // namespace dunlinwing::net
