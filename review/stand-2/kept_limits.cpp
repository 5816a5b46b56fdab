// Clients rest on kept connections while the operator raises `max-body-bytes`. Two seconds and more after the
// acknowledgement each of them sends a request that the new limit allows and the old one did not.
#include "lab.hpp"

using namespace lab;

namespace {
constexpr size_t kOldLimit = 65536, kNewLimit = 1048576;  // bytes of a body
constexpr size_t kSmall = 1200, kLarge = 100000;          // bytes of the bodies that are sent
constexpr int kClients = 40;
constexpr double kConfigApply = 2, kRest = 4;  // seconds; the second after the acknowledgement
}  // namespace

int main(int count, char** arguments) {
  if (count != 3 || !(record_file = std::fopen(arguments[2], "w"))) return 2;
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = !setting || std::string(setting) != "0";
  Fleet fleet(arguments[1], 3);
  std::atomic<int> ran{0};
  const auto answer = [&](Worker& worker, Link& link, const Request& request) {
    sleep_for(0.02);
    record("worker %s ran %s, a body of %zu bytes", worker.id().c_str(), header(request.head, "Attempt-Id").c_str(), request.body.size());
    ++ran;
    return link.send(Worker::success(request, "taken"));
  };
  Worker first("i-1", "desk", "v1", 6, answer), second("i-2", "desk", "v1", 6, answer);
  first.beat_at(fleet, 0);
  second.beat_at(fleet, 1);
  const std::vector<Route> routes{{"/claims/", "desk", "non_idempotent"}};
  const auto put = [&](int revision, size_t limit) {
    const int status = fleet.order("PUT", "/configuration", configuration(revision, routes, "", {"desk"}, limit), 8);
    record("operator: configuration %d with max-body-bytes %zu: %d", revision, limit, status);
    return status == 200;
  };
  if (!put(1, trouble ? kOldLimit : kNewLimit) || !fleet.await_ready(10)) return 2;
  sleep_for(2);

  std::vector<Link> links;
  for (int i = 0; i < kClients; ++i) {
    links.push_back(Link::connect(fleet.relays[i % fleet.relays.size()]->front));
    const std::string id = "small" + std::to_string(i);
    if (!links.back().send(request_text("POST", "/claims/1", id, 2000, std::string(kSmall, 'a')))) return 2;
    const Answer got = read_answer(links.back(), now() + 3);
    record("client %d gets %d for %s", i, got.status, id.c_str());
    if (got.status != 200) return 2;
  }
  if (trouble && !put(2, kNewLimit)) return 2;
  const double acknowledged = now();
  sleep_for(kRest);
  const int before = ran;

  int denied = 0, served = 0, other = 0;
  for (int i = 0; i < kClients; ++i) {
    const std::string id = "kept" + std::to_string(i);
    const double sent = now() - acknowledged;
    links[i].send(request_text("POST", "/claims/1", id, 2000, std::string(kLarge, 'a')));
    const Answer got = read_answer(links[i], now() + 3);
    record("client %d gets %d for %s, sent %.2f s after the acknowledgement on its kept connection", i, got.status, id.c_str(), sent);
    const bool own_refusal = got.status >= 300 && got.status < 500 && got.status != 408 && got.status != 421 && got.status != 429;
    ++(own_refusal && sent > kConfigApply ? denied : got.status == 200 ? served : other);
  }
  int served_anew = 0;
  for (size_t i = 0; i < fleet.relays.size(); ++i) {
    Link link = Link::connect(fleet.relays[i]->front);
    const std::string id = "new" + std::to_string(i);
    link.send(request_text("POST", "/claims/1", id, 2000, std::string(kLarge, 'a')));
    const Answer got = read_answer(link, now() + 3);
    record("a client gets %d for %s on a new connection to %s", got.status, id.c_str(), fleet.relays[i]->name.c_str());
    served_anew += got.status == 200;
  }
  const double allowed = 5 + (2 * kClients + 3) / 500.0;
  record("of %d proper requests on kept connections %d were served, %d denied (more than %.2f break DENIED), %d else; workers ran %d",
         kClients, served, denied, allowed, other, ran.load() - before);
  record("on new connections %d of %zu were served", served_anew, fleet.relays.size());
  first.end();
  second.end();
  if (other > 0 || served_anew < 3) return 2;
  return denied > allowed ? 1 : 0;
}
