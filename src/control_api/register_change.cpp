#include "control_api/register_change.hpp"

namespace dunlinwing::control_api {

base::Response apply_change(const ApiContext& context, const ApiRequest& request,
                            const RegisterChange& change) {
  auto& registers = context.node.registers();
  auto read = registers.read(change.key);
  if (auto* error = std::get_if<consensus::RegisterError>(&read)) return register_error(*error);
  auto stored = std::get<consensus::VersionedValue>(read);
  for (int i = 0; i < change.max_attempts && (i == 0 || context.ports.clock.now() < request.deadline); ++i) {
    auto decision = change.decide(stored);
    if (auto* response = std::get_if<base::Response>(&decision)) return *response;
    auto& write = std::get<RegisterWrite>(decision);
    auto written = registers.write(change.key, stored.version, write.data);
    if (auto* value = std::get_if<consensus::VersionedValue>(&written)) {
      if (change.on_written) change.on_written();
      return json_response(200, write.response_body, value->version);
    }
    if (auto* error = std::get_if<consensus::RegisterError>(&written)) return register_error(*error);
    stored = std::get<consensus::VersionConflict>(written).current;
  }
  return error_response(503, change.conflict_message);
}

}  // namespace dunlinwing::control_api
