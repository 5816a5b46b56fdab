/// @file
/// Changes of a register: read it from a majority, decide, compare-and-set; repeated while other writes come
/// first.
///
/// Invariant: a response to a change depends only on what a majority stores of the register, or is a 503.
/// Threads: called in fibers of the control thread; each call waits for the network.
#pragma once
#include <google/protobuf/util/message_differencer.h>

#include "control_api/api_context.hpp"
#include "control_api/majority_contact.hpp"

namespace dunlinwing::control_api {

/// What a change writes to its register.
struct RegisterWrite {
  std::string data;
  std::string response_body;  ///< JSON; sent once the data is written
};

/// A change of one register.
struct RegisterChange {
  std::string key;
  /// Whether other changes may get the same version: false where clients state preconditions on versions.
  bool may_share_version = false;
  /// The text of the 503 when other writes came first until the request's deadline.
  std::string conflict_message = "other writes came first; send it again";
  /// Returns what to write in place of the value, or the response that ends the request without a write.
  /// Called for each attempt.
  std::function<std::variant<RegisterWrite, base::Response>(const consensus::VersionedValue&)> decide;
  /// Called once the value is written; may be null.
  std::function<void()> on_written;
};

/// @return 200 with the new version once it is written; otherwise the response of `decide`, or a 503
base::Response apply_change(const ApiContext& context, const ApiRequest& request,
                            const RegisterChange& change);

/// Edits the message in a register. A change that is in force already is acknowledged, even when its
/// precondition fails, if an earlier copy of the request, whose response was lost, may have caused that
/// (RFC 9110, 13.1.1).
/// @param edit  (Message&) -> std::optional<base::Response>: edits it, or returns the response that rejects
///              the request
template <class Message, class Edit>
base::Response change_register(const ApiContext& context, const ApiRequest& request, const std::string& key,
                               Edit edit) {
  RegisterChange change;
  change.key = key;
  change.decide =
      [&](const consensus::VersionedValue& stored) -> std::variant<RegisterWrite, base::Response> {
    Message before;
    before.ParseFromString(stored.data);
    Message after = before;
    auto rejected = edit(after);
    bool in_force =
        !rejected && stored.version > 0 && google::protobuf::util::MessageDifferencer::Equals(before, after);
    if (in_force && may_be_retry(request.http, stored.version))
      return json_response(200, message_json(after), stored.version);
    if (auto failed = check_precondition(request.http, stored.version)) return *failed;
    if (rejected) return *rejected;
    return RegisterWrite{after.SerializeAsString(), message_json(after)};
  };
  return apply_change(context, request, change);
}

}  // namespace dunlinwing::control_api
