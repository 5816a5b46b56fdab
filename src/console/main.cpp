/// @file
/// The console program: the operators' command line over the whole fleet.
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "base/log.hpp"
#include "console/commands.hpp"
#include "net/address.hpp"
#include "net/http.hpp"

DEFINE_string(
    seeds, "",
    "control addresses of relays, separated by commas; default: the environment variable DUNLINWING_SEEDS");
DEFINE_bool(json, false, "print the relay's JSON instead of tables");
DEFINE_string(reason, "", "the reason to record, for commands that need one");
DEFINE_int32(wait, 0, "the maximum time of watch and holders add, in seconds; 0: the default of the command");

using namespace dunlinwing;

namespace {
constexpr size_t kMaxResponseBytes = size_t{64} << 20;

std::string usage() {
  std::string text = "the operators' command line\n  console --seeds IP:PORT[,IP:PORT...] COMMAND\n";
  for (const auto& [name, command] : console::commands())
    text += fmt::format("  {:<48} {}\n", command.syntax, command.description);
  return text +
         "  exit status: 0 success, 1 negative result, 2 usage error, 3 not found, 4 rejected, 5 no answer, "
         "6 outcome unknown";
}

int report_usage(const std::string& reason) {
  std::cerr << "console: " << reason << "; see console --help\n";
  return static_cast<int>(console::ExitStatus::usage);
}

std::vector<std::string> seeds() {
  auto text = FLAGS_seeds;
  if (const auto* variable = std::getenv("DUNLINWING_SEEDS"); text.empty() && variable) text = variable;
  return base::split_list(text, ',');
}

[[noreturn]] void run(const console::Command& command, const std::vector<std::string>& arguments,
                      const std::vector<std::string>& seeds) {
  std::signal(SIGPIPE, SIG_IGN);
  net::EventLoopPool pool(1);
  net::HttpClient http(kMaxResponseBytes);
  net::SystemClock clock;
  pool.run([&] {
    console::Client client(http, seeds);
    console::CommandContext context{client, clock, arguments, FLAGS_json, FLAGS_reason, FLAGS_wait};
    auto status = command.run(context);
    std::cout << std::flush;
    net::EventLoopPool::stop(static_cast<int>(status));
  });
}
}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(usage());
  gflags::SetVersionString(kSoftwareVersion);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc < 2) return report_usage("no command given");
  auto found = console::commands().find(argv[1]);
  if (found == console::commands().end()) return report_usage(fmt::format("unknown command \"{}\"", argv[1]));
  const auto& command = found->second;
  const std::vector<std::string> arguments(argv + 2, argv + argc);
  if (arguments.size() < command.min_arguments || arguments.size() > command.max_arguments)
    return report_usage("usage: " + command.syntax);
  const auto addresses = seeds();
  for (const auto& address : addresses)
    if (!net::parse_address(address)) return report_usage("\"" + address + "\" is not IP:port");
  if (addresses.empty()) return report_usage("no control address of a relay is given, set --seeds");
  run(command, arguments, addresses);
}
