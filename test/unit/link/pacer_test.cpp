// Bodies share a link with control and with each other.
#include "link/pacer.hpp"

#include "support/manual_ports.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
constexpr double kBytesPerSecond = 1225000;  // 9.8 megabits
constexpr Duration kLong(60000);

/// Conditions whose waits advance the clock by their full limit.
class ClockAdvancingTasks final : public base::Tasks {
 public:
  explicit ClockAdvancingTasks(ManualClock& clock) : clock_(clock) {}
  void spawn(std::function<void()> /*task*/) override { throw Failed("a task was spawned"); }
  std::shared_ptr<base::Condition> condition() override { return std::make_shared<Wait>(*this); }

  std::function<void()> meanwhile;  ///< called at the start of each wait

 private:
  struct Wait final : base::Condition {
    explicit Wait(ClockAdvancingTasks& owner) : tasks(owner) {}
    bool wait(Duration limit) override {
      if (tasks.meanwhile) tasks.meanwhile();
      tasks.clock_.sleep(limit);
      return false;
    }
    void notify() override {}
    ClockAdvancingTasks& tasks;
  };
  ManualClock& clock_;
};

struct Bench {
  ManualClock clock;
  ClockAdvancingTasks tasks{clock};
  link::Pacer pacer{clock, tasks, kBytesPerSecond};

  bool send_part(size_t remaining, Duration limit = kLong) {
    const size_t bytes = std::min(remaining, pacer.part_bytes());
    return pacer.acquire({link::TrafficClass::clients, clock.now(), remaining}, bytes, limit);
  }

  /// Sends a body part by part; returns how long that took.
  Duration send(size_t bytes) {
    const TimePoint began = clock.now();
    for (size_t remaining = bytes; remaining > 0; remaining -= std::min(remaining, pacer.part_bytes()))
      expect(send_part(remaining), "a part was not granted");
    return clock.now() - began;
  }
};

void bodies_leave_a_part_of_the_link() {
  Bench bench;
  constexpr size_t kBytes = 4 << 20;
  const double seconds = static_cast<double>(bench.send(kBytes).count()) / 1000;
  const double share = kBytes / seconds / kBytesPerSecond;
  expect(share <= 0.95 && share > 0.8, fmt::format("bodies took {} of the link", share));
}

void control_takes_from_bodies_and_never_waits() {
  Bench bench;
  constexpr size_t kBytes = 1 << 20;
  const Duration alone = bench.send(kBytes);
  bench.clock.sleep(Duration(1000));
  bench.pacer.charge(link::TrafficClass::control, kBytes);
  const Duration behind_control = bench.send(kBytes);
  expect(behind_control >= alone * 19 / 10, "bodies did not slow down for control traffic");
  same(bench.pacer.counts()[0].waits, 0U, "waits of control");
}

/// Charges control three times what the link carries, from now on.
void overload_with_control(Bench& bench) {
  bench.tasks.meanwhile = [&bench, charged_at = bench.clock.now()]() mutable {
    const auto elapsed = static_cast<double>((bench.clock.now() - charged_at).count());
    charged_at = bench.clock.now();
    bench.pacer.charge(link::TrafficClass::control,
                       static_cast<size_t>(3 * kBytesPerSecond * elapsed / 1000));
  };
}

void bodies_are_sent_while_control_exceeds_the_link() {
  Bench bench;
  constexpr size_t kResponse = 2000;
  constexpr Duration kOverload(60000);
  overload_with_control(bench);
  const TimePoint end = bench.clock.now() + kOverload;
  Duration longest(0);
  size_t sent = 0;
  while (bench.clock.now() < end) {
    longest = std::max(longest, bench.send(kResponse));
    sent += kResponse;
  }
  expect(longest < Duration(3000), fmt::format("a response waited for {} ms", longest.count()));
  const double share = static_cast<double>(sent) / (kBytesPerSecond * 60);
  expect(share > 0.05 && share < 0.15, fmt::format("bodies had {} of the link", share));
}

void bodies_recover_soon_after_control_exceeded_the_link() {
  Bench bench;
  constexpr Duration kRecovery(3000);
  bench.pacer.charge(link::TrafficClass::control, static_cast<size_t>(kBytesPerSecond * 60));
  bench.clock.sleep(kRecovery);
  const Duration alone = bench.pacer.uncontended_time(1 << 20);
  const Duration after = bench.send(1 << 20);
  expect(after <= alone * 11 / 10,
         fmt::format("a body took {} ms, of {} ms alone", after.count(), alone.count()));
}

void a_small_body_is_not_behind_large_ones() {
  Bench bench;
  constexpr size_t kSmall = 2000, kLarge = 700000;
  while (bench.pacer.expected_time(1) <= Duration(0))
    expect(bench.send_part(kLarge), "a part was not granted");
  Duration small(0), large(0);
  bench.tasks.meanwhile = [&] {
    if (large > Duration(0)) return;  // only during the first wait of the large body
    small = bench.pacer.expected_time(kSmall);
    large = bench.pacer.expected_time(kLarge + 1);
  };
  expect(bench.send_part(kLarge), "a part was not granted");
  expect(small < Duration(100), fmt::format("a small body would take {} ms", small.count()));
  expect(large > bench.pacer.uncontended_time(kLarge) * 3 / 2,
         "a larger body is not queued behind the waiting one");
}

void timed_out_part_takes_no_tokens() {
  Bench bench;
  while (bench.pacer.expected_time(1) <= Duration(0))
    expect(bench.send_part(SIZE_MAX / 2), "a part was not granted");
  const auto before = bench.pacer.counts()[1];
  bench.pacer.charge(link::TrafficClass::control, 1 << 20);
  expect(!bench.send_part(1000, Duration(5)), "a part was granted after its time limit");
  const auto after = bench.pacer.counts()[1];
  same(after.bytes, before.bytes, "bytes taken");
  same(after.given_up, before.given_up + 1, "parts that were not granted in time");
  same(after.waiting_bytes, 0U, "waiting bytes");
}

void refunded_bytes_do_not_decrease_a_count() {
  Bench bench;
  const auto fetched = [&] { return bench.pacer.counts()[static_cast<size_t>(link::TrafficClass::fetches)]; };
  bench.pacer.charge(link::TrafficClass::fetches, 1000);
  bench.pacer.refund(link::TrafficClass::fetches, 400);
  same(fetched().bytes, 1000U, "bytes after the refund");
  bench.pacer.charge(link::TrafficClass::fetches, 500);
  same(fetched().bytes, 1100U, "bytes after more were used than refunded");
  bench.pacer.charge(link::TrafficClass::fetches, 500);
  same(fetched().bytes, 1600U, "bytes after the refund was set off");
}

void a_link_of_unknown_rate_paces_nothing() {
  ManualClock clock;
  NoTasks tasks;
  link::Pacer pacer(clock, tasks, 0);
  expect(pacer.acquire({link::TrafficClass::fetches, clock.now(), 1 << 30}, 1 << 30, Duration(0)), "at once");
  same(pacer.expected_time(1 << 30).count(), 0, "expected time");
}
}  // namespace

std::vector<Case> pacer_cases() {
  return {
      {"link: bodies leave a part of it to control", bodies_leave_a_part_of_the_link},
      {"link: control never waits, and bodies slow down for it", control_takes_from_bodies_and_never_waits},
      {"link: responses are sent while control exceeds the link's rate",
       bodies_are_sent_while_control_exceeds_the_link},
      {"link: bodies recover soon after control exceeded the link's rate",
       bodies_recover_soon_after_control_exceeded_the_link},
      {"link: a small body is not queued behind large ones", a_small_body_is_not_behind_large_ones},
      {"link: a part that times out takes no tokens", timed_out_part_takes_no_tokens},
      {"link: refunded bytes do not decrease a count", refunded_bytes_do_not_decrease_a_count},
      {"link: with an unknown rate nothing is paced", a_link_of_unknown_rate_paces_nothing}};
}

}  // namespace dunlinwing::test
