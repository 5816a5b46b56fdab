/// @file
/// The relays of a soak run as real processes: starts and signals them, and records when each process started
/// and was signalled, so that lost requests are distinguished from requests whose relay was killed.
///
/// Thread safety: used only by the single event loop of the soak program.
#pragma once
#include <sys/types.h>

#include <string>
#include <vector>

#include "net/system_clock.hpp"

namespace dunlinwing::test {

struct SoakFleetOptions {
  std::string directory;
  std::string relay_program;  ///< path of the built relay
  int first_port = 26000;     ///< first of the loopback ports, three for each relay
  int relays = 9;
  int shields = 0;  ///< the last ones of these are dedicated shields, which fetch for the others
  int memory_mb = 160;
  int descriptors = 250;  ///< few, so that relays constantly close client connections to free descriptors
  Duration grace{6000};   ///< time from SIGTERM to SIGKILL
};

struct SoakRelay {
  bool is_shield = false;
  std::string name;
  std::string client_address;
  std::string control_address;
  std::string peer_address;
  char zone = 'a';
  bool has_disk = false;
  pid_t process = -1;        ///< -1: not running
  int start_count = 0;       ///< number of starts
  TimePoint started_at{0};   ///< start of the current process
  bool terminating = false;  ///< SIGTERM was sent to the current process
  TimePoint terminated_at{0};
  TimePoint killed_at{0};  ///< time of the latest SIGKILL to any process of this relay
};

class SoakFleet {
 public:
  explicit SoakFleet(SoakFleetOptions options);

  void start_all();
  void start(SoakRelay& relay);

  /// Sends SIGTERM, and SIGKILL after the grace period; suspends the calling fiber until the process has
  /// ended.
  /// @return whether it ended without SIGKILL
  bool terminate(SoakRelay& relay);
  void kill(SoakRelay& relay);

  /// Rewrites the settings with the seeds in another order, and sends SIGHUP. Does nothing in the first
  /// second of a process: before its main function has begun, SIGHUP would end it.
  void reload(SoakRelay& relay, int rotation);

  /// The same with a settings file of this text, which has to change nothing.
  void reload_invalid(SoakRelay& relay, const std::string& settings);
  void kill_all();

  /// Starts each relay again whose process has ended by itself, as a supervisor does.
  void restart_ended();

  /// Compares the peak memory of each running process with its limit, as is done before each signal that ends
  /// one.
  void check_memory();

  /// Processes that ended by themselves, or otherwise than by the signal that was sent to them, or took more
  /// memory than they have.
  const std::vector<std::string>& unexpected_ends() const { return unexpected_ends_; }

  /// The last line with this text in the relay's log; empty when there is none.
  std::string log_line_with(const SoakRelay& relay, const std::string& text) const;

  std::vector<SoakRelay>& relays() { return relays_; }
  int terminating_count() const { return terminating_count_; }        ///< relays that are terminating
  int terminating_replicas() const { return terminating_replicas_; }  ///< the replicas among these
  size_t peak_memory() const {
    return peak_memory_;
  }  ///< bytes, the largest of all processes that were checked

 private:
  std::string settings_path(const SoakRelay& relay) const;
  void write_settings(const SoakRelay& relay, bool first_start, int rotation) const;
  bool reap(SoakRelay& relay);
  void record_end(SoakRelay& relay, int wait_status);
  void check_memory(const SoakRelay& relay);

  SoakFleetOptions options_;
  std::vector<SoakRelay> relays_;
  std::vector<std::string> unexpected_ends_;
  net::SystemClock clock_;
  int terminating_count_ = 0;
  int terminating_replicas_ = 0;
  size_t peak_memory_ = 0;
};

}  // namespace dunlinwing::test
