// A version was brought in and completed, then another one. Some seconds after that the operator goes back: it
// starts workers of the first one and orders it again, with the same term. The order is acknowledged. Then all
// processes are killed, and the operator reads the rollout back.
#include "lab.hpp"

using namespace lab;

namespace {
constexpr double kTerm = 12, kDown = 1, kContact = 3, kRecovery = 15;
}  // namespace

int main(int count, char** arguments) {
  if (count != 3 || !(record_file = std::fopen(arguments[2], "w"))) return 2;
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = !setting || std::string(setting) != "0";
  Fleet fleet(arguments[1], 3);
  std::mutex mutex;
  std::map<std::string, int> ran;  // by version
  const auto answer = [&](Worker& worker, Link& link, const Request& request) {
    {
      const std::lock_guard lock(mutex);
      ++ran[worker.revision()];
    }
    sleep_for(0.01);
    return link.send(Worker::success(request, "lobbies"));
  };
  std::vector<std::unique_ptr<Worker>> workers;
  const auto start_workers = [&](const std::string& version) {
    for (int i = 0; i < 2; ++i) {
      workers.push_back(std::make_unique<Worker>("i-" + version + "-" + std::to_string(workers.size()), "desk", version, 6, answer));
      workers.back()->beat_at(fleet, static_cast<size_t>(i));
    }
  };
  const auto halt_workers = [&](const std::string& version) {
    for (auto& worker : workers)
      if (worker->revision() == version) worker->end();
  };
  start_workers("v1");
  const std::vector<Route> routes{{"/lobbies/", "desk", "idempotent"}};
  if (fleet.order("PUT", "/configuration", configuration(1, routes, "", {"desk"}, 65536), 8) != 200 || !fleet.await_ready(10)) return 2;
  sleep_for(4);

  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < 9; ++i)
    clients.emplace_back([&, i] {
      for (int n = 0; !stop; ++n, sleep_for(0.05)) {
        Link link = Link::connect(fleet.relays[static_cast<size_t>(n + i) % 3]->front);
        if (link.is_open() && link.send(request_text("GET", "/lobbies/1", "c" + std::to_string(i) + "." + std::to_string(n), 1500, "")))
          served += read_answer(link, now() + 1.6).status == 200;
      }
    });
  const auto order = [&](const std::string& version) {
    const int status = fleet.order("POST", "/rollouts", "{\"backend\":\"desk\",\"target-revision\":\"" + version + "\",\"rollout-within-s\":12}", 4);
    record("operator: POST /rollouts of %s within %g s: %d", version.c_str(), kTerm, status);
    return status;
  };
  const auto read = [&](size_t relay) { return call(fleet.relays[relay % 3]->control, "GET", "/rollouts/desk", "", 1); };
  const auto finish = [&](int result) {
    stop = true;
    for (auto& client : clients) client.join();
    for (auto& worker : workers) worker->end();
    const std::lock_guard lock(mutex);
    record("runs: v1 %d, v2 %d, v3 %d; requests served: %d", ran["v1"], ran["v2"], ran["v3"], served.load());
    return result;
  };

  // Brings a version in, and halts the workers of the one before, as on `completed`.
  const auto bring_in = [&](const std::string& version, const std::string& before) {
    start_workers(version);
    if (order(version) != 200) return false;
    const double ordered = now();
    bool completed = false;
    for (size_t n = 0; now() < ordered + kTerm + 3 && !completed; ++n, sleep_for(0.5)) {
      const std::string body = read(n).body;
      completed = body.find("\"completed\"") != std::string::npos && body.find(version) != std::string::npos;
    }
    record("the rollout of %s is %s after %.1f s", version.c_str(), completed ? "completed" : "not completed", now() - ordered);
    if (completed) halt_workers(before);
    return completed;
  };
  if (!bring_in("v2", "v1")) return finish(2);
  sleep_for(3);
  if (trouble) {
    if (!bring_in("v3", "v2")) return finish(2);
    sleep_for(2);
    start_workers("v2");
    sleep_for(2);
  }
  int runs_before = 0;
  {
    const std::lock_guard lock(mutex);
    runs_before = ran["v2"];
  }
  if (order("v2") != 200) return finish(2);
  const double acknowledged = now();
  sleep_for(0.2);
  record("operator reads %s", read(0).body.c_str());

  for (auto& relay : fleet.relays) relay->signal(SIGKILL);
  for (auto& relay : fleet.relays) relay->reap();
  record("all processes were killed, %.2f s after the acknowledgement", now() - acknowledged);
  sleep_for(kDown);
  for (auto& relay : fleet.relays) relay->start(fleet.program, fleet.seeds, false);
  const double started = now();
  std::string last;
  int kept = 0, gone = 0;
  for (size_t n = 0; now() < started + kRecovery && kept + gone < static_cast<int>(kContact * 4); ++n, sleep_for(0.25)) {
    const Answer answer_now = read(n);
    if (answer_now.status != 200) continue;
    const bool is_kept = answer_now.body.find("\"target-revision\":\"v2\"") != std::string::npos;
    ++(is_kept ? kept : gone);
    if (answer_now.body != last) record("after the restart the operator reads %s", answer_now.body.c_str());
    last = answer_now.body;
  }
  record("the order of v2 that was acknowledged last: read back %d times, gone %d times", kept, gone);
  if (kept + gone == 0) return finish(2);
  if (trouble) {  // whether the order is carried out
    for (size_t n = 0; now() < acknowledged + kTerm + 3; ++n, sleep_for(0.5)) last = read(n).body;
    const std::lock_guard lock(mutex);
    record("%.0f s after the acknowledgement: %s; v2 has run %d requests since", now() - acknowledged, last.c_str(), ran["v2"] - runs_before);
  }
  return finish(gone > 0 ? 1 : 0);
}
