// Files: slot.0, slot.1 and log.0, log.1. Slot k holds an image with its serial
// number; log k holds the records since then and names the same serial. A new
// image goes into the other slot and is synced, its log is made empty and
// synced, then the folder is synced; only then is the old pair out of use.
#include "storage/snapshot_store.hpp"

#include <boost/crc.hpp>

#include "base/log.hpp"

namespace dunlinwing::storage {
namespace {
constexpr base::Log lg("disk");
constexpr uint32_t kMark = 0x64774c31;
constexpr size_t kHead = 16;

uint32_t crc(std::string_view s) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> c;
  c.process_bytes(s.data(), s.size());
  return c.checksum();
}

void put32(std::string& s, uint32_t v) {
  for (int i = 0; i < 4; ++i) s.push_back(static_cast<char>(v >> (8 * i)));
}
uint32_t get32(std::string_view s, size_t at) {
  uint32_t v = 0;
  for (int i = 0; i < 4; ++i) v |= uint32_t(static_cast<unsigned char>(s[at + i])) << (8 * i);
  return v;
}

}  // namespace

std::string frame(const std::string& p) {
  std::string s;
  put32(s, kMark);
  put32(s, static_cast<uint32_t>(p.size()));
  put32(s, crc(p));
  put32(s, crc(s));
  return s + p;
}

std::pair<std::vector<std::string>, Tail> unframe(std::string_view b) {
  std::vector<std::string> out;
  while (!b.empty()) {
    if (b.size() < kHead) return {out, Tail::torn};
    bool head = get32(b, 0) == kMark && get32(b, 12) == crc(b.substr(0, 12));
    if (!head) {
      // A torn write may leave zeros or part of one head; whole heads further
      // on mean that records once synced stand behind the damage.
      for (size_t i = 1; i + kHead <= b.size(); ++i)
        if (get32(b, i) == kMark && get32(b, i + 12) == crc(b.substr(i, 12))) return {out, Tail::corrupt};
      return {out, Tail::torn};
    }
    size_t n = get32(b, 4);
    if (b.size() < kHead + n) return {out, Tail::torn};
    auto p = b.substr(kHead, n);
    if (crc(p) != get32(b, 8)) return {out, b.size() == kHead + n ? Tail::torn : Tail::corrupt};
    out.emplace_back(p);
    b.remove_prefix(kHead + n);
  }
  return {out, Tail::clean};
}

struct SnapshotStore::Impl {
  std::unique_ptr<Files> files;
  size_t log_bytes = 0, log_now = 0;
  int cur = 0;
  uint64_t serial = 0;
  bool broken = false;

  static std::string part(const char* n, int k) { return fmt::format("{}.{}", n, k); }

  bool swap(const pb::Image& im) {
    int k = 1 - cur;
    auto n = std::to_string(serial + 1);
    if (!files->replace(part("log", k), frame(n))) return false;
    if (!files->replace(part("slot", k), frame(n) + frame(im.SerializeAsString()))) return false;
    if (!files->sync_folder()) return false;
    cur = k;
    ++serial;
    log_now = 0;
    return true;
  }
};

SnapshotStore::SnapshotStore(std::unique_ptr<Files> f, size_t log_bytes) : p_(std::make_unique<Impl>()) {
  p_->files = std::move(f);
  p_->log_bytes = log_bytes;
}
SnapshotStore::~SnapshotStore() = default;

namespace {
struct Half {
  uint64_t serial = 0;
  pb::Image image;
  bool doubt = false;
};

// One slot with its log, when the slot can be believed.
std::optional<Half> half(Files& fs, int k, bool& damaged) {
  auto b = fs.read(fmt::format("slot.{}", k));
  if (!b || b->empty()) return {};
  auto [ps, t] = unframe(*b);
  Half h;
  if (t != Tail::clean || ps.size() != 2 || !h.image.ParseFromString(ps[1])) {
    damaged = true;
    return {};
  }
  h.serial = std::strtoull(ps[0].c_str(), nullptr, 10);
  auto l = fs.read(fmt::format("log.{}", k));
  if (!l) {
    h.doubt = true;
    return h;
  }
  auto [rs, lt] = unframe(*l);
  if (lt == Tail::corrupt || rs.empty() || std::strtoull(rs[0].c_str(), nullptr, 10) != h.serial) {
    h.doubt = true;
    return h;
  }
  std::map<std::string, pb::RegisterState> m;
  for (auto& s : h.image.slots()) m[s.name()] = s;
  for (size_t i = 1; i < rs.size(); ++i) {
    pb::Record r;
    if (!r.ParseFromString(rs[i])) {
      h.doubt = true;
      return h;
    }
    if (r.has_slot())
      m[r.slot().name()] = r.slot();
    else if (r.has_set())
      *h.image.mutable_set() = r.set();
    else
      h.image.set_stage(r.stage());
    if (r.has_first()) *h.image.mutable_first() = r.first();
  }
  h.image.clear_slots();
  for (auto& [n, s] : m) *h.image.add_slots() = s;
  return h;
}
}  // namespace

base::Loaded SnapshotStore::load() {
  auto& p = *p_;
  bool damaged = false;
  std::optional<Half> best;
  for (int k = 0; k < 2; ++k) {
    auto h = half(*p.files, k, damaged);
    if (h && (!best || h->serial > best->serial)) {
      best = h;
      p.cur = k;
    }
  }
  base::Loaded out;
  if (best) {
    out.image = best->image;
    out.doubt = best->doubt;
    p.serial = best->serial;
    // A slot that was being written when the machine died is damaged without
    // loss, for the other is whole and its log went on. Had the damaged one
    // been in use, its log would hold records, or the other's a later serial.
    if (damaged) {
      auto other = p.files->read(Impl::part("log", 1 - p.cur));
      if (other && unframe(*other).first.size() > 1) out.doubt = true;
    }
  } else if (damaged) {
    out.doubt = true;
  }
  if (out.doubt) {
    lg.error("What was synced to {} can no longer be read whole. It casts no vote until refilled.",
             p.files->place());
    out.image = pb::Image();
  }
  if (!p.swap(out.image)) {
    lg.error("The first image could not be written to {}.", p.files->place());
    p.broken = true;
  }
  return out;
}

std::optional<base::DiskError> SnapshotStore::save(const std::vector<pb::Record>& rs,
                                                   const std::function<pb::Image()>& whole) {
  auto& p = *p_;
  if (p.broken) return base::DiskError::failed;
  std::string b;
  for (auto& r : rs) b += frame(r.SerializeAsString());
  bool ok;
  if (p.log_now + b.size() > p.log_bytes) {
    ok = p.swap(whole());
  } else {
    ok = p.files->append(Impl::part("log", p.cur), b);
    p.log_now += b.size();
  }
  if (ok) return {};
  // After a failed sync nobody knows what is on the disk: it takes no more part.
  p.broken = true;
  lg.error("A write to {} failed. This holder votes no more until restarted.", p.files->place());
  return base::DiskError::failed;
}

}  // namespace dunlinwing::storage
