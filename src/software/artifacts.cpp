// A piece is acknowledged once a majority of holders has synced it. A holder
// keeps only what a recorded release names, so the shelf holds no strays.
#include "software/artifacts.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

#include "base/log.hpp"
#include "rollout/release.hpp"

namespace dunlinwing::software {
namespace {
constexpr base::Log logger("software");
}

std::map<std::string, SoftwareTarget> recorded_software(const membership::ChosenValues& chosen) {
  std::map<std::string, SoftwareTarget> out;
  for (auto i = chosen.lower_bound("release/software/");
       i != chosen.end() && i->first.starts_with("release/software/"); ++i) {
    auto name = i->first.substr(17);
    auto g = rollout::parse_release("software", name, i->second.data);
    auto* r = std::get_if<rollout::Release>(&g);
    if (!r) continue;
    SoftwareTarget w{name, r->content.at("version").string_or(), r->content.at("sha256").string_or(),
                     static_cast<uint64_t>(r->content.at("bytes").integer_or())};
    out[w.sha256] = w;
  }
  return out;
}

struct Artifacts::Impl {
  base::Ports& ports;
  consensus::RegisterClient& registers;
  membership::StateCache& state_cache;
  std::string node_name;
  storage::ArtifactFiles* shelf;
  storage::DiskExecutor* hand;
  Duration bound;

  pb::PeerResponse answer(const pb::PeerRequest& request) {
    pb::PeerResponse out;
    auto* r = out.mutable_artifact_chunk();
    if (!shelf) {
      r->set_reason("this node holds no state");
      return out;
    }
    storage::ArtifactProgress k;
    if (request.has_artifact_chunk()) {
      auto& c = request.artifact_chunk();
      bool ok = false;
      if (!recorded_software(state_cache.chosen()).count(c.sha256())) {
        r->set_reason("no recorded release names it");
        return out;
      }
      hand->run([&] {
        auto p = shelf->append(c.sha256(), c.offset(), c.data(), c.total());
        ok = p.has_value();
        k = p ? *p : shelf->progress(c.sha256());
      });
      if (!ok) r->set_reason("it does not follow what is here");
    } else {
      auto& f = request.artifact_read();
      hand->run([&] {
        k = shelf->progress(f.sha256());
        r->set_data(shelf->read(f.sha256(), f.offset(), std::min(f.bytes(), kChunkBytes)));
      });
    }
    r->set_received(k.bytes);
    r->set_complete(k.complete);
    return out;
  }

  consensus::PeerResponses ask_holders(const pb::PeerRequest& request, Duration limit) {
    consensus::LocalReplica local;
    if (shelf) local = [this](const pb::PeerRequest& x) { return answer(x); };
    return consensus::call_replicas(
        ports, registers.replicas(), [&](size_t) { return request; }, limit, [](auto&) { return false; },
        node_name, local);
  }

  // How much a majority of holders has.
  std::variant<pb::ArtifactChunkResponse, ChunkError> settled(const consensus::PeerResponses& rs,
                                                              uint64_t need) {
    std::vector<uint64_t> held;
    size_t whole = 0;
    std::string why;
    for (auto& r : rs) {
      if (!r || !r->has_artifact_chunk()) continue;
      held.push_back(r->artifact_chunk().received());
      whole += r->artifact_chunk().complete();
      if (!r->artifact_chunk().reason().empty()) why = r->artifact_chunk().reason();
    }
    if (held.size() < registers.sufficient_count()) return ChunkError::no_majority;
    std::sort(held.rbegin(), held.rend());
    pb::ArtifactChunkResponse p;
    p.set_received(held[registers.sufficient_count() - 1]);
    p.set_complete(whole >= registers.sufficient_count());
    if (p.received() >= need) return p;
    return why.find("names") != why.npos ? ChunkError::unknown_artifact : ChunkError::gap;
  }

  // One piece of an artifact from any holder that has it.
  std::optional<pb::ArtifactChunkResponse> piece(const std::string& sha, uint64_t offset) {
    auto hs = registers.replicas();
    for (size_t i = hs.size(); i > 1; --i) std::swap(hs[i - 1], hs[ports.random.below(i)]);
    pb::PeerRequest request;
    request.mutable_artifact_read()->set_sha256(sha);
    request.mutable_artifact_read()->set_offset(offset);
    request.mutable_artifact_read()->set_bytes(kChunkBytes);
    for (auto& h : hs) {
      if (h.name == node_name) continue;
      auto r = ports.peers.call(h.address, request, bound);
      auto* response = std::get_if<pb::PeerResponse>(&r);
      if (response && response->has_artifact_chunk() && !response->artifact_chunk().data().empty())
        return response->artifact_chunk();
    }
    return {};
  }

  void repair() {
    for (auto& [sha, w] : recorded_software(state_cache.chosen())) {
      storage::ArtifactProgress k;
      hand->run([&, s = sha] { k = shelf->progress(s); });
      bool begun = !k.complete;
      while (!k.complete) {
        auto p = piece(sha, k.bytes);
        if (!p) break;
        std::optional<storage::ArtifactProgress> n;
        hand->run([&, s = sha, total = w.bytes] { n = shelf->append(s, k.bytes, p->data(), total); });
        if (!n) break;
        k = *n;
      }
      if (begun && k.complete) logger.info("{}: artifact of {} is whole here now.", node_name, w.name);
    }
  }
};

Artifacts::Artifacts(base::Ports& ports, consensus::RegisterClient& registers,
                     membership::StateCache& state_cache, std::string node_name, storage::ArtifactFiles* s,
                     storage::DiskExecutor* h, Duration bound)
    : impl_(new Impl{ports, registers, state_cache, std::move(node_name), s, h, bound}) {}
Artifacts::~Artifacts() = default;

void Artifacts::start() {
  if (!impl_->shelf) return;
  impl_->ports.tasks.spawn([p = impl_] {
    for (;;) {
      p->ports.clock.sleep(p->bound * 2);
      if (p->state_cache.has_read_lease()) p->repair();
    }
  });
}

pb::PeerResponse Artifacts::handle_peer_request(const pb::PeerRequest& request) {
  return impl_->answer(request);
}

std::variant<pb::ArtifactChunkResponse, ChunkError> Artifacts::append(const std::string& sha, uint64_t offset,
                                                                      const std::string& data) {
  auto all = recorded_software(impl_->state_cache.chosen());
  auto f = all.find(sha);
  if (f == all.end()) return ChunkError::unknown_artifact;
  pb::PeerRequest request;
  auto* c = request.mutable_artifact_chunk();
  c->set_sha256(sha);
  c->set_offset(offset);
  c->set_data(data);
  c->set_total(f->second.bytes);
  return impl_->settled(impl_->ask_holders(request, impl_->bound * 2),
                        std::min<uint64_t>(offset + data.size(), f->second.bytes));
}

std::variant<pb::ArtifactChunkResponse, ChunkError> Artifacts::progress(const std::string& sha) {
  if (!recorded_software(impl_->state_cache.chosen()).count(sha)) return ChunkError::unknown_artifact;
  pb::PeerRequest request;
  request.mutable_artifact_read()->set_sha256(sha);
  return impl_->settled(impl_->ask_holders(request, impl_->bound), 0);
}

bool Artifacts::fetch(const SoftwareTarget& w, const std::string& path, storage::DiskExecutor& hand) {
  uint64_t at = 0;
  hand.run([&] { ::unlink(path.c_str()); });
  while (at < w.bytes) {
    auto p = impl_->piece(w.sha256, at);
    if (!p) return false;
    bool ok = false;
    hand.run([&] {
      int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0750);
      ok = fd >= 0 &&
           ::write(fd, p->data().data(), p->data().size()) == static_cast<ssize_t>(p->data().size()) &&
           ::fsync(fd) == 0;
      if (fd >= 0) ::close(fd);
    });
    if (!ok) return false;
    at += p->data().size();
  }
  return true;
}

}  // namespace dunlinwing::software
