#include "node/application.hpp"

#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "base/log.hpp"
#include "node/memory_budget.hpp"
#include "platform/control_adapter.hpp"
#include "platform/protocol_adapter.hpp"
#include "storage/snapshot_store.hpp"

namespace dunlinwing::node {
namespace {
constexpr base::Log logger("relay");
constexpr size_t kResponseBodyBytes = 16U << 20;  // limit of a backend instance's response
constexpr Duration kForwardCheck(1000);  // at most between two checks whether a forwarded request is done

bool is_for_platform(const Settings& settings) { return settings.protocol_adapter == "platform"; }
}  // namespace

/// The signals that the process handles.
struct Application::Signals {
  boost::asio::signal_set stop;
  boost::asio::signal_set reload;

  explicit Signals(boost::asio::io_context& io) : stop(io, SIGTERM, SIGINT), reload(io, SIGHUP) {}

  void on_stop(std::function<void()> handler) {
    stop.async_wait([handler = std::move(handler)](auto error, int /*signal*/) {
      if (!error) handler();
    });
  }

  void on_reload(const std::function<void()>& handler) {
    reload.async_wait([this, handler](auto error, int /*signal*/) {
      if (error) return;
      handler();
      on_reload(handler);
    });
  }
};

Application::Application(Settings settings, CommandLine command_line)
    : settings_(std::move(settings)),
      command_line_(std::move(command_line)),
      pool_(settings_.threads),
      sockets_(make_socket_budget(settings_.max_sockets, !settings_.data_directory.empty())),
      link_(clock_, pool_, settings_.node.link_mbps),
      memory_(make_memory_budget(settings_.memory_mb).account),
      peer_client_(sockets_.peers_called, &link_),
      http_client_(kResponseBodyBytes, sockets_.upstream_idle, &link_, memory_),
      listeners_(pool_, settings_, sockets_, link_, memory_) {}

Application::~Application() = default;

std::optional<std::string> Application::prepare() {
  NodeConfig& config = settings_.node;
  if (config.scale > 1)
    logger.warn("{}: ROLLOUT HOLD TIMES ARE DIVIDED BY {}. For tests only, never for production.",
                config.name, config.scale);
  if (auto error = open_disk()) return error;
  if (is_for_platform(settings_)) config.protocol_adapter = platform::protocol_adapter();
  node_ = std::make_unique<Node>(ports_, config, disk_.get());
  create_software();
  router_ = std::make_unique<control_api::Router>(ports_, *node_);
  shutdown_ = std::make_unique<ShutdownSequence>(clock_, *node_, listeners_,
                                                 shutdown_times(settings_.grace, config.bound));
  if (auto error = listeners_.start(handlers())) return error;
  signals_ = std::make_unique<Signals>(pool_.io(0));
  signals_->on_stop([this] { pool_.spawn([this] { stop(0); }); });
  settings_reloader_ = std::make_unique<SettingsReloader>(
      command_line_.settings_path, [this](auto seeds) { node_->set_seeds(std::move(seeds)); });
  signals_->on_reload([this] { pool_.spawn([this] { settings_reloader_->check(true); }); });
  return {};
}

std::optional<std::string> Application::open_disk() {
  if (settings_.data_directory.empty()) return {};
  auto opened = storage::open_folder(settings_.data_directory);
  if (auto* error = std::get_if<storage::OpenError>(&opened)) return error->what;
  auto store = std::make_unique<storage::SnapshotStore>(
      std::move(std::get<std::unique_ptr<storage::Files>>(opened)), settings_.log_bytes);
  disk_ = std::make_unique<storage::AsyncDisk>(std::move(store), pool_);
  return {};
}

void Application::create_software() {
  artifact_executor_ = std::make_unique<storage::DiskExecutor>(pool_);
  if (!settings_.data_directory.empty())
    artifact_files_ = std::make_unique<storage::ArtifactFiles>(settings_.data_directory);
  const Duration bound = settings_.node.bound;
  artifacts_ = std::make_unique<software::Artifacts>(
      ports_, node_->registers(), node_->state_cache(), settings_.node.name,
      software::ArtifactStorage{artifact_files_.get(), artifact_executor_.get()}, bound);
  node_->set_artifacts(artifacts_.get());
  stager_ = std::make_unique<software::Stager>(
      ports_, *artifacts_, *artifact_executor_, stager_ports(),
      software::StagerOptions{settings_.release_directory, command_line_.program, bound});
}

software::StagerPorts Application::stager_ports() {
  software::StagerPorts ports;
  ports.pending_software = [this] { return node_->pending_software(); };
  ports.report_error = [this](const std::string& error) { node_->report_software_error(error); };
  ports.is_healthy = [this] {
    return node_->state_cache().has_read_lease() &&
           (node_->ready() || !node_->request_handler().snapshot()->configuration);
  };
  ports.too_many_unavailable = [this] { return too_many_unavailable(); };
  ports.terminate = [this](int status) { stop(status); };
  return ports;
}

// At most a third of the nodes may be unavailable at once.
bool Application::too_many_unavailable() {
  const size_t members = node_->state_cache().statuses().members(clock_.now()).size();
  const auto snapshot = node_->request_handler().snapshot();
  return members * 3 < static_cast<size_t>(snapshot->nodes) * 2;
}

ListenerHandlers Application::handlers() {
  ListenerHandlers handlers;
  handlers.peers = [this](const pb::PeerRequest& request, const base::CancellationPtr& cancellation) {
    return handle_peer_request(request, cancellation);
  };
  handlers.clients = [this](base::Request& request) { return node_->handle(request); };
  handlers.control = [this](base::Request& request) { return router_->handle(request); };
  if (is_for_platform(settings_))
    handlers.control = [this, product = handlers.control](base::Request& request) {
      return platform::handle(request, settings_.heartbeat_period, product);
    };
  return handlers;
}

pb::PeerResponse Application::handle_peer_request(const pb::PeerRequest& request,
                                                  const base::CancellationPtr& cancellation) {
  if (!request.has_forward()) return node_->handle_peer_request(request);
  pb::PeerResponse response;
  *response.mutable_forward() = pool_.size() == 1
                                    ? node_->handle_forwarded(request.forward(), cancellation)
                                    : forward_on_traffic_thread(request.forward(), cancellation);
  return response;
}

// Runs a forwarded request on a traffic thread, not on the control thread, since it is client traffic.
// Suspends the calling fiber.
pb::ForwardResponse Application::forward_on_traffic_thread(const pb::ForwardRequest& forward,
                                                           const base::CancellationPtr& cancellation) {
  const auto condition = pool_.condition();
  const auto response = std::make_shared<pb::ForwardResponse>();
  const auto done = std::make_shared<std::atomic<bool>>(false);
  last_traffic_thread_ = last_traffic_thread_ + 1 < pool_.size() ? last_traffic_thread_ + 1 : 1;
  pool_.spawn_on(last_traffic_thread_, [this, forward, cancellation, response, done, condition] {
    *response = node_->handle_forwarded(forward, cancellation);
    *done = true;
    condition->notify();
  });
  while (!*done) condition->wait(kForwardCheck);
  return std::move(*response);
}

// Applies the client connection limits of the active configuration whenever it changes.
void Application::follow_client_limits() {
  std::shared_ptr<const config::RoutingConfiguration> applied;
  for (;; clock_.sleep(settings_.node.bound / 8)) {
    const auto configuration = node_->request_handler().snapshot()->configuration;
    if (!configuration || configuration == applied) continue;
    applied = configuration;
    listeners_.set_client_limits(*configuration);
  }
}

void Application::watch_settings() {
  for (;; clock_.sleep(settings_.node.bound)) settings_reloader_->check(false);
}

void Application::stop(int status) {
  shutdown_->run();
  net::EventLoopPool::stop(status);
}

void Application::run() {
  const NodeConfig& config = settings_.node;
  logger.info("{}: relay {} starting in zone {}; clients at {}, control API at {}, peers at {}.", config.name,
              kSoftwareVersion, config.zone, settings_.client_address, settings_.control_address,
              config.peer_address);
  pool_.run([this] {
    node_->start();
    artifacts_->start();
    pool_.spawn([this] { follow_client_limits(); });
    stager_->start();
    pool_.spawn([this] { watch_settings(); });
  });
}

}  // namespace dunlinwing::node
