/// @file
/// Commands on releases: recording, showing, following and controlling them.
#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "console/commands.hpp"
#include "console/output.hpp"

namespace dunlinwing::console {
namespace {
constexpr int kDefaultWatchSeconds = 86400;
constexpr Duration kWatchInterval{500};
constexpr uint64_t kChunkBytes = 1 << 20;  ///< of an artifact, in one request

std::optional<std::string> read_file(const std::string& path) {
  std::ifstream file(path);
  std::stringstream content;
  content << file.rdbuf();
  if (!file) {
    std::cerr << "console: cannot read " << path << "\n";
    return {};
  }
  return content.str();
}

std::string release_path(const std::string& kind, const std::string& name) {
  return fmt::format("/v1/releases/{}/{}", kind, name);
}

/// The path of the release that the first two arguments name.
std::string release_path(const CommandContext& context) {
  return release_path(context.arguments[0], context.arguments[1]);
}

bool has_failed(const std::string& phase) { return phase == "STOPPED" || phase == "WITHDRAWN"; }

ExitStatus apply(CommandContext& context) {
  auto document = read_file(context.arguments[2]);
  if (!document) return ExitStatus::usage;
  auto reply = context.client.put(release_path(context), *document);
  return print_confirmation(
      context, reply,
      reply.status == 202 ? "recorded; rollout will take it up" : "was recorded before, unchanged");
}

void print_release_row(const base::Json& release) {
  auto progress = release.at("course");
  std::cout << row({{release.at("kind").string_or(), 9},
                    {release.at("name").string_or(), 20},
                    {progress.at("phase").string_or("not taken up"), 12},
                    {progress.at("zone").string_or(), 6},
                    {progress.at("why").string_or(), 0}});
}

ExitStatus list(CommandContext& context) {
  auto reply =
      context.client.get(context.arguments.empty() ? "/v1/releases" : "/v1/releases/" + context.arguments[0]);
  return print_reply(context, reply, [](const base::Json& body) {
    std::cout << row({{"KIND", 9}, {"NAME", 20}, {"PHASE", 12}, {"ZONE", 6}, {"WHY", 0}});
    for (auto& release : body.at("releases").items()) print_release_row(release);
  });
}

void print_release(const base::Json& release) {
  auto progress = release.at("course");
  auto evidence = progress.at("evidence");
  auto count = [&](const char* name) { return evidence.at(name).string_or("0"); };
  std::cout << "release   " << release.at("kind").string_or() << " " << release.at("name").string_or() << "\n"
            << "phase     " << progress.at("phase").string_or("not taken up yet") << " "
            << progress.at("zone").string_or() << "\n"
            << "why       " << progress.at("why").string_or() << "\n"
            << "machine   " << progress.at("machine").string_or() << "\n"
            << "held      " << progress.at("held_ms").string_or("0") << " ms\n"
            << "on it     " << count("on_requests") << " requests, " << count("on_defects") << " defects\n"
            << "elsewhere " << count("off_requests") << " requests, " << count("off_defects") << " defects\n"
            << "probes    " << count("probes_ok") << " good, " << count("probes_bad") << " bad\n";
  for (auto& [check, reason] : release.at("acts").at("waived").members())
    std::cout << "waived    " << check << ": " << reason.string_or() << "\n";
}

ExitStatus status(CommandContext& context) {
  auto reply = context.client.get(release_path(context));
  auto shown = print_reply(context, reply, print_release);
  if (shown != ExitStatus::ok) return shown;
  return has_failed(reply.body.at("course").at("phase").string_or()) ? ExitStatus::negative : ExitStatus::ok;
}

/// The progress of a release, as a line that does not change while it only waits for a phase to end.
std::string progress_line(const base::Json& progress, const std::string& phase) {
  auto place = phase + " " + progress.at("zone").string_or() + ": ";
  auto reason = progress.at("why").string_or();
  auto line = place + reason;
  return line.find(" s of the phase") != std::string::npos ? place + "holding" : line;
}

/// Follows a release until it ends, a line for each change of phase or reason.
ExitStatus watch(CommandContext& context) {
  const int seconds = context.wait_seconds ? context.wait_seconds : kDefaultWatchSeconds;
  const TimePoint end = context.clock.now() + Duration(seconds * 1000LL);
  std::string last;
  while (context.clock.now() < end) {
    auto reply = context.client.get(release_path(context));
    if (reply.status != 200) return report_rejection(reply);
    auto progress = reply.body.at("course");
    auto phase = progress.at("phase").string_or("not taken up yet");
    auto line = progress_line(progress, phase);
    if (line != last) std::cout << line << "\n" << std::flush;
    last = line;
    if (phase == "DONE") return ExitStatus::ok;
    if (has_failed(phase)) return ExitStatus::negative;
    context.clock.sleep(kWatchInterval);
  }
  std::cerr << "console: the release did not end within the time limit\n";
  return ExitStatus::negative;
}

ExitStatus report_wrong_file(const std::string& or_else = {}) {
  std::cerr << "console: the file is not the one that the release names" << or_else << "\n";
  return ExitStatus::rejected;
}

/// Resumes an interrupted upload: the fleet reports how many bytes it stores.
ExitStatus upload(CommandContext& context) {
  auto release = context.client.get(release_path("software", context.arguments[0]));
  if (release.status != 200) return report_rejection(release);
  auto data = read_file(context.arguments[1]);
  if (!data) return ExitStatus::usage;
  auto path = "/v1/artifacts/" + release.body.at("document").at("content").at("sha256").string_or();
  auto progress = context.client.get(path);
  if (progress.status != 200) return report_rejection(progress);
  while (!progress.body.at("whole").bool_or()) {
    auto stored_bytes = static_cast<uint64_t>(progress.body.at("held").integer_or());
    if (stored_bytes >= data->size()) return report_wrong_file();
    auto reply = context.client.put(fmt::format("{}?offset={}", path, stored_bytes),
                                    data->substr(stored_bytes, kChunkBytes));
    if (reply.status == 409) return report_wrong_file(", or another upload is under way");
    if (reply.status != 200) return report_rejection(reply);
    progress = reply;
  }
  std::cout << "the artifact is held whole by a majority\n";
  return ExitStatus::ok;
}

/// Prints each place where two documents differ.
/// @return how many there are
int print_differences(const base::Json& left, const base::Json& right, const std::string& pointer) {
  auto left_members = left.members();
  auto right_members = right.members();
  if (left_members.empty() && right_members.empty()) {
    if (left.text() == right.text()) return 0;
    std::cout << pointer << ": " << left.text() << " -> " << right.text() << "\n";
    return 1;
  }
  struct Sides {
    base::Json left, right;
  };
  std::map<std::string, Sides> members;
  for (auto& [name, value] : left_members) members[name].left = value;
  for (auto& [name, value] : right_members) members[name].right = value;
  int differences = 0;
  for (auto& [name, sides] : members)
    differences += print_differences(sides.left, sides.right, fmt::format("{}/{}", pointer, name));
  return differences;
}

ExitStatus diff(CommandContext& context) {
  auto left = context.client.get(release_path(context));
  auto right = context.client.get(release_path(context.arguments[0], context.arguments[2]));
  if (left.status != 200) return report_rejection(left);
  if (right.status != 200) return report_rejection(right);
  int differences = print_differences(left.body.at("document"), right.body.at("document"), "");
  return differences ? ExitStatus::negative : ExitStatus::ok;
}

/// Records an operator action on a release together with the reason.
/// @param resource  path of the action, below the release's path
ExitStatus put_with_reason(CommandContext& context, const std::string& resource, const std::string& message) {
  if (context.reason.empty()) return report_missing_reason();
  auto body = fmt::format(R"({{"reason":{}}})", base::quote(context.reason));
  return print_confirmation(context, context.client.put(release_path(context) + resource, body), message);
}

ExitStatus waive(CommandContext& context) {
  return put_with_reason(context, "/waivers/" + context.arguments[2], "waived");
}
ExitStatus withdraw(CommandContext& context) { return put_with_reason(context, "/withdrawal", "withdrawn"); }
ExitStatus express(CommandContext& context) {
  return put_with_reason(context, "/express", "sent by express");
}
}  // namespace

Commands release_commands() {
  return {
      {"apply", {"apply KIND NAME FILE", "records a release", 3, 3, apply}},
      {"list", {"list [KIND]", "lists all releases and their progress", 0, 1, list}},
      {"status", {"status KIND NAME", "shows the progress of a release, and why it waits", 2, 2, status}},
      {"watch", {"watch KIND NAME", "follows a release until it ends", 2, 2, watch}},
      {"upload", {"upload NAME FILE", "uploads the program of a recorded software release", 2, 2, upload}},
      {"diff", {"diff KIND NAME NAME", "shows the differences between two releases", 3, 3, diff}},
      {"waive", {"waive KIND NAME CHECK --reason R", "waives one check for one release", 3, 3, waive}},
      {"withdraw", {"withdraw KIND NAME --reason R", "withdraws a release", 2, 2, withdraw}},
      {"express", {"express KIND NAME --reason R", "rolls a release out to all at once", 2, 2, express}},
  };
}

}  // namespace dunlinwing::console
