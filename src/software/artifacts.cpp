/// @file
/// A replica stores only artifacts that a recorded release names, so unreleased uploads leave no files.
#include "software/artifacts.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

#include "base/log.hpp"
#include "config/release.hpp"

namespace dunlinwing::software {
namespace {
constexpr base::Log logger("software");
constexpr std::string_view kReleasePrefix = "release/software/";  ///< of the registers that name releases
constexpr mode_t kProgramMode = 0750;

/// Why a replica did not store a chunk. The texts are sent to other nodes, which map them to errors.
constexpr const char* kNotReplica = "this node holds no state";
constexpr const char* kNotRecorded = "no recorded release names it";
constexpr const char* kNotNext = "it does not follow what is here";

bool append_synced(const std::string& path, const std::string& data) {
  int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kProgramMode);
  if (fd < 0) return false;
  bool synced =
      ::write(fd, data.data(), data.size()) == static_cast<ssize_t>(data.size()) && ::fsync(fd) == 0;
  ::close(fd);
  return synced;
}
}  // namespace

std::map<std::string, SoftwareRelease> recorded_software(const membership::ChosenValues& chosen) {
  std::map<std::string, SoftwareRelease> targets;
  const std::string prefix(kReleasePrefix);
  for (auto it = chosen.lower_bound(prefix); it != chosen.end() && it->first.starts_with(prefix); ++it) {
    auto name = it->first.substr(prefix.size());
    auto parsed = config::parse_release("software", name, it->second.data);
    const auto* release = std::get_if<config::Release>(&parsed);
    if (!release) continue;
    const auto& content = release->content;
    SoftwareRelease target{name, content.at("version").string_or(), content.at("sha256").string_or(),
                           static_cast<uint64_t>(content.at("bytes").integer_or())};
    targets[target.sha256] = target;
  }
  return targets;
}

struct Artifacts::Impl {
  base::Ports& ports;
  consensus::RegisterClient& registers;
  membership::StateCache& state_cache;
  std::string node_name;
  ArtifactStorage local;
  Duration bound;

  bool is_recorded(const std::string& sha256) const {
    return recorded_software(state_cache.chosen()).count(sha256) > 0;
  }

  pb::PeerResponse answer(const pb::PeerRequest& request) {
    pb::PeerResponse out;
    auto& response = *out.mutable_artifact_chunk();
    if (!local.files)
      response.set_reason(kNotReplica);
    else if (request.has_artifact_chunk())
      store(request.artifact_chunk(), response);
    else
      read(request.artifact_read(), response);
    return out;
  }

  void store(const pb::ArtifactChunk& chunk, pb::ArtifactChunkResponse& response) {
    if (!is_recorded(chunk.sha256())) return response.set_reason(kNotRecorded);
    local.executor->run([&] {
      auto appended = local.files->append(chunk.sha256(), chunk.offset(), chunk.data(), chunk.total());
      if (!appended) response.set_reason(kNotNext);
      set_progress(appended ? *appended : local.files->progress(chunk.sha256()), response);
    });
  }

  void read(const pb::ArtifactRead& wanted, pb::ArtifactChunkResponse& response) {
    local.executor->run([&] {
      set_progress(local.files->progress(wanted.sha256()), response);
      response.set_data(
          local.files->read(wanted.sha256(), wanted.offset(), std::min(wanted.bytes(), kChunkBytes)));
    });
  }

  static void set_progress(const storage::ArtifactProgress& progress, pb::ArtifactChunkResponse& response) {
    response.set_received(progress.bytes);
    response.set_complete(progress.complete);
  }

  consensus::PeerResponses call_replicas(const pb::PeerRequest& request, Duration limit) {
    consensus::LocalReplica local_replica;
    if (local.files)
      local_replica = [this](const pb::PeerRequest& own_request) { return answer(own_request); };
    return consensus::call_replicas(
        ports, registers.replicas(), [&](size_t) { return request; }, limit, [](auto&) { return false; },
        {node_name, local_replica});
  }

  /// How much a majority of the replicas has stored.
  /// @param needed_bytes  fewer bytes are an error
  Progress majority_progress(const consensus::PeerResponses& responses, uint64_t needed_bytes) const {
    std::vector<uint64_t> received;
    size_t complete = 0;
    std::string reason;
    for (const auto& response : responses) {
      if (!response || !response->has_artifact_chunk()) continue;
      const auto& chunk = response->artifact_chunk();
      received.push_back(chunk.received());
      complete += chunk.complete() ? 1 : 0;
      if (!chunk.reason().empty()) reason = chunk.reason();
    }
    const auto majority = registers.sufficient_count();
    if (received.size() < majority) return ChunkError::no_majority;
    std::sort(received.rbegin(), received.rend());
    pb::ArtifactChunkResponse result;
    result.set_received(received[majority - 1]);
    result.set_complete(complete >= majority);
    if (result.received() >= needed_bytes) return result;
    return reason == kNotRecorded ? ChunkError::unknown_artifact : ChunkError::gap;
  }

  /// Fetches one chunk of an artifact from any other replica that has it, trying them in random order.
  std::optional<pb::ArtifactChunkResponse> fetch_chunk(const std::string& sha256, uint64_t offset) {
    auto replicas = registers.replicas();
    for (size_t i = replicas.size(); i > 1; --i) std::swap(replicas[i - 1], replicas[ports.random.below(i)]);
    pb::PeerRequest request;
    request.mutable_artifact_read()->set_sha256(sha256);
    request.mutable_artifact_read()->set_offset(offset);
    request.mutable_artifact_read()->set_bytes(kChunkBytes);
    for (const auto& replica : replicas) {
      if (replica.name == node_name) continue;
      auto result = ports.peers.call(replica.address, request, bound);
      const auto* response = std::get_if<pb::PeerResponse>(&result);
      if (response && response->has_artifact_chunk() && !response->artifact_chunk().data().empty())
        return response->artifact_chunk();
    }
    return {};
  }

  /// Fetches the chunks of all recorded artifacts that this replica lacks, as far as others have them.
  void repair() {
    for (auto& [sha256, target] : recorded_software(state_cache.chosen())) {
      storage::ArtifactProgress progress;
      local.executor->run([&, &digest = sha256] { progress = local.files->progress(digest); });
      if (progress.complete) continue;
      while (!progress.complete && fetch_next_chunk(target, progress)) {
      }
      if (progress.complete)
        logger.info("{}: artifact of software release {} is now complete on this replica.", node_name,
                    target.name);
    }
  }

  bool fetch_next_chunk(const SoftwareRelease& target, storage::ArtifactProgress& progress) {
    auto chunk = fetch_chunk(target.sha256, progress.bytes);
    if (!chunk) return false;
    std::optional<storage::ArtifactProgress> appended;
    local.executor->run(
        [&] { appended = local.files->append(target.sha256, progress.bytes, chunk->data(), target.bytes); });
    if (appended) progress = *appended;
    return appended.has_value();
  }
};

Artifacts::Artifacts(base::Ports& ports, consensus::RegisterClient& registers,
                     membership::StateCache& state_cache, std::string node_name, ArtifactStorage local,
                     Duration bound)
    : impl_(new Impl{ports, registers, state_cache, std::move(node_name), local, bound}) {}
Artifacts::~Artifacts() = default;

void Artifacts::start() {
  if (!impl_->local.files) return;
  impl_->ports.tasks.spawn([impl = impl_] {
    for (;;) {
      impl->ports.clock.sleep(impl->bound * 2);
      if (impl->state_cache.has_read_lease()) impl->repair();
    }
  });
}

pb::PeerResponse Artifacts::handle_peer_request(const pb::PeerRequest& request) {
  return impl_->answer(request);
}

Artifacts::Progress Artifacts::append(const std::string& sha256, uint64_t offset, const std::string& data) {
  auto targets = recorded_software(impl_->state_cache.chosen());
  auto found = targets.find(sha256);
  if (found == targets.end()) return ChunkError::unknown_artifact;
  const auto total = found->second.bytes;
  pb::PeerRequest request;
  auto& chunk = *request.mutable_artifact_chunk();
  chunk.set_sha256(sha256);
  chunk.set_offset(offset);
  chunk.set_data(data);
  chunk.set_total(total);
  return impl_->majority_progress(impl_->call_replicas(request, impl_->bound * 2),
                                  std::min<uint64_t>(offset + data.size(), total));
}

Artifacts::Progress Artifacts::progress(const std::string& sha256) {
  if (!impl_->is_recorded(sha256)) return ChunkError::unknown_artifact;
  pb::PeerRequest request;
  request.mutable_artifact_read()->set_sha256(sha256);
  return impl_->majority_progress(impl_->call_replicas(request, impl_->bound), 0);
}

bool Artifacts::fetch(const SoftwareRelease& target, const std::string& path,
                      storage::DiskExecutor& executor) {
  executor.run([&] { ::unlink(path.c_str()); });
  for (uint64_t fetched = 0; fetched < target.bytes;) {
    auto chunk = impl_->fetch_chunk(target.sha256, fetched);
    if (!chunk) return false;
    bool written = false;
    executor.run([&] { written = append_synced(path, chunk->data()); });
    if (!written) return false;
    fetched += chunk->data().size();
  }
  return true;
}

}  // namespace dunlinwing::software
