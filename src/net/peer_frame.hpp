/// @file
/// Frames between nodes: a four-byte big-endian length, then one protobuf message.
#pragma once
#include "link/pacer.hpp"
#include "net/connection.hpp"
#include "wire.pb.h"

namespace dunlinwing::net {

/// The traffic class of a call and its response, which decides its priority on the link.
link::TrafficClass traffic_class_of(const pb::PeerRequest& request);

/// Writes a frame with a message and the appended fields of another, which the reader parses as one message.
/// @param more  the second message; may be null
ErrorCode write_frame(Connection& connection, const google::protobuf::MessageLite& message,
                      const google::protobuf::MessageLite* more = nullptr);

/// Reads one frame; suspends the calling fiber until it is complete.
/// @param on_progress  called whenever bytes have been received that may not complete it yet
/// @return message_size when the frame is too long, bad_message when it can't be parsed
ErrorCode read_frame(Connection& connection, google::protobuf::MessageLite& message,
                     const std::function<void()>& on_progress = {});

}  // namespace dunlinwing::net
