// A request is sent again unchanged, to any node, until it gets a definite response.
#include <fmt/format.h>

#include "platform/operators_and_clients.hpp"

namespace dunlinwing::test {
namespace {
constexpr Duration kAck{4000};
constexpr Duration kAckDelivery{30000};  // while acknowledgements are lost on their way
}  // namespace

std::pair<int, std::string> Operator::call(const std::string& method, const std::string& target,
                                           const std::string& body, Duration most, const std::string& what) {
  auto& world = fleet_.world();
  TimePoint from = world.now(), end = from + most;
  Duration pause{100};
  int rejections = 0;
  bool reported = false, acknowledged = false;
  for (;;) {
    auto& hosts = fleet_.hosts();
    auto& host = *hosts[world.below(hosts.size())];
    base::Request request;
    request.method = method;
    request.target = target;
    request.body = body;
    if (!body.empty()) request.headers = {{"Content-Type", "application/json"}};
    auto x = fleet_.exchange(host, request, true, Duration(1000));
    int st = x.complete ? x.response.status : 0;
    if (st / 100 == 2 && world.random(lost_permille)) {
      ++world.fault_counts["ack_lost"];
      acknowledged = true;
      st = 0;
    }
    if (acknowledged && st / 100 == 4 && st != 408 && st != 429)
      journal_.rejected_again.push_back(fmt::format("{} {}: {} {}", method, target, st, x.response.body));
    if (st / 100 == 2) return last_by = host.name, std::pair(st, x.response.body);
    if (st == 400 || st == 409 || st == 412 || st == 413 || st == 422) return {st, x.response.body};
    if (st / 100 == 4 && st != 408 && st != 429 && ++rejections == 3) return {st, x.response.body};
    if (world.now() - from > kAck && !reported && !acknowledged && !what.empty())
      reported = true, journal_.unacknowledged.push_back({what, from, world.now()});
    if (world.now() > end) return {0, {}};
    fleet_.sleep(pause);
    pause = std::min<Duration>(pause * 3 / 2, Duration(1000));
  }
}

int Operator::put_text(const std::string& what, const OperatorConfiguration& configuration,
                       const std::string& text, bool valid, Duration most) {
  journal_.configurations.push_back({configuration, text, what, {}, valid, fleet_.world().now(), {}, 0});
  auto place = journal_.configurations.size() - 1;
  auto [st, body] = call("PUT", "/configuration", text, most, valid ? what : "");
  auto& s = journal_.configurations[place];
  s.by = last_by;
  if (st / 100 == 2)
    s.acknowledged = fleet_.world().now();
  else
    s.rejections = st;
  return st;
}

bool Operator::put(const OperatorConfiguration& configuration) {
  return put_text(fmt::format("configuration {}", configuration.revision), configuration,
                  configuration.text(), true) == 200;
}

// An acknowledgement that a relay gave within kAck may be lost on its way, any number of times.
Duration Operator::delivery_limit() const { return lost_permille > 0 ? kAckDelivery : kAck; }

bool Operator::purge(const std::string& host, const std::string& path, const std::string& tag) {
  journal_.purges.push_back({host, path, tag, fleet_.world().now(), {}});
  auto place = journal_.purges.size() - 1;
  auto body = tag.empty() ? fmt::format(R"({{"hostname":"{}","path":"{}"}})", host, path)
                          : fmt::format(R"({{"tag":"{}"}})", tag);
  auto [st, text] = call("POST", "/purge", body, delivery_limit(), "purge of " + (tag.empty() ? path : tag));
  if (st / 100 == 2) journal_.purges[place].acknowledged = fleet_.world().now();
  return st / 100 == 2;
}

bool Operator::roll_out_version(const std::string& service, const std::string& version, Duration within,
                                bool bad) {
  auto now = fleet_.world().now();
  journal_.version_rollouts.push_back({service, version, {}, bad, now, now + within, {}, {}});
  auto place = journal_.version_rollouts.size() - 1;
  auto body = fmt::format(R"({{"backend":"{}","target-revision":"{}","rollout-within-s":{}}})", service,
                          version, within.count() / 1000);
  auto [st, text] = call("POST", "/rollouts", body, delivery_limit(), "rollout of " + service);
  if (st / 100 == 2) journal_.version_rollouts[place].acknowledged = fleet_.world().now();
  return st / 100 == 2;
}

std::string Operator::rollout_state(const std::string& service, std::string* version) {
  auto [st, body] = call("GET", "/rollouts/" + service, "", Duration(2000), "");
  auto g = base::Json::parse(body);
  auto* j = std::get_if<base::Json>(&g);
  if (st != 200 || !j) return {};
  if (version) *version = j->at("target-revision").string_or();
  return j->at("state").string_or();
}

void Operator::read_back(Duration over) {
  auto end = fleet_.world().now() + over;
  do {
    auto asked = fleet_.world().now();
    auto [st, body] = call("GET", "/configuration", "", Duration(8000), "");
    if (st != 200) continue;
    auto g = base::Json::parse(body);
    auto* j = std::get_if<base::Json>(&g);
    journal_.read_back.push_back(
        {j ? static_cast<uint64_t>(j->at("revision").integer_or()) : 0, body, asked});
    fleet_.sleep(Duration(300));
  } while (fleet_.world().now() < end);
}

}  // namespace dunlinwing::test
