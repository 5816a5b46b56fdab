// In the release folder: `current` names the last good program, `next` the staged
// one with its digest, `refused` lists digests that did not prove themselves here.
#include "software/stager.hpp"

#include <sys/stat.h>
#include <unistd.h>

#include "base/log.hpp"

namespace dunlinwing::software {
namespace {
constexpr base::Log logger("software");
constexpr int kProofBounds = 15;  // within so many bounds a new program must prove itself
constexpr int kSoundBounds = 2;   // and be sound for so long without a break
}  // namespace

struct Stager::Impl {
  base::Ports& ports;
  Artifacts& artifacts;
  storage::DiskExecutor& hand;
  StagerPorts sp;
  std::string dir, program;
  Duration bound;

  std::string file(const char* n) const { return dir + "/" + n; }
  std::string text(const char* n) {
    std::string out;
    hand.run([&] { out = storage::read_small(file(n)).value_or(""); });
    while (!out.empty() && out.back() == '\n') out.pop_back();
    return out;
  }
  bool put(const char* n, const std::string& s) {
    bool ok = false;
    hand.run([&] { ok = storage::write_synced(file(n), s + "\n"); });
    return ok;
  }
  void refuse(const std::string& sha) { put("refused", text("refused") + "\n" + sha); }
  void drop_next() {
    hand.run([&] {
      ::unlink(file("next").c_str());
      storage::sync_dir(dir);
    });
  }

  // The program named in `next` is this one: it has so long to prove itself.
  void prove(const std::string& sha) {
    logger.info("This program, {}, is new here and has to prove itself.", program);
    TimePoint end = ports.clock.now() + bound * kProofBounds, since = ports.clock.now();
    while (ports.clock.now() < end) {
      if (!sp.is_healthy()) since = ports.clock.now();
      if (ports.clock.now() - since >= bound * kSoundBounds) {
        if (!put("current", program)) break;
        drop_next();
        logger.info("This program, {}, has proved itself.", program);
        return;
      }
      ports.clock.sleep(bound / 8);
    }
    logger.error("This program, {}, did not prove itself; the machine goes back to the last good one.",
                 program);
    refuse(sha);
    drop_next();
    sp.terminate(kGoBack);
  }

  void settle_next() {
    auto n = text("next");
    if (n.empty()) {
      if (text("current").empty()) put("current", program);
      return;
    }
    auto sp1 = n.find(' ');
    auto name = n.substr(0, sp1), sha = sp1 == n.npos ? "" : n.substr(sp1 + 1);
    if (name == program) return prove(sha);
    logger.warn("The staged program {} did not come up; it is refused here.", name);
    refuse(sha);
    drop_next();
  }

  void stage(const SoftwareTarget& w) {
    auto name = "relay-" + w.version;
    if (text("refused").find(w.sha256) != std::string::npos)
      return sp.report_error("software/" + w.name + ": it was tried here and did not prove itself");
    auto part = file("staging");
    if (!artifacts.fetch(w, part, hand)) return;  // not all there yet; it will be tried again
    bool right = false, put_up = false;
    hand.run([&] {
      right = storage::sha256_hex_of(part) == w.sha256;
      if (!right) return;
      put_up = ::chmod(part.c_str(), 0750) == 0 && ::rename(part.c_str(), file(name.c_str()).c_str()) == 0 &&
               storage::sync_dir(dir);
    });
    if (!right) return sp.report_error("software/" + w.name + ": what came has another digest");
    if (!put_up) return sp.report_error("software/" + w.name + ": it cannot be staged in the release folder");
    while (sp.too_many_restarting()) ports.clock.sleep(bound / 2);
    if (!put("next", name + " " + w.sha256))
      return sp.report_error("software/" + w.name + ": the release folder cannot be written");
    logger.info("{} is staged; this process ends so that it can be started.", name);
    sp.terminate(kStartNext);
  }
};

Stager::Stager(base::Ports& ports, Artifacts& a, storage::DiskExecutor& h, StagerPorts sp, std::string dir,
               std::string program, Duration bound)
    : impl_(new Impl{ports, a, h, std::move(sp), std::move(dir), std::move(program), bound}) {}
Stager::~Stager() = default;

void Stager::start() {
  impl_->ports.tasks.spawn([p = impl_] {
    if (!p->dir.empty()) p->settle_next();
    for (;;) {
      p->ports.clock.sleep(p->bound / 2);
      auto w = p->sp.wanted();
      if (!w) continue;
      if (p->dir.empty())
        p->sp.report_error("software/" + w->name + ": no release folder is set for this machine");
      else
        p->stage(*w);
    }
  });
}

}  // namespace dunlinwing::software
