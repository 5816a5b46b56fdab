// The selection of an object's shield: all nodes select the same one, and the next one if it fails.
#include "proxy/shield_selector.hpp"

#include "support/manual_ports.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
constexpr int kNodes = 30;
constexpr int kKeys = 200;

proxy::RoutingSnapshot snapshot_of(const std::vector<std::string>& shields) {
  proxy::RoutingSnapshot snapshot;
  snapshot.nodes = kNodes;
  for (const auto& name : shields) snapshot.shields.push_back({name, name + ":7"});
  return snapshot;
}

std::string key(int number) { return fmt::format("app\nhost\n/{}", number); }

std::string selected(const proxy::ShieldSelector& selector, const proxy::RoutingSnapshot& snapshot,
                     int number, const std::vector<std::string>& tried = {}) {
  const auto shield = selector.select(snapshot, key(number), tried);
  return shield ? shield->name : std::string();
}

void all_nodes_choose_alike() {
  ManualClock clock;
  const proxy::ShieldSelector first(clock, "n1"), second(clock, "n2");
  const auto snapshot = snapshot_of({"s1", "s2", "s3"}), reordered = snapshot_of({"s3", "s1", "s2"});
  std::map<std::string, int> objects;
  for (int i = 0; i < kKeys; ++i) {
    same(selected(first, snapshot, i), selected(second, reordered, i), "the shield of an object");
    ++objects[selected(first, snapshot, i)];
  }
  for (const auto& name : {"s1", "s2", "s3"})
    expect(objects[name] > kKeys / 6, fmt::format("{} has {} objects", name, objects[name]));
}

void removed_shield_moves_only_its_objects() {
  ManualClock clock;
  const proxy::ShieldSelector selector(clock, "n1");
  const auto all = snapshot_of({"s1", "s2", "s3"}), without = snapshot_of({"s1", "s3"});
  for (int i = 0; i < kKeys; ++i)
    if (const auto before = selected(selector, all, i); before != "s2")
      same(selected(selector, without, i), before, "the shield of an object of another shield");
}

void next_shield_replaces_failed_one() {
  ManualClock clock;
  proxy::ShieldSelector selector(clock, "n1");
  const auto snapshot = snapshot_of({"s1", "s2"});
  const auto first = selected(selector, snapshot, 1);
  const auto other = first == "s1" ? "s2" : "s1";
  same(selected(selector, snapshot, 1, {first}), std::string(other), "the shield after one that was tried");
  selector.record_failure(first + ":7", clock.now());
  same(selected(selector, snapshot, 1), std::string(other), "the shield while the first is backed off");
  constexpr Duration kLonger{3000};
  clock.sleep(kLonger);
  same(selected(selector, snapshot, 1), first, "the shield after the backoff");
}

void a_slow_call_is_no_failure_of_its_shield() {
  ManualClock clock;
  proxy::ShieldSelector selector(clock, "n1");
  const auto snapshot = snapshot_of({"s1", "s2"});
  const auto first = selected(selector, snapshot, 1);
  const TimePoint sent_at = clock.now();
  constexpr Duration kLater{100};
  clock.sleep(kLater);
  selector.record_response(first + ":7");
  clock.sleep(kLater);
  selector.record_failure(first + ":7", sent_at);
  same(selected(selector, snapshot, 1), first,
       "the shield that has responded to another call in the meantime");
}

void a_shield_fetches_by_itself() {
  ManualClock clock;
  const proxy::ShieldSelector selector(clock, "s1");
  const auto snapshot = snapshot_of({"s1", "s2"});
  int own = 0;
  for (int i = 0; i < kKeys; ++i) own += selected(selector, snapshot, i).empty();
  expect(own > kKeys / 4 && own < kKeys * 3 / 4, fmt::format("the shield fetches {} objects itself", own));
  auto small = snapshot;
  small.nodes = kNodes / 2;
  same(selected(proxy::ShieldSelector(clock, "n1"), small, 1), std::string(), "the shield in a small fleet");
}
}  // namespace

std::vector<Case> shield_selector_cases() {
  return {
      {"shields: all nodes select the same shield", all_nodes_choose_alike},
      {"shields: removing a shield moves only its objects", removed_shield_moves_only_its_objects},
      {"shields: the next shield replaces a failed one", next_shield_replaces_failed_one},
      {"shields: a slow call does not back off a responsive shield", a_slow_call_is_no_failure_of_its_shield},
      {"shields: a shield fetches its own objects from the origin", a_shield_fetches_by_itself}};
}

}  // namespace dunlinwing::test
