// A register operation has its own time limit, which is longer than clients wait. It is not aborted,
// since a vote may be in flight; the client is notified in time that the outcome is unknown.
#include "control_api/majority_contact.hpp"

#include <algorithm>

namespace dunlinwing::control_api {
namespace {
// Leaves the rest of kResponseLimit for the round of a write.
constexpr Duration kLongestContact{650};
constexpr const char* kNoMajority = "no majority of the replicas answers; nothing was recorded";
}  // namespace

Duration contact_limit(Duration bound) { return std::min(bound / 3, kLongestContact); }

std::optional<base::Response> await_majority_contact(node::Node& node) {
  if (node.state_cache().await_pull(contact_limit(node.config().bound))) return {};
  return error_response(503, kNoMajority);
}

base::Response register_error(consensus::RegisterError error) {
  if (error == consensus::RegisterError::no_majority) return error_response(503, kNoMajority);
  return outcome_unknown();
}

base::Response update_error(consensus::UpdateError error) {
  if (error == consensus::UpdateError::outcome_unknown) return outcome_unknown();
  return error_response(503, kNoMajority);
}

base::Response respond_within(base::Ports& ports, Duration limit, std::function<base::Response()> work) {
  struct Pending {
    std::shared_ptr<base::Condition> done;
    std::optional<base::Response> response;
  };
  auto pending = std::make_shared<Pending>(Pending{ports.tasks.condition(), {}});
  const TimePoint end = ports.clock.now() + limit;
  ports.tasks.spawn([pending, work = std::move(work)] {
    pending->response = work();
    pending->done->notify();
  });
  while (!pending->response && ports.clock.now() < end) pending->done->wait(end - ports.clock.now());
  return pending->response ? std::move(*pending->response) : outcome_unknown();
}

}  // namespace dunlinwing::control_api
