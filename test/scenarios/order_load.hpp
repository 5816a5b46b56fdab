/// @file
/// The load of scenarios that watch operators' requests: objects of two sizes that clients ask for, and
/// orders that operators send as the users' do. On slow links it uses most of their capacity.
#pragma once
#include <set>

#include "scenarios/scenario.hpp"

namespace dunlinwing::test {

inline constexpr Duration kAckTimeout(4000);   ///< for an operator's request to be acknowledged
inline constexpr Duration kCallTimeout(1000);  ///< after which an operator tries another node
inline constexpr Duration kEnd(8000);          ///< for requests that are still in progress at the end
inline constexpr double kShieldMbps = 200;

struct Served {
  uint64_t asked = 0, served = 0;
  double share() const { return asked ? static_cast<double>(served) / static_cast<double>(asked) : 0; }
};

/// Results as observed by clients and operators.
struct Observed {
  std::map<std::string, Served> classes;
  Duration slowest_order{0};
  std::string slowest_order_text;
  uint64_t sent = 0;           ///< orders that were begun
  uint64_t orders = 0;         ///< orders that ended
  uint64_t refused_calls = 0;  ///< calls of operators that got a 5xx
  uint64_t silent_calls = 0;   ///< calls of operators without a response in time
  std::string first_silent_call;
  std::set<std::string> lapsed;  ///< nodes whose read lease lapsed
};
using ObservedPtr = std::shared_ptr<Observed>;

/// When objects last changed, by path; objects without an entry changed at the start.
using Changes = std::map<std::string, int64_t>;
using ChangesPtr = std::shared_ptr<Changes>;

/// Starts backend instances whose objects change as recorded, and a first configuration.
bool start_load(Scene& scene, const ChangesPtr& changes);
/// Requests objects, cacheable for ten seconds, for the duration.
void request_objects(Scene& scene, const ObservedPtr& observed, Duration duration);
/// Sends a purge or a release of a configuration every half second.
void send_orders(Scene& scene, const ObservedPtr& observed, const ChangesPtr& changes, Duration duration);
/// Sends one purge after the other, without waiting for acknowledgements; returns after the duration.
void send_purges(Scene& scene, const ObservedPtr& observed, const ChangesPtr& changes, Duration period,
                 Duration duration);
/// The same with purges that need no configuration.
void send_purges_of_everything(Scene& scene, const ObservedPtr& observed, Duration period, Duration duration);
/// Sends one numbered configuration after the other, without waiting for acknowledgements.
void send_numbered_configurations(Scene& scene, const ObservedPtr& observed, Duration period,
                                  Duration duration);
/// Requires that every order was acknowledged, none after more than kAckTimeout.
void expect_orders_in_time(Scene& scene, const Observed& observed);
/// 24 nodes with links of 2 Mbit/s, three shields and five replicas with faster ones.
void slow_links(simulation::FleetShape& shape);

}  // namespace dunlinwing::test
