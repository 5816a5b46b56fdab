/// @file
/// The traffic of a soak run and its verification: backend instances and clients with persistent connections
/// in this process, and a record of the outcome of each request.
///
/// Violations:
/// - a request that an instance executed gets no response although its relay was not killed and its client
///   did not leave; a relay that received SIGTERM is no exception;
/// - a non-idempotent request is executed twice, or although its client was told that it was not executed;
/// - a response under a configuration older than one that was acknowledged the propagation bound before the
///   request was sent, or older than one that the same relay process had used before;
/// - a running relay does not respond in time;
/// - an invalid order is taken, or has no clear answer (4xx) in time;
/// - half a second after their clients left early, instances still execute more than a quarter of the
///   idempotent requests; or a running relay cancels a non-idempotent request of such a client during
///   execution.
///
/// Thread safety: used only by the single event loop of the soak program.
#pragma once
#include <deque>
#include <map>
#include <random>
#include <set>

#include "fleet/soak_fleet.hpp"
#include "fleet/troubled_backend.hpp"
#include "net/connection.hpp"
#include "net/http.hpp"

namespace dunlinwing::test {

struct SoakFigures {
  uint64_t requests = 0;
  uint64_t answered = 0;                ///< responses with a status below 400
  uint64_t refused = 0;                 ///< responses with 429 or 503
  uint64_t other = 0;                   ///< responses with another status
  uint64_t cacheable = 0;               ///< answered requests for cacheable objects
  uint64_t fetches = 0;                 ///< requests for cacheable objects that reached the instances
  uint64_t cut_unread = 0;              ///< the connection ended and no instance had received the request
  uint64_t cut_by_kill = 0;             ///< the connection ended because the relay was killed
  uint64_t late_cuts = 0;               ///< of `cut_unread`: more than 200 ms after the request was sent
  uint64_t connections = 0;             ///< opened by clients
  uint64_t left = 0;                    ///< requests whose clients left before the response
  uint64_t left_runs = 0;               ///< of `left`: idempotent requests that were executed
  uint64_t left_runs_continued = 0;     ///< of `left_runs`: still executing 500 ms after the client left
  uint64_t changes = 0;                 ///< acknowledged configuration changes
  uint64_t purges = 0;                  ///< acknowledged purges
  uint64_t invalid_orders = 0;          ///< invalid orders that got a clear answer
  uint64_t troubles = 0;                ///< requests that met a trouble at a backend instance
  uint64_t hostile_connections = 0;     ///< opened by clients that don't behave
  uint64_t declined_once = 0;           ///< non-idempotent requests that were refused with a promise
  std::vector<std::string> violations;  ///< descriptions of the violations
};

class SoakTraffic {
 public:
  /// @param troubled_percent  of the requests go to the service whose instances are in trouble
  SoakTraffic(net::EventLoopPool& pool, SoakFleet& fleet, uint64_t seed, int first_port,
              unsigned troubled_percent);

  /// Starts backend instances, which serve requests and send heartbeats until the process ends.
  void start_backends();

  /// Starts clients, each of which sends requests until stop().
  void start_clients(int count);

  /// Starts clients that don't behave, until stop(). Their requests are not verified.
  void start_hostile_clients(int count);

  /// Ends each client after its current request; suspends the calling fiber until all have ended.
  void stop();

  /// Ends the connections of a troubled instance, which continues under another name at its address.
  void restart_instance(uint64_t number);

  /// Sends the next configuration to random relays until one acknowledges it.
  /// @return whether it was acknowledged within kOperatorTries
  bool change_configuration();

  /// Sends the purge of an object to random relays until one acknowledges it.
  /// @param number  of the purge, from which the object and the relays are drawn
  /// @return whether it was acknowledged within kOperatorTries
  bool purge_object(uint64_t number);

  /// Sends an invalid order to random relays until one refuses it.
  /// @param number  of the order, from which its form and the relays are drawn
  void send_invalid_order(uint64_t number);

  /// Reads the configuration back from every relay and verifies that it is the newest one.
  void read_back();

  /// Records a violation.
  void report(std::string what);

  const SoakFigures& figures() const { return figures_; }

 private:
  struct Sent {
    std::string id;
    SoakRelay* relay = nullptr;
    int start_count = 0;
    bool non_idempotent = false;  ///< not idempotent: may be executed only once
    bool leaves = false;          ///< its client does not wait for the response
    TimePoint at{0};
    std::string
        cacheable_path;     ///< path of the requested cacheable object; empty: the request is not cacheable
    bool troubled = false;  ///< for the service whose instances are in trouble
  };

  base::Response answer(base::Request& request, const std::string& service, const std::string& instance);
  void count_fetch();
  void start_troubled_backends();
  void send_heartbeats(const std::string& service, const std::function<std::string()>& instance,
                       const std::string& address);
  void run_client(int number);
  void run_hostile_client(int number);
  void execute_abandoned(const base::Request& request, const std::string& id);
  void leave_early(net::Connection& connection, const Sent& sent, std::mt19937_64& random);
  static std::string request_bytes(const Sent& sent);
  void verify_abandoned();
  void verify_refused();
  SoakRelay* choose_relay(std::mt19937_64& random);
  bool send_until_acknowledged(const base::Request& order, std::mt19937_64& random);
  int send_until_answered(const base::Request& order, std::mt19937_64& random,
                          const std::function<bool(int)>& is_answer);
  bool exchange(net::Connection& connection, const Sent& sent);
  void verify_response(const Sent& sent, int status, uint64_t generation);
  void verify_cacheable(const Sent& sent, const std::string& body);
  void verify_cut(const Sent& sent, bool timed_out);
  uint64_t oldest_allowed(TimePoint sent_at) const;

  net::EventLoopPool& pool_;
  SoakFleet& fleet_;
  uint64_t seed_;
  int first_port_;
  unsigned troubled_percent_;
  net::SystemClock clock_;
  net::HttpClient http_{4U << 20};
  std::vector<std::unique_ptr<net::HttpServer>> backends_;
  std::vector<std::unique_ptr<TroubledBackend>> troubled_backends_;
  std::map<std::string, int> executions_;       ///< executions at instances, by request
  std::vector<Sent> refused_once_;              ///< non-idempotent requests that were refused with a promise
  std::deque<TimePoint> fetched_at_;            ///< fetches within the last kRateWindow
  std::map<std::string, TimePoint> left_at_;    ///< time when the client left, by request
  std::map<TimePoint, uint64_t> acknowledged_;  ///< highest configuration number, by time of acknowledgement
  std::map<std::string, std::map<TimePoint, uint64_t>>
      used_generations_;  ///< by relay and start count: generations, by time of the response
  uint64_t next_number_ = 0;
  uint64_t highest_acknowledged_ = 0;
  int clients_ = 0;
  bool stopping_ = false;
  SoakFigures figures_;
};

}  // namespace dunlinwing::test
