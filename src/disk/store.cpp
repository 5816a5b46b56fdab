// Files: slot.0, slot.1 and log.0, log.1. Slot k holds an image with its serial
// number; log k holds the records since then and names the same serial. A new
// image goes into the other slot and is synced, its log is made empty and
// synced, then the folder is synced; only then is the old pair out of use.
#include "disk/store.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/crc.hpp>
#include <cerrno>
#include <cstring>

#include "base/log.hpp"

namespace dunlinwing::disk {
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

std::optional<std::string> slurp(const std::string& path) {
  int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return {};
  std::string out;
  char b[1 << 16];
  ssize_t n;
  while ((n = ::read(fd, b, sizeof b)) > 0) out.append(b, static_cast<size_t>(n));
  ::close(fd);
  if (n < 0) return {};
  return out;
}

bool put_all(int fd, std::string_view s) {
  while (!s.empty()) {
    auto n = ::write(fd, s.data(), s.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    s.remove_prefix(static_cast<size_t>(n));
  }
  return true;
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

struct Store::Impl {
  std::string dir;
  size_t log_bytes = 0, log_now = 0;
  int dirfd = -1, log = -1, cur = 0;
  uint64_t serial = 0;
  bool broken = false;

  std::string path(const char* n, int k) const { return fmt::format("{}/{}.{}", dir, n, k); }

  bool write_new(const std::string& to, const std::string& bytes) {
    int fd = ::open(to.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0640);
    if (fd < 0) return false;
    bool ok = put_all(fd, bytes) && ::fsync(fd) == 0;
    ::close(fd);
    return ok;
  }

  bool swap(const pb::Image& im) {
    int k = 1 - cur;
    auto n = std::to_string(serial + 1);
    if (!write_new(path("log", k), frame(n))) return false;
    if (!write_new(path("slot", k), frame(n) + frame(im.SerializeAsString()))) return false;
    if (::fsync(dirfd) != 0) return false;
    int fd = ::open(path("log", k).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (fd < 0) return false;
    if (log >= 0) ::close(log);
    log = fd;
    cur = k;
    ++serial;
    log_now = 0;
    return true;
  }
};

Store::Store() : p_(std::make_unique<Impl>()) {}
Store::~Store() {
  if (p_->log >= 0) ::close(p_->log);
  if (p_->dirfd >= 0) ::close(p_->dirfd);
}

std::variant<std::unique_ptr<Store>, OpenDefect> Store::open(const std::string& dir, size_t log_bytes) {
  std::unique_ptr<Store> s(new Store);
  if (::mkdir(dir.c_str(), 0750) != 0 && errno != EEXIST)
    return OpenDefect{fmt::format("cannot make the data folder {}: {}", dir, std::strerror(errno))};
  s->p_->dir = dir;
  s->p_->log_bytes = log_bytes;
  s->p_->dirfd = ::open(dir.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (s->p_->dirfd < 0) return OpenDefect{fmt::format("cannot open the data folder {}: {}", dir, std::strerror(errno))};
  if (::flock(s->p_->dirfd, LOCK_EX | LOCK_NB) != 0)
    return OpenDefect{fmt::format("the data folder {} is in use by another relay", dir)};
  return s;
}

namespace {
struct Half {
  uint64_t serial = 0;
  pb::Image image;
  bool doubt = false;
};

// One slot with its log, when the slot can be believed.
std::optional<Half> half(const std::string& slot, const std::string& log, bool& damaged) {
  auto b = slurp(slot);
  if (!b || b->empty()) return {};
  auto [ps, t] = unframe(*b);
  Half h;
  if (t != Tail::clean || ps.size() != 2 || !h.image.ParseFromString(ps[1])) {
    damaged = true;
    return {};
  }
  h.serial = std::strtoull(ps[0].c_str(), nullptr, 10);
  auto l = slurp(log);
  if (!l) {
    h.doubt = true;
    return h;
  }
  auto [rs, lt] = unframe(*l);
  if (lt == Tail::corrupt || rs.empty() || std::strtoull(rs[0].c_str(), nullptr, 10) != h.serial) {
    h.doubt = true;
    return h;
  }
  std::map<std::string, pb::Slot> m;
  for (auto& s : h.image.slots()) m[s.name()] = s;
  for (size_t i = 1; i < rs.size(); ++i) {
    pb::Record r;
    if (!r.ParseFromString(rs[i])) {
      h.doubt = true;
      return h;
    }
    if (r.has_slot())
      m[r.slot().name()] = r.slot();
    else
      h.image.set_stage(r.stage());
  }
  h.image.clear_slots();
  for (auto& [k, s] : m) *h.image.add_slots() = s;
  return h;
}
}  // namespace

base::Loaded Store::load() {
  auto& p = *p_;
  bool damaged = false;
  std::optional<Half> best;
  for (int k = 0; k < 2; ++k) {
    auto h = half(p.path("slot", k), p.path("log", k), damaged);
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
    // loss, for the other is still whole and its log goes on. The reverse, an
    // older slot whose log was already given up, cannot be told apart by the
    // slot alone, so the other slot's log decides: a synced head there means
    // that slot had been put to use.
    if (damaged) {
      auto other = slurp(p.path("log", 1 - p.cur));
      if (other) {
        auto [rs, t] = unframe(*other);
        if (rs.size() > 1) out.doubt = true;
      }
    }
  } else if (damaged) {
    out.doubt = true;
  }
  if (out.doubt) {
    lg.error("What was synced to {} can no longer be read whole. It casts no vote until refilled.", p.dir);
    out.image = pb::Image();
  }
  if (!p.swap(out.image)) {
    lg.error("The first image could not be written to {}: {}.", p.dir, std::strerror(errno));
    p.broken = true;
  }
  return out;
}

std::optional<base::DiskDefect> Store::save(const std::vector<pb::Record>& rs,
                                            const std::function<pb::Image()>& whole) {
  auto& p = *p_;
  if (p.broken) return base::DiskDefect::failed;
  std::string b;
  for (auto& r : rs) b += frame(r.SerializeAsString());
  bool ok;
  if (p.log_now + b.size() > p.log_bytes) {
    ok = p.swap(whole());
  } else {
    ok = put_all(p.log, b) && ::fdatasync(p.log) == 0;
    p.log_now += b.size();
  }
  if (ok) return {};
  // After a failed sync nobody knows what is on the disk: it takes no more part.
  p.broken = true;
  lg.error("A write to {} failed: {}. This holder votes no more until restarted.", p.dir, std::strerror(errno));
  return base::DiskDefect::failed;
}

}  // namespace dunlinwing::disk
