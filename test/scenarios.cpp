// Each scenario begins with a fleet that serves its first layout, lets callers
// call, brings its failure about, and waits on conditions.
#include "scenarios.hpp"

#include <iostream>

namespace dunlinwing::test {
using namespace std::chrono_literals;

namespace {
bool say(bool ok, const char* what) {
  std::cout << (ok ? "seen: " : "NOT SEEN: ") << what << "\n" << std::flush;
  return ok;
}

bool put_layout(Run& r, const std::string& name, const std::string& doc) {
  auto a = r.f.any("PUT", "/v1/releases/layout/" + name, doc);
  if (a.status != 202) {
    std::cout << "PUT " << name << " gave " << a.status << " " << a.body << "\n";
    return false;
  }
  r.f.event(fmt::format(R"("t":"recorded","release":"{}")", name));
  return true;
}

bool begin(Run& r) {
  r.f.start_relays();
  r.f.start_workers();
  bool put = r.f.until(20s, [&] { return r.f.any("GET", "/v1/nodes").status == 200; });
  return say(put, "control answers") && say(put_layout(r, "first", layout_document(r.f.config().deployment)), "first layout recorded") &&
         say(r.f.all_ready(20s), "all relays are ready under the first layout");
}

bool calls(Run& r, const std::function<bool()>& meanwhile) {
  auto p = r.f.start_caller("c1", r.rate, r.seconds, r.seed);
  bool ok = meanwhile();
  while (!r.f.caller_done(p)) r.f.clock.nap(50ms);
  return ok;
}

bool up(Run& r) {
  if (!begin(r)) return false;
  while (!r.stopped()) r.f.clock.nap(100ms);
  return true;
}

// A second layout goes through all its phases under load.
bool rollout(Run& r) {
  if (!begin(r)) return false;
  return calls(r, [&] {
    return say(put_layout(r, "second", layout_document(r.f.config().deployment, "2")), "second layout recorded") &&
           say(r.f.layout_everywhere("second", Span(r.seconds * 1000 + 30000)), "second layout runs everywhere");
  });
}
}  // namespace

const std::map<std::string, std::function<bool(Run&)>>& scenarios() {
  static const std::map<std::string, std::function<bool(Run&)>> all{{"up", up}, {"rollout", rollout}};
  return all;
}

}  // namespace dunlinwing::test
