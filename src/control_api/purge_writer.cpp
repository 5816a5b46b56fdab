// One write a service is under way at a time; what comes meanwhile goes into
// the next. Folding makes a purge wider, never narrower, so nothing purged can
// come back.
#include "control_api/purge_writer.hpp"

#include <algorithm>

namespace dunlinwing::control_api {
namespace {
constexpr int kMostPurges = 128;

bool covers(const pb::Purge& a, const pb::Purge& b) {
  if (a.number() < b.number() || (!a.host().empty() && a.host() != b.host())) return false;
  if (a.kind() == "service") return true;
  if (a.kind() == "prefix" && (b.kind() == "prefix" || b.kind() == "path"))
    return b.path().starts_with(a.path());
  return a.kind() == b.kind() && a.path() == b.path();
}
}  // namespace

PurgeResult add_purge(pb::PurgeSet& purges, const pb::Purge& purge) {
  for (auto& x : purges.purges())
    if (!purge.name().empty() && x.name() == purge.name())
      return {x.number(), true,
              x.kind() != purge.kind() || x.path() != purge.path() || x.host() != purge.host()};
  purges.set_number(purges.number() + 1);
  pb::Purge n = purge;
  n.set_number(purges.number());
  auto* v = purges.mutable_purges();
  v->erase(std::remove_if(v->begin(), v->end(), [&](auto& x) { return covers(n, x); }), v->end());
  *v->Add() = n;
  if (v->size() > kMostPurges) {
    pb::Purge fold;
    fold.set_kind("service");
    std::vector<uint64_t> ns;
    for (auto& x : *v) ns.push_back(x.number());
    std::nth_element(ns.begin(), ns.begin() + kMostPurges / 2, ns.end());
    fold.set_number(ns[kMostPurges / 2]);  // the older half
    v->erase(std::remove_if(v->begin(), v->end(), [&](auto& x) { return x.number() <= fold.number(); }),
             v->end());
    *v->Add() = fold;
  }
  return {purges.number(), false};
}

struct PurgeWriter::Impl {
  struct Job {
    pb::Purge purge;
    std::shared_ptr<base::Condition> condition;
    std::optional<std::variant<PurgeResult, PurgeError>> res;
  };
  struct Line {
    bool writing = false;
    std::vector<std::shared_ptr<Job>> jobs;
  };
  base::Ports& ports;
  consensus::RegisterClient& registers;
  std::map<std::string, Line> by;

  void write(const std::string& service, const std::vector<std::shared_ptr<Job>>& js) {
    auto all = [&](PurgeError d) {
      for (auto& j : js) j->res = d;
    };
    auto key = "purge/" + service;
    auto g = registers.read(key);
    auto* h = std::get_if<consensus::VersionedValue>(&g);
    if (!h) return all(PurgeError::no_majority);
    consensus::VersionedValue now = *h;
    for (;;) {
      pb::PurgeSet purges;
      purges.ParseFromString(now.data);
      std::vector<PurgeResult> done;
      for (auto& j : js) done.push_back(add_purge(purges, j->purge));
      auto r = registers.write(key, now.version, purges.SerializeAsString());
      if (std::holds_alternative<consensus::VersionedValue>(r)) {
        for (size_t i = 0; i < js.size(); ++i) js[i]->res = done[i];
        return;
      }
      if (auto* d = std::get_if<consensus::RegisterError>(&r))
        return all(*d == consensus::RegisterError::no_majority ? PurgeError::no_majority
                                                               : PurgeError::outcome_unknown);
      now = std::get<consensus::VersionConflict>(r).current;
    }
  }
};

PurgeWriter::PurgeWriter(base::Ports& ports, consensus::RegisterClient& registers)
    : impl_(new Impl{ports, registers, {}}) {}
PurgeWriter::~PurgeWriter() = default;

std::variant<PurgeResult, PurgeError> PurgeWriter::put(const std::string& service, const pb::Purge& purge) {
  auto j = std::make_shared<Impl::Job>();
  j->purge = purge;
  j->condition = impl_->ports.tasks.condition();
  auto& l = impl_->by[service];
  l.jobs.push_back(j);
  if (!l.writing) {
    l.writing = true;
    impl_->ports.tasks.spawn([me = impl_, &l, service] {
      while (!l.jobs.empty()) {
        auto js = std::exchange(l.jobs, {});
        me->write(service, js);
        for (auto& x : js) x->condition->notify();
      }
      l.writing = false;
    });
  }
  while (!j->res) j->condition->wait(Duration(1000));
  return *j->res;
}

}  // namespace dunlinwing::control_api
