/// @file
/// In the release directory: `current` names the last good program, `next` the staged one with its digest,
/// `refused` lists the digests of programs that failed their health checks on this machine.
#include "software/stager.hpp"

#include <sys/stat.h>
#include <unistd.h>

#include "base/log.hpp"

namespace dunlinwing::software {
namespace {
constexpr base::Log logger("software");
constexpr const char* kCurrentFile = "current";
constexpr const char* kNextFile = "next";
constexpr const char* kRefusedFile = "refused";
constexpr const char* kStagingFile = "staging";  ///< the program while it is being fetched
constexpr mode_t kProgramMode = 0750;

constexpr int kHealthTimeoutBounds = 15;  ///< a new program must become healthy within this many bounds
constexpr int kHealthyBounds = 2;         ///< by being healthy for this many bounds without interruption
constexpr int kHealthChecksPerBound = 8;
}  // namespace

struct Stager::Impl {
  base::Ports& ports;
  Artifacts& artifacts;
  storage::DiskExecutor& executor;
  StagerPorts node;
  StagerOptions options;

  std::string path(const std::string& file) const { return options.release_directory + "/" + file; }

  /// The contents of a file without trailing newlines; empty when it cannot be read.
  std::string read(const char* file) {
    std::string text;
    executor.run([&] { text = storage::read_small_file(path(file)).value_or(""); });
    while (!text.empty() && text.back() == '\n') text.pop_back();
    return text;
  }

  bool write(const char* file, const std::string& text) {
    bool written = false;
    executor.run([&] { written = storage::replace_file(path(file), text + "\n"); });
    return written;
  }

  void add_refused(const std::string& sha256) {
    auto refused = read(kRefusedFile);
    refused += "\n";
    refused += sha256;
    write(kRefusedFile, refused);
  }

  void remove_next() {
    executor.run([&] {
      ::unlink(path(kNextFile).c_str());
      storage::sync_folder(options.release_directory);
    });
  }

  /// Whether this new program has been healthy for long enough and is recorded as good.
  bool becomes_healthy() {
    const TimePoint end = ports.clock.now() + options.bound * kHealthTimeoutBounds;
    TimePoint healthy_since = ports.clock.now();
    while (ports.clock.now() < end) {
      if (!node.is_healthy()) healthy_since = ports.clock.now();
      if (ports.clock.now() - healthy_since >= options.bound * kHealthyBounds)
        return write(kCurrentFile, options.program);
      ports.clock.sleep(options.bound / kHealthChecksPerBound);
    }
    return false;
  }

  /// Checks this program, which `next` names, and rolls back unless it becomes healthy.
  void check_health(const std::string& sha256) {
    logger.info("Program {} started for the first time on this machine; checking its health.",
                options.program);
    if (becomes_healthy()) {
      remove_next();
      logger.info("Program {} passed its health checks and is the current one now.", options.program);
      return;
    }
    logger.error("Program {} failed its health checks; rolling back to the last good program.",
                 options.program);
    add_refused(sha256);
    remove_next();
    node.terminate(kExitRollBack);
  }

  /// Completes or rolls back what an earlier process staged.
  void resolve_next() {
    auto next = read(kNextFile);
    if (next.empty()) {
      if (read(kCurrentFile).empty()) write(kCurrentFile, options.program);
      return;
    }
    auto space = next.find(' ');
    auto name = next.substr(0, space);
    auto sha256 = space == std::string::npos ? "" : next.substr(space + 1);
    if (name == options.program) return check_health(sha256);
    logger.warn("Staged program {} did not start; it will not be tried again on this machine.", name);
    add_refused(sha256);
    remove_next();
  }

  enum class PlacementResult { done, wrong_digest, failed };

  /// Renames the fetched program to its final name if its digest matches.
  PlacementResult place_program(const std::string& program, const std::string& sha256) {
    auto fetched = path(kStagingFile);
    auto placed = PlacementResult::failed;
    executor.run([&] {
      if (storage::sha256_hex_of(fetched) != sha256)
        placed = PlacementResult::wrong_digest;
      else if (::chmod(fetched.c_str(), kProgramMode) == 0 &&
               ::rename(fetched.c_str(), path(program).c_str()) == 0 &&
               storage::sync_folder(options.release_directory))
        placed = PlacementResult::done;
    });
    return placed;
  }

  void report(const SoftwareRelease& target, const std::string& reason) {
    node.report_error(fmt::format("software/{}: {}", target.name, reason));
  }

  void stage(const SoftwareRelease& target) {
    auto program = "relay-" + target.version;
    if (read(kRefusedFile).find(target.sha256) != std::string::npos)
      return report(target, "it was tried here and did not prove itself");
    // An incomplete artifact is fetched again at the next attempt.
    if (!artifacts.fetch(target, path(kStagingFile), executor)) return;
    auto placed = place_program(program, target.sha256);
    if (placed == PlacementResult::wrong_digest) return report(target, "what came has another digest");
    if (placed == PlacementResult::failed) return report(target, "it cannot be staged in the release folder");
    while (node.too_many_unavailable()) ports.clock.sleep(options.bound / 2);
    if (!write(kNextFile, program + " " + target.sha256))
      return report(target, "the release folder cannot be written");
    logger.info("Program {} is staged; shutting down so that the supervisor starts it.", program);
    node.terminate(kExitStartNext);
  }

  void stage_pending() {
    auto target = node.pending_software();
    if (!target) return;
    if (options.release_directory.empty())
      report(*target, "no release folder is set for this machine");
    else
      stage(*target);
  }
};

Stager::Stager(base::Ports& ports, Artifacts& artifacts, storage::DiskExecutor& executor, StagerPorts node,
               StagerOptions options)
    : impl_(new Impl{ports, artifacts, executor, std::move(node), std::move(options)}) {}
Stager::~Stager() = default;

void Stager::start() {
  impl_->ports.tasks.spawn([impl = impl_] {
    if (!impl->options.release_directory.empty()) impl->resolve_next();
    for (;;) {
      impl->ports.clock.sleep(impl->options.bound / 2);
      impl->stage_pending();
    }
  });
}

}  // namespace dunlinwing::software
