// The console program: operators' command line over the whole fleet.
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

#include "base/log.hpp"
#include "console/commands.hpp"
#include "net/http.hpp"
#include "net/peer.hpp"

DEFINE_string(seeds, "", "control addresses of relays, with commas; else DUNLINWING_SEEDS");
DEFINE_bool(json, false, "give the relay's own JSON");
DEFINE_string(reason, "", "why, for what is recorded with a reason");
DEFINE_int32(wait, 0, "watch: seconds at most");

using namespace dunlinwing;

namespace {
std::string usage() {
  std::string s = "the operators' command line\n  console --seeds IP:PORT[,IP:PORT...] COMMAND\n";
  for (auto& [n, c] : console::commands()) s += fmt::format("  {:<48} {}\n", c.form, c.what);
  return s + "  exit: 0 fine, 1 not so, 2 usage, 3 not found, 4 rejected, 5 no answer, 6 fate unknown";
}

int bad(const std::string& why) {
  std::cerr << "console: " << why << "; see console --help\n";
  return console::kUsage;
}
}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(usage());
  gflags::SetVersionString(kSoftware);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc < 2) return bad("no command is given");
  auto f = console::commands().find(argv[1]);
  if (f == console::commands().end()) return bad(fmt::format("there is no command \"{}\"", argv[1]));
  std::vector<std::string> args(argv + 2, argv + argc);
  if (args.size() < f->second.least || args.size() > f->second.most) return bad("usage: " + f->second.form);
  console::ClientOptions r;
  auto seeds = FLAGS_seeds;
  if (auto* e = std::getenv("DUNLINWING_SEEDS"); seeds.empty() && e) seeds = e;
  r.seeds = base::split_list(seeds, ',');
  for (auto& x : r.seeds)
    if (!net::split_address(x)) return bad("\"" + x + "\" is not IP:port");
  if (r.seeds.empty()) return bad("--seeds names no relay");
  std::signal(SIGPIPE, SIG_IGN);
  net::EventLoopPool pool(1);
  net::HttpClient http(64u << 20);
  net::SystemClock clock;
  pool.run([&] {
    console::Client link(http, r);
    console::Session s{link, clock, args, FLAGS_json, FLAGS_reason, FLAGS_wait};
    int rc = f->second.run(s);
    std::cout << std::flush;
    net::EventLoopPool::stop(rc);
  });
}
