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
constexpr base::Log lg("software");
}

std::map<std::string, Want> recorded(const membership::Chosen& c) {
  std::map<std::string, Want> out;
  for (auto i = c.lower_bound("release/software/"); i != c.end() && i->first.starts_with("release/software/");
       ++i) {
    auto name = i->first.substr(17);
    auto g = rollout::read_release("software", name, i->second.data);
    auto* r = std::get_if<rollout::Release>(&g);
    if (!r) continue;
    Want w{name, r->content.at("version").str(), r->content.at("sha256").str(),
           static_cast<uint64_t>(r->content.at("bytes").num())};
    out[w.sha256] = w;
  }
  return out;
}

struct Artifacts::Impl {
  base::Ports& ps;
  consensus::RegisterClient& registers;
  membership::StateCache& state_cache;
  std::string me;
  storage::ArtifactFiles* shelf;
  storage::DiskExecutor* hand;
  Duration bound;

  pb::Reply answer(const pb::Ask& a) {
    pb::Reply out;
    auto* r = out.mutable_piece();
    if (!shelf) {
      r->set_why("this node holds no state");
      return out;
    }
    storage::Kept k;
    if (a.has_chunk()) {
      auto& c = a.chunk();
      bool ok = false;
      if (!recorded(state_cache.chosen()).count(c.sha256())) {
        r->set_why("no recorded release names it");
        return out;
      }
      hand->run([&] {
        auto p = shelf->put(c.sha256(), c.offset(), c.data(), c.total());
        ok = p.has_value();
        k = p ? *p : shelf->look(c.sha256());
      });
      if (!ok) r->set_why("it does not follow what is here");
    } else {
      auto& f = a.fetch();
      hand->run([&] {
        k = shelf->look(f.sha256());
        r->set_data(shelf->read(f.sha256(), f.offset(), std::min(f.bytes(), kPiece)));
      });
    }
    r->set_held(k.bytes);
    r->set_whole(k.whole);
    return out;
  }

  consensus::Replies ask_holders(const pb::Ask& a, Duration limit) {
    consensus::Local local;
    if (shelf) local = [this](const pb::Ask& x) { return answer(x); };
    return consensus::ask_all(
        ps, registers.replicas(), [&](size_t) { return a; }, limit, [](auto&) { return false; }, me, local);
  }

  // How much a majority of holders has.
  std::variant<pb::Piece, PieceError> settled(const consensus::Replies& rs, uint64_t need) {
    std::vector<uint64_t> held;
    size_t whole = 0;
    std::string why;
    for (auto& r : rs) {
      if (!r || !r->has_piece()) continue;
      held.push_back(r->piece().held());
      whole += r->piece().whole();
      if (!r->piece().why().empty()) why = r->piece().why();
    }
    if (held.size() < registers.sufficient_count()) return PieceError::no_majority;
    std::sort(held.rbegin(), held.rend());
    pb::Piece p;
    p.set_held(held[registers.sufficient_count() - 1]);
    p.set_whole(whole >= registers.sufficient_count());
    if (p.held() >= need) return p;
    return why.find("names") != why.npos ? PieceError::unknown_artifact : PieceError::gap;
  }

  // One piece of an artifact from any holder that has it.
  std::optional<pb::Piece> piece(const std::string& sha, uint64_t offset) {
    auto hs = registers.replicas();
    for (size_t i = hs.size(); i > 1; --i) std::swap(hs[i - 1], hs[ps.random.below(i)]);
    pb::Ask a;
    a.mutable_fetch()->set_sha256(sha);
    a.mutable_fetch()->set_offset(offset);
    a.mutable_fetch()->set_bytes(kPiece);
    for (auto& h : hs) {
      if (h.name == me) continue;
      auto r = ps.net.ask(h.address, a, bound);
      auto* x = std::get_if<pb::Reply>(&r);
      if (x && x->has_piece() && !x->piece().data().empty()) return x->piece();
    }
    return {};
  }

  void repair() {
    for (auto& [sha, w] : recorded(state_cache.chosen())) {
      storage::Kept k;
      hand->run([&, s = sha] { k = shelf->look(s); });
      bool begun = !k.whole;
      while (!k.whole) {
        auto p = piece(sha, k.bytes);
        if (!p) break;
        std::optional<storage::Kept> n;
        hand->run([&, s = sha, total = w.bytes] { n = shelf->put(s, k.bytes, p->data(), total); });
        if (!n) break;
        k = *n;
      }
      if (begun && k.whole) lg.info("{}: artifact of {} is whole here now.", me, w.name);
    }
  }
};

Artifacts::Artifacts(base::Ports& ps, consensus::RegisterClient& b, membership::StateCache& m, std::string me,
                     storage::ArtifactFiles* s, storage::DiskExecutor* h, Duration bound)
    : p_(new Impl{ps, b, m, std::move(me), s, h, bound}) {}
Artifacts::~Artifacts() = default;

void Artifacts::start() {
  if (!p_->shelf) return;
  p_->ps.tasks.spawn([p = p_] {
    for (;;) {
      p->ps.clock.sleep(p->bound * 2);
      if (p->state_cache.fresh()) p->repair();
    }
  });
}

pb::Reply Artifacts::answer(const pb::Ask& a) { return p_->answer(a); }

std::variant<pb::Piece, PieceError> Artifacts::put(const std::string& sha, uint64_t offset,
                                                   const std::string& data) {
  auto all = recorded(p_->state_cache.chosen());
  auto f = all.find(sha);
  if (f == all.end()) return PieceError::unknown_artifact;
  pb::Ask a;
  auto* c = a.mutable_chunk();
  c->set_sha256(sha);
  c->set_offset(offset);
  c->set_data(data);
  c->set_total(f->second.bytes);
  return p_->settled(p_->ask_holders(a, p_->bound * 2),
                     std::min<uint64_t>(offset + data.size(), f->second.bytes));
}

std::variant<pb::Piece, PieceError> Artifacts::look(const std::string& sha) {
  if (!recorded(p_->state_cache.chosen()).count(sha)) return PieceError::unknown_artifact;
  pb::Ask a;
  a.mutable_fetch()->set_sha256(sha);
  return p_->settled(p_->ask_holders(a, p_->bound), 0);
}

bool Artifacts::fetch(const Want& w, const std::string& path, storage::DiskExecutor& hand) {
  uint64_t at = 0;
  hand.run([&] { ::unlink(path.c_str()); });
  while (at < w.bytes) {
    auto p = p_->piece(w.sha256, at);
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
