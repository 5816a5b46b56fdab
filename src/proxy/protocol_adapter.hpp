// The words that are spoken to callers and to workers: how a request names itself
// and its time, what a shot carries, what a worker's answer says, and how a caller
// is told that nothing ran or that nobody knows. One implementation is chosen at
// start; it only translates, and keeps nothing.
#pragma once
#include "base/ports.hpp"
#include "proxy/routing_snapshot.hpp"

namespace dunlinwing::proxy {

// What a worker's answer is. `elsewhere`: another than the one meant stands there;
// it did not run the request. `broken`: not the meant worker's whole answer.
enum class ResponseClass { good, failed, not_executed, wrong_instance, invalid };

// How far a request got that ends with an answer of our own.
enum class ExecutionStatus { none, not_executed, unknown };

struct RequestIdentity {
  std::string id;                     // by which worker and caller know the request
  std::optional<Duration> remaining;  // that the caller will wait, when it says so
};

struct BackendLoad {
  int running = 0, waiting = 0, slots = 0;  // slots: 0 when not told
};

struct AttemptContext {
  const membership::BackendInstance& instance;
  std::string entry_node;
  uint64_t generation = 0;
  Duration remaining{0};
};

class ProtocolAdapter {
 public:
  virtual ~ProtocolAdapter() = default;
  virtual RequestIdentity read_identity(const base::Request& request, base::Random& random) const = 0;
  virtual void prepare_request(base::Request& request, const AttemptContext& d) const = 0;
  virtual ResponseClass classify(const base::Response& response, const membership::BackendInstance& instance,
                                 const base::Request& request) const = 0;
  virtual bool is_response_to(const base::Response& response,
                              const std::string& id) const = 0;  // whether it answers this request
  virtual bool names_no_request(
      const base::Response& response) const = 0;  // whether it names no request at all
  virtual std::optional<BackendLoad> reported_load(const base::Response& response) const = 0;
  virtual std::vector<std::string> cache_tags(
      const base::Response& response) const = 0;  // under which a receipt may be purged
  virtual void strip_internal_headers(
      base::Response& response) const = 0;  // takes out what a worker said to us alone
  // An answer of our own. `back`: when it makes sense to come back, if it does.
  virtual base::Response local_response(int status, const std::string& why, ExecutionStatus o,
                                        std::optional<Duration> back) const = 0;
  // Last touches on whatever goes to the caller who asked under `id`. Generation 0: none decided it.
  virtual void finish_response(base::Response& response, const std::string& id,
                               uint64_t generation) const = 0;
};

// The product's own words: headers that begin with Dunlinwing-.
std::unique_ptr<ProtocolAdapter> native_protocol_adapter();

// A part of a representation (206) or a bare confirmation (304) in answer to a request that
// asked for neither: it does not stand for the whole.
bool is_unrequested_partial(const base::Request& request, const base::Response& response);

// Headers that belong to one connection only, taken out.
void strip_hop_by_hop(base::Headers& headers);

}  // namespace dunlinwing::proxy
