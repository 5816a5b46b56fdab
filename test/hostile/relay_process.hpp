/// @file
/// One relay as a process of its own, with small limits, and what it takes of its machine: resident memory
/// and descriptors. It is the only relay of its fleet and holds the state.
///
/// Thread safety: used only by the single event loop of the test program.
#pragma once
#include <sys/types.h>

#include <string>

#include "net/http.hpp"

namespace dunlinwing::test {

struct RelayOptions {
  std::string program;     ///< path of the built relay
  std::string directory;   ///< for settings, data and the log
  int first_port = 27000;  ///< of three loopback ports
  int memory_mb = 64;
  int descriptors = 1200;
};

class RelayProcess {
 public:
  explicit RelayProcess(RelayOptions options);
  RelayProcess(const RelayProcess&) = delete;
  RelayProcess& operator=(const RelayProcess&) = delete;
  ~RelayProcess();

  /// Starts the process and puts the configuration in force; suspends the calling fiber until it is ready.
  /// @throws Failed when it is not ready in time
  void start(const std::string& configuration);

  /// Whether the process has not ended.
  bool is_running() const;

  /// The largest resident memory of the process so far, in bytes, as the kernel counted it.
  size_t peak_memory_bytes() const;
  size_t open_descriptors() const;

  std::string client_address() const { return address(0); }
  std::string control_address() const { return address(1); }
  const RelayOptions& options() const { return options_; }

 private:
  std::string address(int index) const;
  void write_settings() const;
  void await_success(const base::Request& request) const;

  RelayOptions options_;
  pid_t process_ = -1;  ///< -1: not started
};

}  // namespace dunlinwing::test
