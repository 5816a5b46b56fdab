// A worker says that it drains while requests wait in the relays for a connection to it. The relays have
// chosen it before, and look at nothing again once a connection is free.
#include "lab.hpp"

using namespace lab;

namespace {
constexpr int kBusy = 20, kWaiting = 6;   // requests to each relay: that hold its connections, that wait for one
constexpr double kBusyWork = 2.6;         // seconds that the first ones take
constexpr double kWork = 0.6;             // seconds of the requests that wait
constexpr int kRemaining = 12000;         // ms that the clients wait
constexpr double kDrain = 2, kLittle = 0.5;
}  // namespace

int main(int count, char** arguments) {
  if (count != 3 || !(record_file = std::fopen(arguments[2], "w"))) return 2;
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = !setting || std::string(setting) != "0";
  Fleet fleet(arguments[1], 3);
  std::atomic<double> acknowledged{0};
  std::atomic<bool> gone{false};
  std::atomic<int> late{0}, cut{0};
  const auto answer = [&](Worker& worker, Link& link, const Request& request) {
    const std::string id = header(request.head, "Attempt-Id");
    if (header(request.head, "Target-Instance") != worker.id())
      return link.send("HTTP/1.1 421 Misdirected\r\nAttempt-Id: " + id + "\r\nNot-Executed: yes\r\nContent-Length: 0\r\n\r\n");
    const bool old = worker.id() == "i-old";
    if (old && gone) return false;
    const double after = acknowledged > 0 ? now() - acknowledged : 0;
    const bool is_late = old && acknowledged > 0 && after > kDrain;
    late += is_late;
    record("%s runs %s%s", worker.id().c_str(), id.c_str(), is_late ? (", " + std::to_string(after) + " s after its draining was acknowledged").c_str() : "");
    for (const double end = now() + (id.starts_with("busy") ? kBusyWork : kWork); now() < end; sleep_for(0.02))
      if (old && gone) {
        ++cut;
        record("%s has ended with %s under way", worker.id().c_str(), id.c_str());
        return false;
      }
    return link.send(Worker::success(request, "paid"));
  };
  Worker old("i-old", "desk", "v1", 32, answer), stays("i-stays", "desk", "v1", 32, answer);
  old.beat_at(fleet, 0);
  stays.beat_at(fleet, 1);
  const std::vector<Route> routes{{"/fees/", "desk", "non_idempotent", kRemaining / 1000.0, 4}};
  std::string text = configuration(1, routes, "", {"desk"}, 65536);
  text.replace(text.find("\"max-connections\":130"), 21, "\"max-connections\":36");  // 12 a relay, as in the small deployments
  if (fleet.order("PUT", "/configuration", text, 8) != 200 || !fleet.await_ready(10)) return 2;
  sleep_for(5);

  struct Sent {
    std::string id;
    int status = -1;
  };
  std::vector<Sent> sent(fleet.relays.size() * (kBusy + kWaiting));
  std::vector<std::thread> clients;
  const auto post = [&](size_t slot, size_t relay, const std::string& id) {
    sent[slot].id = id;
    clients.emplace_back([&, slot, relay, id] {
      Link link = Link::connect(fleet.relays[relay]->front);
      link.send(request_text("POST", "/fees/1", id, kRemaining, std::string(1200, 'a')));
      sent[slot].status = read_answer(link, now() + kRemaining / 1000.0 + 1).status;
      record("client gets %d for %s", sent[slot].status, id.c_str());
    });
  };
  size_t slot = 0;
  for (size_t relay = 0; relay < fleet.relays.size(); ++relay)
    for (int i = 0; i < kBusy; ++i) post(slot++, relay, "busy" + std::to_string(relay) + "." + std::to_string(i));
  sleep_for(0.2);
  for (size_t relay = 0; relay < fleet.relays.size(); ++relay)
    for (int i = 0; i < kWaiting; ++i) post(slot++, relay, "fee" + std::to_string(relay) + "." + std::to_string(i));
  sleep_for(0.1);

  // One of the two workers is replaced: the new one starts first, then the old one drains.
  Worker fresh("i-new", "desk", "v1", 32, answer);
  if (fresh.beat(*fleet.relays[1], "ready") != 200) return 2;
  if (trouble) {
    if (old.beat(*fleet.relays[0], "draining") != 200) return 2;
    acknowledged = now();
    record("draining of i-old is acknowledged");
    sleep_for(kDrain + kLittle);
    call(fleet.relays[0]->control, "DELETE", "/instances/i-old", "", 1);
    gone = true;
    old.end();
    record("i-old ends");
  }
  for (auto& client : clients) client.join();
  int lost = 0, served = 0;
  for (const auto& request : sent) {
    lost += request.status != 200;
    served += request.status == 200;
  }
  record("%d requests reached i-old more than %g s after its draining was acknowledged; it ended with %d of them under way; "
         "clients: %d served, %d not", late.load(), kDrain, cut.load(), served, lost);
  old.end();
  stays.end();
  fresh.end();
  if (!trouble && lost > 0) return 2;
  return late > 0 ? 1 : 0;
}
