// The account of memory: what it grants to which use, what it asks back, and that everything is released.
#include "base/memory_account.hpp"

#include <algorithm>
#include <optional>

#include "base/body.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
using base::MemoryAccount;
using base::MemoryReservation;
using base::MemoryUse;
constexpr size_t kCapacity = 800;

void bulk_leaves_room() {
  MemoryAccount account(kCapacity);
  MemoryReservation bulk(account, MemoryUse::bulk);
  expect(bulk.grow_to(600), "six eighths for bulk");
  expect(!bulk.grow_to(601), "more for bulk");
  same(bulk.bytes(), size_t{600}, "bytes after a refusal");
  MemoryReservation ordinary(account, MemoryUse::ordinary);
  expect(ordinary.grow_to(100), "an eighth more for ordinary use");
  expect(!ordinary.grow_to(101), "more for ordinary use");
  MemoryReservation control(account, MemoryUse::control);
  expect(control.grow_to(100), "the rest for control");
  expect(!control.grow_to(101), "more than the capacity");
  same(account.refusals(), uint64_t{3}, "refusals");
}

void everything_is_released() {
  MemoryAccount account(kCapacity);
  {
    MemoryReservation one(account, MemoryUse::control);
    expect(one.grow_to(300), "a reservation");
    MemoryReservation other = std::move(one);
    expect(other.grow_to(500), "a moved one grows");
    other.shrink_to(400);
    same(account.used(), size_t{400}, "bytes in use");
    other = MemoryReservation(account, MemoryUse::bulk);
    same(account.used(), size_t{0}, "bytes in use after the assignment");
    expect(other.grow_to(10), "a reservation for another use");
  }
  same(account.used(), size_t{0}, "bytes in use at the end");
}

void cached_responses_give_way() {
  MemoryAccount account(kCapacity);
  MemoryReservation cached(account, MemoryUse::bulk);
  expect(cached.grow_to(500), "cached responses");
  size_t asked = 0;
  account.set_reclaimer([&](size_t bytes) {
    asked += bytes;
    cached.shrink_to(cached.bytes() - std::min(bytes, cached.bytes()));
  });
  MemoryReservation body(account, MemoryUse::bulk);
  expect(body.grow_to(300), "a body in their place");
  same(asked, size_t{300}, "bytes asked back");
  MemoryReservation too_large(account, MemoryUse::bulk);
  expect(!too_large.grow_to(kCapacity), "more than there is at all");
  same(asked, size_t{300}, "bytes asked back for what can't be granted");
  account.set_reclaimer(nullptr);
}

void copies_of_a_body_share_its_memory() {
  MemoryAccount account(kCapacity);
  std::optional<base::Body> last;
  {
    MemoryReservation reservation(account, MemoryUse::bulk);
    expect(reservation.grow_to(100), "a reservation");
    const base::Body body(std::string(100, 'x'), std::move(reservation));
    last = body;
    expect(&last->text() == &body.text(), "a copy holds the same bytes");
    same(account.used(), size_t{100}, "bytes in use");
  }
  same(account.used(), size_t{100}, "bytes in use while a copy is left");
  last.reset();
  same(account.used(), size_t{0}, "bytes in use without a copy");
}

void without_a_limit_everything_is_granted() {
  MemoryReservation reservation(MemoryAccount::unlimited(), MemoryUse::bulk);
  expect(reservation.grow_to(SIZE_MAX / 2), "half of the address space");
}
}  // namespace

std::vector<Case> memory_account_cases() {
  return {{"memory: bulk uses leave room for ordinary ones, and these for control", bulk_leaves_room},
          {"memory: what was reserved is released once", everything_is_released},
          {"memory: cached responses give way", cached_responses_give_way},
          {"memory: copies of a body share its memory", copies_of_a_body_share_its_memory},
          {"memory: without a limit everything is granted", without_a_limit_everything_is_granted}};
}

}  // namespace dunlinwing::test
