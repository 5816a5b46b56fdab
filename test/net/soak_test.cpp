// Repeated faults of all kinds: many clients on one relay, and a backend that randomly chooses a
// fault for each request. A seed repeats the same choices.
#include <random>

#include "net/node_under_test.hpp"
#include "support/byte_backend.hpp"

namespace dunlinwing::test {
namespace {
constexpr int kClients = 8, kRequestsEach = 40;
constexpr int kPatienceMs = 150;

// Randomly chooses how a request is answered, and counts runs by Attempt-Id.
class RandomBackend {
 public:
  explicit RandomBackend(unsigned seed) : random_(seed) {}
  int runs(const std::string& id) const {
    auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
  }
  std::string answer(const std::string& head) {
    auto at = head.find("Attempt-Id: ") + 12;
    auto id = head.substr(at, head.find('\r', at) - at);
    auto other = std::exchange(before_, id);
    int kind = below(14);
    if (kind == 0) return "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    if (kind == 1) return "HTTP/1.1 421 Misdirected\r\nInstance-Id: x\r\nContent-Length: 0\r\n\r\n";
    ++runs_[id];
    auto own = good_answer(id, below(2) == 0), others = good_answer(other, false);
    switch (kind) {
      case 2:
        return own.substr(0, below(own.size() + 1)) + "cut";
      case 3:
        return own.substr(0, below(own.size() + 1)) + "reset";
      case 4:
        return own.substr(0, below(own.size()));  // then silence
      case 5:
        return own + others;
      case 6:
        return others + own;
      case 7:
        return others;
      case 8:
        return own + own.substr(0, below(own.size()));
      case 9:
        return "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n" + own;
      case 10:
        return "HTTP/1.1 103 Early Hints\r\n\r\n" + own;
      default:
        return own;
    }
  }

 private:
  size_t below(size_t n) { return random_() % n; }
  std::mt19937 random_;
  std::string before_ = "nobody";
  std::map<std::string, int> runs_;
};

// Describes what is wrong with a response; empty if nothing is. A retry may run an idempotent request again.
std::string wrong(const base::Response& answer, const std::string& id, bool once, int runs) {
  if (base::header(answer.headers, "Attempt-Id") != id) return "another request's Attempt-Id";
  if (answer.status == 200 && answer.body != good_body(id)) return "another request's body: " + answer.body;
  if (answer.status != 200 && answer.status != 502 && answer.status != 503)
    return fmt::format("status {}", answer.status);
  if (once && runs > 1) return fmt::format("the request ran {} times", runs);
  if (once && answer.status == 503 && runs > 0) return "the request ran, but was reported as not executed";
  return {};
}

void soak(unsigned seed) {
  RandomBackend random_backend(seed);
  ScriptedBackend backend([&](int, int, const std::string& head) { return random_backend.answer(head); });
  Relay relay(backend.addr());
  int left = kClients, good = 0;
  std::string first;
  for (int client = 0; client < kClients; ++client)
    pool().spawn([&, client] {
      for (int i = 0; i < kRequestsEach; ++i) {
        bool once = (client + i) % 2;
        auto id = fmt::format("{}-{}", client, i);
        auto answer = relay.get(once ? "/once/x" : "/any/x", id, kPatienceMs);
        good += answer.status == 200;
        auto what = wrong(answer, id, once, random_backend.runs(id));
        if (!what.empty() && first.empty()) first = id + ": " + what;
      }
      --left;
    });
  until([&] { return left == 0; }, "all requests are answered");
  same(first, "", fmt::format("seed {}", seed));
  expect(good > kClients * kRequestsEach / 3, fmt::format("seed {}: only {} requests succeeded", seed, good));
}
}  // namespace

std::vector<Case> soak_cases() {
  return {{"soak: repeated faults of all kinds", [] {
             constexpr unsigned kSeeds = 8;
             for (unsigned seed = 1; seed <= kSeeds; ++seed) soak(seed);
           }}};
}

}  // namespace dunlinwing::test
