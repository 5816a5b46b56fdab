#include "net/request_memory.hpp"

#include <algorithm>
#include <atomic>

namespace dunlinwing::net {
namespace {
constexpr size_t kFieldBytes = 320;            // a field of a head, with its copies
constexpr size_t kHeadCopies = 5;              // of a head's text
constexpr size_t kTrailerBytes = 96;           // a trailer, which the parser alone holds
constexpr size_t kMinFieldBytes = 4;           // of a field's text: name, colon and line break
constexpr size_t kHandlingBytes = 48 << 10;    // buffers and bookkeeping, at the backend instance's side too
constexpr size_t kBodyBufferBytes = 32 << 10;  // in which a body is read
constexpr size_t kDocumentFactor = 6;   // what a JSON document takes of its text's size when it is parsed
constexpr size_t kDocumentDivisor = 2;  // a document needs no more than this part of the bulk uses' limit
constexpr size_t kMaxSmallHead = kHandlingBytes + (32 << 10);
constexpr size_t kMaxSmallBody = kBodyBufferBytes + (64 << 10);
constexpr size_t kMaxSmallDocument = kDocumentFactor * (64 << 10);

std::atomic<size_t> all_bodies{0};  // bytes, of all requests in this process
}  // namespace

RequestMemory::RequestMemory(base::MemoryAccount& account, base::MemoryUse small_use)
    : account_(account),
      small_use_(small_use),
      head_(account, small_use),
      body_(account, small_use),
      document_(account, small_use) {}

RequestMemory::~RequestMemory() { all_bodies -= of_all_bodies_; }

void RequestMemory::count_head(std::string_view parsed) {
  head_lines_ += static_cast<size_t>(std::count(parsed.begin(), parsed.end(), '\n'));
  head_bytes_ += parsed.size();
}

bool RequestMemory::reserve_head(size_t trailer_bytes) {
  const size_t head = head_lines_ * kFieldBytes + head_bytes_ * kHeadCopies;
  const size_t trailers = trailer_bytes / kMinFieldBytes * kTrailerBytes;
  return grow(head_, kHandlingBytes + head + trailers, kMaxSmallHead);
}

bool RequestMemory::reserve_body(size_t bytes, size_t of_all) {
  if (bytes == 0) return true;
  return reserve_of_all(bytes, of_all) && grow(body_, kBodyBufferBytes + bytes, kMaxSmallBody);
}

bool RequestMemory::reserve_document(size_t body_bytes) {
  const size_t most = account_.limit(base::MemoryUse::bulk) / kDocumentDivisor;
  return grow(document_, std::min(body_bytes * kDocumentFactor, most), kMaxSmallDocument);
}

base::MemoryReservation RequestMemory::take_body(size_t bytes) {
  body_.shrink_to(bytes);
  return std::move(body_);
}

bool RequestMemory::reserve_of_all(size_t bytes, size_t of_all) {
  if (bytes <= of_all_bodies_) return true;
  const size_t added = bytes - of_all_bodies_;
  if (all_bodies.fetch_add(added) + added > of_all) {
    all_bodies -= added;
    return false;
  }
  of_all_bodies_ = bytes;
  return true;
}

// A reservation that outgrows a small use becomes a bulk one.
bool RequestMemory::grow(base::MemoryReservation& reservation, size_t bytes, size_t most_as_small) {
  if (bytes > most_as_small && reservation.bytes() <= most_as_small)
    reservation = {account_, base::MemoryUse::bulk};
  return reservation.grow_to(bytes);
}

}  // namespace dunlinwing::net
