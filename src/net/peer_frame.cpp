#include "net/peer_frame.hpp"

#include <algorithm>

namespace dunlinwing::net {
namespace {
constexpr size_t kLengthBytes = 4;
constexpr uint32_t kMaxFrameBytes = 32U << 20;
constexpr size_t kFrameReadSize = 64 << 10;  // bytes read at once, at most

uint32_t decode_length(std::string_view bytes) {
  uint32_t length = 0;
  for (const char byte : bytes.substr(0, kLengthBytes))
    length = length << 8 | static_cast<unsigned char>(byte);
  return length;
}

void encode_length(uint32_t length, std::string& frame) {
  for (size_t i = 0; i < kLengthBytes; ++i) frame[i] = static_cast<char>(length >> (24 - 8 * i));
}
}  // namespace

link::TrafficClass traffic_class_of(const pb::PeerRequest& request) {
  return request.has_forward() || request.has_read_body() ? link::TrafficClass::fetches
                                                          : link::TrafficClass::control;
}

ErrorCode write_frame(Connection& connection, const google::protobuf::MessageLite& message,
                      const google::protobuf::MessageLite* more) {
  std::string frame(kLengthBytes, '\0');
  message.AppendToString(&frame);
  if (more) more->AppendToString(&frame);
  encode_length(static_cast<uint32_t>(frame.size() - kLengthBytes), frame);
  return connection.write(frame);
}

ErrorCode read_frame(Connection& connection, google::protobuf::MessageLite& message,
                     const std::function<void()>& on_progress) {
  for (size_t needed = kLengthBytes;;) {
    const auto bytes = connection.buffered();
    if (bytes.size() >= kLengthBytes) {
      const uint32_t length = decode_length(bytes);
      if (length > kMaxFrameBytes) return make_error_code(boost::system::errc::message_size);
      needed = kLengthBytes + length;
    }
    if (bytes.size() >= needed) {
      const bool parsed =
          message.ParseFromArray(bytes.data() + kLengthBytes, static_cast<int>(needed - kLengthBytes));
      connection.consume(needed);
      return parsed ? ErrorCode() : make_error_code(boost::system::errc::bad_message);
    }
    const size_t room = std::clamp(needed - bytes.size(), Connection::kReadSize, kFrameReadSize);
    if (const auto error = connection.read_more(room)) return error;
    if (on_progress) on_progress();
  }
}

}  // namespace dunlinwing::net
