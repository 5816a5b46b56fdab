#include "control_api/register_change.hpp"

namespace dunlinwing::control_api {

base::Response apply_change(const ApiContext& context, const ApiRequest& request,
                            const RegisterChange& change) {
  std::variant<RegisterWrite, base::Response> decision;
  consensus::RegisterUpdate update;
  update.deadline = request.deadline;
  update.may_share_version = change.may_share_version;
  update.apply = [&](const consensus::VersionedValue& stored) -> std::optional<std::string> {
    decision = change.decide(stored);
    const auto* write = as<RegisterWrite>(decision);
    return write ? std::optional(write->data) : std::nullopt;
  };
  const auto result = context.updater.update(change.key, update);
  if (const auto* error = as<consensus::UpdateError>(result))
    return *error == consensus::UpdateError::out_of_time ? error_response(503, change.conflict_message)
                                                         : update_error(*error);
  if (const auto* response = as<base::Response>(decision)) return *response;
  if (change.on_written) change.on_written();
  return json_response(200, as<RegisterWrite>(decision)->response_body,
                       as<consensus::VersionedValue>(result)->version);
}

}  // namespace dunlinwing::control_api
