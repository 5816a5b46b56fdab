// Three configurations that cannot be read in full are sent, one second apart, as the page says: a call
// without a clear answer is sent again unchanged, to another node. Counts the processes that end by
// themselves.
#include "standin.hpp"

using namespace standin;

namespace {
constexpr int kInvalid = 3;    // bad_config: count = 3
constexpr double kGap = 1.0;   // bad_config: gap_s = 1.0
constexpr int kTries = 9;      // of each order; a caller without an answer goes on to another node
constexpr int kLevels = 2000;  // of lists in lists
constexpr double kBefore = 4, kAfter = 6;  // seconds of traffic before and after the orders
constexpr int kEndsOfFault = 3;            // "processes end by themselves three times in the day"

struct Tried {
  std::string id, kind, node;
  int status = 0;  // 0: no whole answer
};
std::mutex tried_mutex;
std::vector<Tried> tried;

// A client of one node: pays and lists by turns, 10 times a second, each try on a connection of its own.
void run_client(Record& record, const Machine& node, const std::atomic<bool>& done) {
  for (int i = 0; !done; ++i, sleep_for(0.1)) {
    const bool pay = i % 2 == 0;
    Tried one{new_id(), pay ? "entry-pay" : "lobby-list", node.name, 0};
    const auto answer =
        call(node.front, pay ? "POST" : "GET", pay ? "/pay/1" : "/list/1", pay ? "fee" : "", 2,
             {{"Host", "rally.example"}, {"Attempt-Id", one.id}, {"Time-Remaining", "2000"}});
    one.status = answer ? answer->status() : 0;
    record.line("client: ", one.kind, " id ", one.id, " at ", node.name, ": ",
                answer ? std::to_string(one.status) : std::string("no whole answer"));
    const std::lock_guard lock(tried_mutex);
    tried.push_back(one);
  }
}

std::string nested_configuration(int revision) {
  return R"({"revision":)" + std::to_string(revision) + R"(,"resources":)" + std::string(kLevels, '[') +
         std::string(kLevels, ']') + "}";
}

int run() {
  Record record("review/1/record.txt");
  Platform platform(record);
  const char* zones[] = {"midrand-a", "midrand-b", "isando"};
  for (const char* zone : zones) platform.add(std::string("edge-") + zone + "-1", zone, "relay", true);
  for (int i = 0; i < 2; ++i)
    platform.add(std::string("store-") + zones[i] + "-1", zones[i], "shield", false);
  platform.start_all();

  static std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < 6; ++i)
    workers.push_back(std::make_unique<Worker>(record, platform, "i-desk" + std::to_string(i), "match-desk",
                                               zones[i % 3], 6, 0.22));
  Operator operator_(record, platform);
  const auto sound = configuration(
      1, {route("pay", "rally.example", "/pay/", "non_idempotent", "match-desk", 2),
          route("list", "rally.example", "/list/", "idempotent", "match-desk", 2), backend("match-desk")});
  if (operator_.put_configuration("revision 1, valid", sound, 60) != 200) return kCouldNotRun;
  for (auto& worker : workers) worker->start_beats();
  if (!platform.all_ready(20)) return kCouldNotRun;
  sleep_for(3);

  std::atomic<bool> done{false};
  std::vector<std::thread> clients;
  for (const auto* edge : platform.edges())
    clients.emplace_back([&record, edge, &done] { run_client(record, *edge, done); });
  sleep_for(kBefore);
  if (with_trouble()) {
    std::vector<std::thread> orders;
    for (int i = 0; i < kInvalid; ++i) {
      orders.emplace_back([&record, &platform, i] {
        const int status = Operator(record, platform)
                               .put_configuration("revision " + std::to_string(2 + i) + ", lists in lists",
                                                  nested_configuration(2 + i), kTries);
        record.line("operator: the invalid configuration ", 2 + i, " ended with ",
                    status ? std::to_string(status) : std::string("no clear answer"));
      });
      sleep_for(kGap);
    }
    for (auto& order : orders) order.join();
  } else {
    sleep_for(kInvalid * kGap);
  }
  sleep_for(kAfter);
  done = true;
  for (auto& client : clients) client.join();

  std::set<std::string> ran;
  for (const auto& one : Worker::runs()) ran.insert(one.id);
  int unanswered = 0, ran_unanswered = 0;
  for (const auto& one : tried) {
    unanswered += one.status == 0;
    ran_unanswered += one.status == 0 && one.kind == "entry-pay" && ran.count(one.id);
  }
  int machines = 0;
  for (const auto* edge : platform.edges()) {
    machines += edge->own_ends >= kEndsOfFault;
    record.note(edge->name + ": " + std::to_string(edge->own_ends) + " processes ended by themselves");
  }
  record.note(std::to_string(tried.size()) + " requests, " + std::to_string(unanswered) +
              " without a whole answer; of these " + std::to_string(ran_unanswered) +
              " entry-pay requests had run");
  // The rule: three ends on half of the core. All three edge machines have a disk and are the core.
  const bool broken = machines * 2 >= 3;
  record.note(broken ? "BROKEN: Fault, three ends on " + std::to_string(machines) + " of 3 core machines"
                     : "held");
  return broken ? kBroken : kHeld;
}
}  // namespace

int main() { ::_exit(run()); }
