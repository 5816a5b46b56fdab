#include "membership/leadership.hpp"

#include "base/log.hpp"

namespace dunlinwing::membership {
namespace {
constexpr base::Log logger("leadership");

// Whether this node may be the leader.
enum class Participation {
  candidate,  // acquires the leadership once its lease has expired, and renews it
  passive,    // does not acquire it, and releases it
  ended,      // as passive, permanently
};

constexpr int kChecksPerSpan = 8;
constexpr int kJitterPerSpan = 16;  // random delay between checks: at most this part of the span
}  // namespace

std::string leadership_key(const std::string& name) { return "duty/" + name; }

struct Leadership::Impl {
  base::Ports& ports;
  consensus::RegisterClient& registers;
  StateCache& state_cache;
  std::string name, node_name, zone;
  Duration span;
  Participation participation = Participation::candidate;
  TimePoint lease_end{0};     ///< until when this node is the leader; no later than others may take over
  uint64_t term = 0;          ///< of the lease that this node acquired last
  uint64_t version = 0;       ///< of the register that stores `lease`
  pb::LeaderLease lease;      ///< as last written by this node
  uint64_t seen_version = 0;  ///< of the register when this node last saw it change, at `seen_at`
  TimePoint seen_at{0};

  bool has_lease() const { return ports.clock.now() < lease_end; }

  /// The register as of the last pull; version 0: nothing was ever written.
  consensus::VersionedValue known_value() const {
    auto found = state_cache.chosen().find(leadership_key(name));
    return found == state_cache.chosen().end() ? consensus::VersionedValue{} : found->second;
  }

  static pb::LeaderLease parse(const consensus::VersionedValue& value) {
    pb::LeaderLease lease;
    lease.ParseFromString(value.data);
    return lease;
  }

  /// Chooses a member that could take over, in another zone if possible.
  std::string choose_standby() const {
    std::string same_zone;
    for (const auto& member : state_cache.statuses().members(ports.clock.now())) {
      if (!member.info.replica() || member.info.drained() || member.name == node_name) continue;
      if (member.info.zone() != zone) return member.name;
      if (same_zone.empty()) same_zone = member.name;
    }
    return same_zone;
  }

  /// Writes the lease if the register is at version `expected`. If the write fails, whether or not it took
  /// effect, the previous lease still expires at its own end.
  bool write(const pb::LeaderLease& next, uint64_t expected) {
    TimePoint begin = ports.clock.now();
    auto result = registers.write(leadership_key(name), expected, next.SerializeAsString());
    auto* written = std::get_if<consensus::VersionedValue>(&result);
    if (!written) return false;
    version = written->version;
    lease = next;
    term = next.term();
    lease_end = begin + span * 3 / 4;
    return true;
  }

  void renew() {
    pb::LeaderLease next = lease;
    next.set_renewals(next.renewals() + 1);
    next.set_standby(choose_standby());
    if (!write(next, version)) check_lease_after_failure();
  }

  /// Handles a failed renewal: it may have been written nevertheless, or another node may be the leader.
  void check_lease_after_failure() {
    auto read = registers.read(leadership_key(name));
    auto* found = std::get_if<consensus::VersionedValue>(&read);
    if (!found) return;
    auto current = parse(*found);
    if (current.leader() == node_name && current.term() == term) {
      version = found->version;
      lease = current;
      return;
    }
    lease_end = TimePoint(0);
    logger.warn("{}: lost the leadership {}; the current leader is {}.", node_name, name,
                current.leader().empty() ? "nobody" : current.leader());
  }

  void give_up() {
    pb::LeaderLease next = lease;
    next.set_leader("");
    write(next, version);
    lease_end = TimePoint(0);
    logger.info("{}: released the leadership {}; the standby is {}.", node_name, name, next.standby());
  }

  /// How long after the last change of the register this node may take the leadership over.
  Duration takeover_wait(const pb::LeaderLease& current) const {
    bool is_standby = current.standby() == node_name;
    if (current.leader().empty()) return current.standby().empty() || is_standby ? Duration(0) : span;
    return is_standby ? span : span * 3 / 2;
  }

  void try_acquire() {
    auto value = known_value();
    auto current = parse(value);
    TimePoint now = ports.clock.now();
    if (value.version != seen_version || seen_at == TimePoint(0)) {
      seen_version = value.version;
      seen_at = now;
      if (!current.leader().empty()) return;
    }
    if (now - seen_at < takeover_wait(current)) return;
    pb::LeaderLease next;
    next.set_leader(node_name);
    next.set_term(current.term() + 1);
    next.set_span_ms(static_cast<uint64_t>(span.count()));
    next.set_standby(choose_standby());
    if (write(next, value.version))
      logger.info("{}: acquired the leadership {} under term {}.", node_name, name, next.term());
  }

  /// Renews the lease, releases it, or tries to acquire it, depending on the state.
  void check() {
    bool candidate = participation == Participation::candidate;
    if (has_lease() && candidate)
      renew();
    else if (has_lease())
      give_up();
    else if (candidate && state_cache.has_read_lease())
      try_acquire();
  }

  void run() {
    while (participation != Participation::ended) {
      check();
      auto jitter = ports.random.below(static_cast<uint64_t>(span.count()) / kJitterPerSpan + 1);
      ports.clock.sleep(span / kChecksPerSpan + Duration(jitter));
    }
  }
};

Leadership::Leadership(base::Ports& ports, consensus::RegisterClient& registers, StateCache& state_cache,
                       std::string name, std::string node_name, std::string zone, Duration bound)
    : impl_(new Impl{ports, registers, state_cache, std::move(name), std::move(node_name), std::move(zone),
                     bound * 2}) {}
Leadership::~Leadership() = default;

void Leadership::start() {
  impl_->ports.tasks.spawn([impl = impl_] { impl->run(); });
}

bool Leadership::is_leader() const {
  return impl_->participation != Participation::ended && impl_->ports.clock.now() < impl_->lease_end;
}
uint64_t Leadership::term() const { return impl_->term; }
pb::LeaderLease Leadership::known_lease() const { return Impl::parse(impl_->known_value()); }
Duration Leadership::span() const { return impl_->span; }

void Leadership::set_passive(bool passive) {
  if (impl_->participation == Participation::ended) return;
  impl_->participation = passive ? Participation::passive : Participation::candidate;
}

void Leadership::transfer() {
  bool was_leader = is_leader();
  impl_->participation = Participation::ended;
  if (was_leader) impl_->give_up();
}

}  // namespace dunlinwing::membership
