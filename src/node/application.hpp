/// @file
/// The relay process: owns the node, its sockets, disk, software management and control API, and shuts the
/// process down gracefully.
///
/// Invariant: destroyed only when startup failed; a running process exits through EventLoopPool::stop().
/// Threads: prepare() and run() on the main thread, which becomes the control thread.
#pragma once
#include "control_api/router.hpp"
#include "link/link.hpp"
#include "net/http.hpp"
#include "net/peer_client.hpp"
#include "node/listeners.hpp"
#include "node/settings_reloader.hpp"
#include "node/shutdown_sequence.hpp"
#include "software/stager.hpp"
#include "storage/async_disk.hpp"

namespace dunlinwing::node {

/// How the process was started.
struct CommandLine {
  std::string settings_path;
  std::string program;  ///< file name of the running executable
};

class Application {
 public:
  Application(Settings settings, CommandLine command_line);
  Application(const Application&) = delete;
  Application& operator=(const Application&) = delete;
  ~Application();

  /// Opens the disk, builds the node and listens.
  /// @return the error that prevents the start; empty when there is none
  [[nodiscard]] std::optional<std::string> prepare();

  /// Serves requests until a signal or a software update ends the process.
  [[noreturn]] void run();

 private:
  struct Signals;

  std::optional<std::string> open_disk();
  void create_software();
  software::StagerPorts stager_ports();
  bool too_many_unavailable();
  ListenerHandlers handlers();
  pb::PeerResponse handle_peer_request(const pb::PeerRequest& request,
                                       const base::CancellationPtr& cancellation);
  pb::ForwardResponse forward_on_traffic_thread(const pb::ForwardRequest& forward,
                                                const base::CancellationPtr& cancellation);
  void follow_client_limits();
  void watch_settings();
  void stop(int status);

  Settings settings_;
  CommandLine command_line_;
  net::EventLoopPool pool_;
  net::SystemClock clock_;
  net::SystemRandom random_;
  SocketBudget sockets_;
  link::Link link_;
  base::MemoryAccount memory_;  ///< of what requests and responses take
  net::PeerClient peer_client_;
  net::HttpClient http_client_;
  base::Ports ports_{clock_, random_, pool_, peer_client_, http_client_, &link_, memory_};
  std::unique_ptr<storage::AsyncDisk> disk_;  ///< null on a machine that stores no state
  std::unique_ptr<Node> node_;
  std::unique_ptr<storage::ArtifactFiles> artifact_files_;    ///< null on a machine that stores no state
  std::unique_ptr<storage::DiskExecutor> artifact_executor_;  ///< runs file operations on artifacts
  std::unique_ptr<software::Artifacts> artifacts_;
  std::unique_ptr<software::Stager> stager_;
  std::unique_ptr<control_api::Router> router_;
  Listeners listeners_;
  std::unique_ptr<ShutdownSequence> shutdown_;
  std::unique_ptr<SettingsReloader> settings_reloader_;
  std::unique_ptr<Signals> signals_;
  int last_traffic_thread_ = 0;  ///< that ran the previous forwarded request
};

}  // namespace dunlinwing::node
