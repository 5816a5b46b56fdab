// Entry point of `relay`, the one executable of all nodes: flags and settings.
#include <gflags/gflags.h>
#include <malloc.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "base/log.hpp"
#include "node/application.hpp"

DEFINE_string(config, "", "the settings file (JSON)");
DEFINE_bool(check, false, "check the settings and stop");
DEFINE_string(name, "", "overrides /name of the settings");
DEFINE_string(zone, "", "overrides /zone of the settings");
DEFINE_string(log_level, "", "overrides /log_level of the settings");

namespace dw = dunlinwing;

namespace {
constexpr dw::base::Log logger("relay");

// Exit statuses.
constexpr int kBadSettings = 2;
constexpr int kCannotStart = 3;

std::optional<std::string> read_settings_file() {
  if (FLAGS_config.empty()) {
    std::cerr << "relay: --config requires a file name\n";
    return {};
  }
  std::ifstream file(FLAGS_config);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    std::cerr << "relay: cannot read " << FLAGS_config << "\n";
    return {};
  }
  return text.str();
}

/// Reads the settings file and applies the flags; prints the errors and returns nothing when it is not valid.
std::optional<dw::node::Settings> load_settings() {
  const auto text = read_settings_file();
  if (!text) return {};
  auto parsed = dw::node::parse_settings(*text);
  if (const auto* errors = std::get_if<std::vector<dw::base::ValidationError>>(&parsed)) {
    for (const auto& error : *errors)
      std::cerr << "relay: " << FLAGS_config << ": " << (error.pointer.empty() ? "/" : error.pointer) << " "
                << error.message << "\n";
    return {};
  }
  auto settings = std::get<dw::node::Settings>(std::move(parsed));
  if (!FLAGS_name.empty()) settings.node.name = FLAGS_name;
  if (!FLAGS_zone.empty()) settings.node.zone = FLAGS_zone;
  if (!FLAGS_log_level.empty()) settings.log_level = FLAGS_log_level;
  dw::base::LogLevel level{};
  if (!dw::base::parse_log_level(settings.log_level, level)) {
    std::cerr << "relay: --log_level must be one of debug, info, warn, error\n";
    return {};
  }
  dw::base::set_log_level(level);
  return settings;
}

// Makes what the process holds follow what it uses: large blocks go back to the system as soon as they are
// freed. Left to itself, the allocator raises the threshold, and small blocks between large ones keep them
// resident.
void configure_allocator() {
  constexpr int kLargeBlockBytes = 128 << 10;
  constexpr int kSpareBytes = 1 << 20;
  constexpr int kArenas = 2;
  ::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kSpareBytes);
  ::mallopt(M_ARENA_MAX, kArenas);
}

int run(int argc, char** argv) {
  gflags::SetUsageMessage("a node of the dunlinwing delivery network\n  relay --config FILE [--check]");
  gflags::SetVersionString(dw::kSoftwareVersion);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc > 1) {
    std::cerr << "relay: unexpected argument \"" << argv[1] << "\"; see relay --help\n";
    return kBadSettings;
  }
  const auto settings = load_settings();
  if (!settings) return kBadSettings;
  if (FLAGS_check) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const std::string program = argv[0];
  dw::node::Application application(*settings, {FLAGS_config, program.substr(program.rfind('/') + 1)});
  if (const auto error = application.prepare()) {
    logger.error("{}: cannot start: {}.", settings->node.name, *error);
    return kCannotStart;
  }
  application.run();
}
}  // namespace

int main(int argc, char** argv) {
  // Until Application handles it: the default action would end a process that has just started.
  std::signal(SIGHUP, SIG_IGN);
  configure_allocator();
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "relay: " << error.what() << "\n";
    return kCannotStart;
  }
}
