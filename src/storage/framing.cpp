#include "storage/framing.hpp"

#include <boost/crc.hpp>

namespace dunlinwing::storage {
namespace {
constexpr uint32_t kFrameMark = 0x64774c31;
constexpr size_t kLengthOffset = 4, kPayloadChecksumOffset = 8, kHeadChecksumOffset = 12;

// CRC-32C.
uint32_t checksum(std::string_view bytes) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

void append_uint32(std::string& bytes, uint32_t value) {
  for (int i = 0; i < 4; ++i) bytes.push_back(static_cast<char>(value >> (8 * i)));
}

uint32_t uint32_at(std::string_view bytes, size_t at) {
  uint32_t value = 0;
  for (size_t i = 0; i < 4; ++i)
    value |= static_cast<uint32_t>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
  return value;
}

bool is_head_at(std::string_view bytes, size_t at) {
  return uint32_at(bytes, at) == kFrameMark &&
         uint32_at(bytes, at + kHeadChecksumOffset) == checksum(bytes.substr(at, kHeadChecksumOffset));
}

// A torn write may leave zeros or part of one head; a complete head further on means that records that were
// synced follow the damage.
bool has_later_head(std::string_view bytes) {
  for (size_t at = 1; at + kFrameHeadBytes <= bytes.size(); ++at)
    if (is_head_at(bytes, at)) return true;
  return false;
}

}  // namespace

std::string frame(const std::string& payload) {
  std::string bytes;
  append_uint32(bytes, kFrameMark);
  append_uint32(bytes, static_cast<uint32_t>(payload.size()));
  append_uint32(bytes, checksum(payload));
  append_uint32(bytes, checksum(bytes));
  return bytes + payload;
}

Unframed unframe(std::string_view bytes) {
  Unframed result;
  while (!bytes.empty()) {
    result.tail = Tail::torn;
    if (bytes.size() < kFrameHeadBytes) return result;
    if (!is_head_at(bytes, 0)) {
      if (has_later_head(bytes)) result.tail = Tail::corrupt;
      return result;
    }
    const size_t end = kFrameHeadBytes + uint32_at(bytes, kLengthOffset);
    if (bytes.size() < end) return result;
    const auto payload = bytes.substr(kFrameHeadBytes, end - kFrameHeadBytes);
    if (checksum(payload) != uint32_at(bytes, kPayloadChecksumOffset)) {
      if (bytes.size() != end) result.tail = Tail::corrupt;
      return result;
    }
    result.payloads.emplace_back(payload);
    bytes.remove_prefix(end);
  }
  result.tail = Tail::clean;
  return result;
}

}  // namespace dunlinwing::storage
