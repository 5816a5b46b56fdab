// Transfers of bodies between nodes part by part, and revalidation of cached bodies.
#include "proxy/cached_response_rules.hpp"
#include "proxy/outgoing_transfers.hpp"
#include "support/manual_ports.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
pb::ReadBody read_of(uint64_t transfer, uint64_t offset, uint64_t bytes) {
  pb::ReadBody request;
  request.set_transfer(transfer);
  request.set_offset(offset);
  request.set_bytes(bytes);
  return request;
}

struct TransferFixture {
  ManualClock clock;
  CountingRandom random;
  proxy::OutgoingTransfers transfers{random};

  uint64_t begin(const std::string& body) { return transfers.begin(body, clock.now()); }
  pb::BodyPart read(uint64_t transfer, uint64_t offset, uint64_t bytes) {
    return transfers.read(read_of(transfer, offset, bytes), clock.now());
  }
};

void parts_are_of_the_body_that_was_begun() {
  TransferFixture fixture;
  const auto first = fixture.begin("0123456789"), second = fixture.begin("abcdefghij");
  expect(first != second, "transfer numbers are unique");
  same(fixture.read(first, 2, 4).data(), std::string("2345"), "a part of the first");
  same(fixture.read(second, 2, 4).data(), std::string("cdef"), "a part of the second");
  same(fixture.read(first, 6, 100).data(), std::string("6789"), "the end");
  expect(fixture.read(first, 6, 4).unknown_transfer(), "a transfer is over after its last part");
}

void nothing_is_read_of_an_unknown_transfer() {
  TransferFixture fixture;
  const auto known = fixture.begin("0123456789");
  expect(fixture.read(known + 1, 0, 4).unknown_transfer(), "a number that was never issued");
  expect(fixture.read(known, 11, 4).unknown_transfer(), "beyond the end");
}

void idle_transfers_end() {
  TransferFixture fixture;
  const auto idle = fixture.begin("0123456789");
  fixture.clock.sleep(Duration(20000));
  const auto young = fixture.begin("0123456789");
  fixture.transfers.evict_idle(fixture.clock.now());
  expect(fixture.read(idle, 0, 4).unknown_transfer(), "an idle transfer ends");
  expect(!fixture.read(young, 0, 4).unknown_transfer(), "a new transfer remains");
}

void only_the_same_strong_tag_confirms() {
  const base::Response stored{200, {{"ETag", "\"v1\""}}, "body"};
  const base::Response weak{200, {{"ETag", "W/\"v1\""}}, "body"};
  expect(proxy::revalidates({304, {{"ETag", "\"v1\""}}, {}}, stored), "the same tag");
  expect(!proxy::revalidates({304, {{"ETag", "\"v2\""}}, {}}, stored), "another tag");
  expect(!proxy::revalidates({304, {}, {}}, stored), "no tag");
  expect(!proxy::revalidates({200, {{"ETag", "\"v1\""}}, "body"}, stored), "a response with a body");
  expect(!proxy::revalidates({304, {{"ETag", "W/\"v1\""}}, {}}, weak),
         "a weak tag does not guarantee identical bytes");
}
void a_confirmation_refreshes_without_growing() {
  const base::Response stored{200, {{"ETag", "\"v1\""}, {"Via", "1.1 a"}, {"Age", "7"}}, "body"};
  const base::Response confirmation{304, {{"ETag", "\"v1\""}, {"Cache-Control", "max-age=9"}}, {}};
  const auto once = proxy::refreshed(stored, confirmation), twice = proxy::refreshed(once, confirmation);
  same(twice.headers.size(), once.headers.size(), "headers after a second confirmation");
  same(base::header(once.headers, "Cache-Control"), std::string("max-age=9"),
       "the value in the 304 response");
  same(base::header(once.headers, "Age"), std::string(), "the Age of the first response is removed");
  same(once.body, stored.body, "the body");
}
}  // namespace

std::vector<Case> transfer_cases() {
  return {{"transfer: all parts belong to the body for which it began", parts_are_of_the_body_that_was_begun},
          {"transfer: reads of an unknown transfer are rejected", nothing_is_read_of_an_unknown_transfer},
          {"transfer: an idle transfer ends", idle_transfers_end},
          {"cache: only the same strong tag confirms a body", only_the_same_strong_tag_confirms},
          {"cache: revalidation updates a response without adding headers",
           a_confirmation_refreshes_without_growing}};
}

}  // namespace dunlinwing::test
