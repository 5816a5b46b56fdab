#include "membership/pull_responder.hpp"

namespace dunlinwing::membership {

pb::PullResponse PullResponder::respond(const pb::PullRequest& request, TimePoint now) {
  pb::PullResponse response;
  if (request.has_own_status()) statuses_.merge(request.own_status(), now);
  statuses_.record_requester_versions(request.known_versions(), now);
  if (acceptor_)
    acceptor_->append_changes({request.boot_id(), request.position()}, request.held(), request.max_bytes(),
                              response);
  else
    response.set_non_voting(true);
  add_statuses(request, now, response);
  add_version_of_requester(request, response);
  return response;
}

// Adds the statuses that the requester lacks, up to its size limit; it requests the rest in the next pull.
void PullResponder::add_statuses(const pb::PullRequest& request, TimePoint now,
                                 pb::PullResponse& response) const {
  auto bytes = response.ByteSizeLong();
  for (const auto& status : statuses_.since(request.known_versions(), now)) {
    bytes += status.ByteSizeLong();
    if (request.max_bytes() && bytes > request.max_bytes() && response.statuses_size() > 0)
      return response.set_more(true);
    *response.add_statuses() = status;
  }
}

// Reports to the requester the latest version of its status that is known here, so that after a restart it
// can choose an incarnation, or raise one that is too low.
void PullResponder::add_version_of_requester(const pb::PullRequest& request,
                                             pb::PullResponse& response) const {
  auto known = statuses_.known_version(request.node());
  if (!known || (request.has_own_status() && !is_newer(*known, request.own_status().version()))) return;
  auto* status = response.add_statuses();
  status->set_source(request.node());
  *status->mutable_version() = *known;
  status->set_age_ms(static_cast<uint64_t>(session_.count()) * 2);  // too old for a session
}

}  // namespace dunlinwing::membership
