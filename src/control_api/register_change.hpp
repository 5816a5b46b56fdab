// One change of a register that holds a message: read, edit, compare-and-set.
#pragma once
#include <google/protobuf/util/message_differencer.h>

#include "control_api/majority_contact.hpp"

namespace dunlinwing::control_api {

inline constexpr int kChangeAttempts = 8;

// Edits the message in the register. `edit` returns a response to give up with one.
// A change that is in force already is acknowledged, also when only the client's own write,
// whose answer was lost, can have overtaken its precondition (RFC 9110, 13.1.1).
template <class Message, class Edit>
base::Response change_register(base::Ports& ports, node::Node& node, ApiRequest& call, const std::string& key,
                               Edit edit) {
  auto read = node.registers().read(key);
  if (auto* error = std::get_if<consensus::RegisterError>(&read)) return register_error(*error);
  auto held = std::get<consensus::VersionedValue>(read);
  for (int i = 0; i < kChangeAttempts && (i == 0 || ports.clock.now() < call.deadline); ++i) {
    Message before, after;
    before.ParseFromString(held.data);
    after = before;
    auto rejected = edit(after);
    bool in_force =
        !rejected && held.version > 0 && google::protobuf::util::MessageDifferencer::Equals(before, after);
    if (in_force && may_be_own_write(call.request, held.version))
      return json_response(200, message_json(after), held.version);
    if (auto failed = check_precondition(call.request, held.version)) return *failed;
    if (rejected) return *rejected;
    auto written = node.registers().write(key, held.version, after.SerializeAsString());
    if (auto* value = std::get_if<consensus::VersionedValue>(&written))
      return json_response(200, message_json(after), value->version);
    if (auto* error = std::get_if<consensus::RegisterError>(&written)) return register_error(*error);
    held = std::get<consensus::VersionConflict>(written).current;
  }
  return error_response(503, "other writes came first; send it again");
}

}  // namespace dunlinwing::control_api
