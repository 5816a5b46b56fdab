// Files: slot.0, slot.1 and log.0, log.1. Slot k holds an image with its serial
// number; log k holds the records since then and names the same serial. A new
// image goes into the other slot: its log is made empty and synced with the folder, then
// the image is synced with the folder; both files are read back, and last a mark is appended
// to the log. Only then is the old pair out of use.
//
// A pair without the mark was never in use, and loading passes it over, though it may look
// whole: after a failed sync, what is read may be the system's cache and not the disk. The
// pair in use is never written but at the end of its log. The mark itself may have been read
// from the cache, and behind a torn record it cannot be made again; so what was loaded is
// first confirmed, in proof.k by its serial, and only then is the other pair written over.
//
// So whatever step fails, and however often the process starts anew on the failing disk, the
// pair that holds all that was acknowledged stands until another one is known to be on the
// disk. Nothing is acknowledged between a failed step and the next whole image.
#include "storage/snapshot_store.hpp"

#include <boost/crc.hpp>

#include "base/log.hpp"

namespace dunlinwing::storage {
namespace {
constexpr base::Log logger("disk");
constexpr uint32_t kMark = 0x64774c31;
constexpr size_t kHead = 16;
constexpr char kMarked = '+';  // behind the serial in a log: a record must follow before the pair is in use

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
  bool confirmed = true;  // that the pair in use is on the disk, or there is none

  static std::string part(const char* n, int k) { return fmt::format("{}.{}", n, k); }

  bool stands(const std::string& name, const std::string& bytes) {
    auto there = files->read(name);
    auto* read = std::get_if<std::string>(&there);
    return read && *read == bytes;
  }

  bool confirm() {
    if (confirmed) return true;
    auto proof = frame(std::to_string(serial));
    confirmed = files->replace(part("proof", cur), proof) && files->sync_folder() &&
                stands(part("proof", cur), proof);
    return confirmed;
  }

  bool swap(const pb::Snapshot& im) {
    if (!confirm()) return false;
    int k = 1 - cur;
    auto number = std::to_string(serial + 1);
    auto log = frame(number + kMarked);
    auto slot = frame(number) + frame(im.SerializeAsString());
    if (!files->replace(part("log", k), log)) return false;
    if (!files->sync_folder()) return false;  // so that no slot is found without its log
    if (!files->replace(part("slot", k), slot)) return false;
    if (!files->sync_folder()) return false;
    if (!stands(part("log", k), log) || !stands(part("slot", k), slot)) return false;
    pb::LogRecord mark;  // what it says the image says already
    mark.set_stage(im.stage());
    auto framed_mark = frame(mark.SerializeAsString());
    if (!files->append(part("log", k), framed_mark)) return false;
    cur = k;
    confirmed = true;
    ++serial;
    log_now = framed_mark.size();
    return true;
  }
};

SnapshotStore::SnapshotStore(std::unique_ptr<Files> f, size_t log_bytes) : impl_(std::make_unique<Impl>()) {
  impl_->files = std::move(f);
  impl_->log_bytes = log_bytes;
}
SnapshotStore::~SnapshotStore() = default;

namespace {
struct Half {
  uint64_t serial = 0;
  pb::Snapshot image;
  bool doubt = false;
};

// What of the slots cannot be believed. Unread: the disk would not give it, so it may be the
// newest; a damaged one was read, and is most often one that was being written.
struct Distrust {
  bool damaged = false, unread = false;
};

uint64_t serial_in(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 10); }

// Whether the pair with a log of these payloads was in use: it has its mark, or was confirmed.
bool was_in_use(Files& fs, int k, const std::vector<std::string>& log) {
  if (log.size() != 1) return !log.empty();
  auto read = fs.read(fmt::format("proof.{}", k));
  auto* bytes = std::get_if<std::string>(&read);
  if (!bytes) return false;
  auto proof = unframe(*bytes).first;
  return proof.size() == 1 && serial_in(proof[0]) == serial_in(log[0]);
}
bool was_in_use(Files& fs, int k) {
  auto read = fs.read(fmt::format("log.{}", k));
  auto* bytes = std::get_if<std::string>(&read);
  return bytes && was_in_use(fs, k, unframe(*bytes).first);
}

// One slot with its log, when the slot can be believed.
std::optional<Half> half(Files& fs, int k, Distrust& distrust) {
  auto read = fs.read(fmt::format("slot.{}", k));
  if (auto* error = std::get_if<ReadError>(&read)) {
    distrust.unread |= *error == ReadError::failed;
    distrust.damaged |= was_in_use(fs, k);
    return {};
  }
  auto* b = &std::get<std::string>(read);
  if (b->empty()) {
    distrust.damaged |= was_in_use(fs, k);
    return {};
  }
  auto [ps, t] = unframe(*b);
  Half h;
  if (t != Tail::clean || ps.size() != 2 || !h.image.ParseFromString(ps[1])) {
    distrust.damaged = true;
    return {};
  }
  h.serial = serial_in(ps[0]);
  auto log = fs.read(fmt::format("log.{}", k));
  auto* l = std::get_if<std::string>(&log);
  if (!l) {
    h.doubt = true;
    return h;
  }
  auto [rs, lt] = unframe(*l);
  // Not even the heading is whole: the log was being replaced, which the one in use never is.
  if (lt != Tail::corrupt && rs.empty()) return {};
  if (lt == Tail::corrupt || serial_in(rs[0]) != h.serial) {
    h.doubt = true;
    return h;
  }
  // Disks written by programs that made no mark have none behind their serial either.
  if (rs[0].back() == kMarked && !was_in_use(fs, k, rs)) return {};
  std::map<std::string, pb::RegisterState> m;
  for (auto& state : h.image.registers()) m[state.name()] = state;
  for (size_t i = 1; i < rs.size(); ++i) {
    pb::LogRecord r;
    if (!r.ParseFromString(rs[i])) {
      h.doubt = true;
      return h;
    }
    if (r.has_register_state())
      m[r.register_state().name()] = r.register_state();
    else if (r.has_replica_set())
      *h.image.mutable_replica_set() = r.replica_set();
    else
      h.image.set_stage(r.stage());
    if (r.has_initial_boot()) *h.image.mutable_initial_boot() = r.initial_boot();
  }
  h.image.clear_registers();
  for (auto& [n, s] : m) *h.image.add_registers() = s;
  return h;
}
}  // namespace

base::LoadedSnapshot SnapshotStore::load() {
  auto& impl = *impl_;
  Distrust distrust;
  std::optional<Half> best;
  for (int k = 0; k < 2; ++k) {
    auto h = half(*impl.files, k, distrust);
    if (h && (!best || h->serial > best->serial)) {
      best = h;
      impl.cur = k;
    }
  }
  base::LoadedSnapshot out;
  if (best) {
    out.snapshot = best->image;
    out.possibly_lost = best->doubt;
    impl.serial = best->serial;
    impl.confirmed = false;
    // A slot that was being written when the machine died is damaged without
    // loss, for the other is whole and its log went on. Had the damaged one
    // been in use, its log would hold the mark at least.
    if (distrust.damaged) out.possibly_lost |= was_in_use(*impl.files, 1 - impl.cur);
  } else if (distrust.damaged) {
    out.possibly_lost = true;
  }
  out.possibly_lost |= distrust.unread;
  if (out.possibly_lost) {
    logger.error("What was synced to {} can no longer be read whole. It casts no vote until refilled.",
                 impl.files->place());
    out.snapshot = pb::Snapshot();
  }
  // A damaged pair left behind would be doubted again at the next start: both are made anew.
  bool written = impl.swap(out.snapshot) && (!out.possibly_lost || impl.swap(out.snapshot));
  if (!written) {
    logger.error("The first image could not be written to {}.", impl.files->place());
    impl.broken = true;
    out.unwritten = true;
  }
  return out;
}

std::optional<base::DiskError> SnapshotStore::save(const std::vector<pb::LogRecord>& records,
                                                   const std::function<pb::Snapshot()>& whole) {
  auto& impl = *impl_;
  if (impl.broken) return base::DiskError::failed;
  std::string b;
  for (auto& r : records) b += frame(r.SerializeAsString());
  bool ok;
  if (impl.log_now + b.size() > impl.log_bytes) {
    ok = impl.swap(whole());
  } else {
    ok = impl.files->append(Impl::part("log", impl.cur), b);
    impl.log_now += b.size();
  }
  if (ok) return {};
  impl.broken = true;
  logger.error("A write to {} failed. This replica does not vote until a whole image is written.",
               impl.files->place());
  return base::DiskError::failed;
}

std::optional<base::DiskError> SnapshotStore::rewrite(const pb::Snapshot& whole) {
  auto& impl = *impl_;
  impl.broken = true;  // a pair half written may be loaded already, so the old log may not grow
  if (!impl.swap(whole)) return base::DiskError::failed;
  impl.broken = false;
  return {};
}

}  // namespace dunlinwing::storage
