// A relay gets SIGTERM while requests that it has read wait for a connection to a worker. It ends before its
// grace is over without having passed them on and without an answer.
#include "lab.hpp"

using namespace lab;

namespace {
constexpr int kWorkers = 4;
constexpr int kReports = 40, kFees = 6;              // reports to each relay, payments to the one that is stopped
constexpr double kReportWork = 6.5, kFeeWork = 0.1;  // seconds
constexpr int kReportRemaining = 12000, kFeeRemaining = 6000;  // ms that the clients wait
constexpr double kGrace = 6, kFeesAfter = 2, kLossSlack = 0.2;
}  // namespace

int main(int count, char** arguments) {
  if (count != 3 || !(record_file = std::fopen(arguments[2], "w"))) return 2;
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = !setting || std::string(setting) != "0";
  Fleet fleet(arguments[1], 3);
  std::mutex mutex;
  std::map<std::string, double> ran;  // by request: when a worker got it
  const auto answer = [&](Worker& worker, Link& link, const Request& request) {
    const std::string id = header(request.head, "Attempt-Id");
    {
      const std::lock_guard lock(mutex);
      ran[id] = now();
    }
    record("%s runs %s", worker.id().c_str(), id.c_str());
    sleep_for(id.starts_with("report") ? kReportWork : kFeeWork);
    return link.send(Worker::success(request, "done"));
  };
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(std::make_unique<Worker>("i-" + std::to_string(i), "desk", "v1", 32, answer));
    workers.back()->beat_at(fleet, static_cast<size_t>(1 + i % 2));
  }
  const std::vector<Route> routes{{"/fees/", "desk", "non_idempotent", kFeeRemaining / 1000.0, 2.5},
                                  {"/reports/", "desk", "idempotent", kReportRemaining / 1000.0, 8}};
  std::string text = configuration(1, routes, "", {"desk"}, 65536);
  text.replace(text.find("\"max-connections\":130"), 21, "\"max-connections\":36");  // 12 a relay, as in the small deployments
  if (fleet.order("PUT", "/configuration", text, 8) != 200 || !fleet.await_ready(10)) return 2;
  sleep_for(4);

  // Clients that keep their connections to the first relay.
  Relay& relay = *fleet.relays[0];
  std::vector<Link> kept;
  for (int i = 0; i < kFees; ++i) {
    kept.push_back(Link::connect(relay.front));
    kept.back().send(request_text("POST", "/fees/1", "before" + std::to_string(i), 2000, std::string(1200, 'a')));
    if (read_answer(kept.back(), now() + 3).status != 200) return 2;
  }
  sleep_for(1);
  std::vector<std::thread> clients;
  std::atomic<int> reports_served{0};
  for (size_t at = 0; at < fleet.relays.size(); ++at)
    for (int i = 0; i < kReports; ++i)
      clients.emplace_back([&, at, i] {
        const std::string id = "report" + std::to_string(at) + "." + std::to_string(i);
        Link link = Link::connect(fleet.relays[at]->front);
        link.send(request_text("GET", "/reports/1", id, kReportRemaining, ""));
        const int status = read_answer(link, now() + kReportRemaining / 1000.0 + 1).status;
        reports_served += status == 200;
        record("client gets %d for %s", status, id.c_str());
      });
  sleep_for(0.5);
  const double stopped = now();
  if (trouble) {
    relay.signal(SIGTERM);
    record("SIGTERM to %s", relay.name.c_str());
    clients.emplace_back([&] {
      sleep_for(kGrace);
      relay.signal(SIGKILL);
      relay.reap();
      record("SIGKILL to %s at the end of its grace, unless it had ended", relay.name.c_str());
    });
  }
  sleep_for(kFeesAfter);
  std::atomic<int> lost{0}, served{0}, refused{0};
  for (int i = 0; i < kFees; ++i)
    clients.emplace_back([&, i] {
      const std::string id = "fee" + std::to_string(i);
      kept[i].send(request_text("POST", "/fees/1", id, kFeeRemaining, std::string(1200, 'a')));
      const double sent = now();
      const int status = read_answer(kept[i], sent + kFeeRemaining / 1000.0).status;
      const double held = now() - sent;
      const std::lock_guard lock(mutex);
      const bool at_worker = ran.count(id) > 0;
      record("client gets %s for %s, sent %.2f s after SIGTERM, after %.2f s; %s", status ? std::to_string(status).c_str() : "no answer, its connection is closed",
             id.c_str(), sent - stopped, held, at_worker ? "a worker ran it" : "no worker got it");
      if (status == 200) ++served;
      if (status == 503 || status == 429) ++refused;
      if (status == 0 && held > kLossSlack && held < kFeeRemaining / 1000.0 - 0.1 && !at_worker) ++lost;
    });
  for (auto& client : clients) client.join();
  record("of %d payments sent on kept connections %d were served, %d refused, and %d got no answer although the relay had read them and no worker had them; reports served: %d",
         kFees, served.load(), refused.load(), lost.load(), reports_served.load());
  for (auto& worker : workers) worker->end();
  if (!trouble && served < kFees) return 2;
  return lost > 0 ? 1 : 0;
}
