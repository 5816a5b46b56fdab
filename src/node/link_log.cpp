#include "node/link_log.hpp"

#include "base/log.hpp"

namespace dunlinwing::node {
namespace {
constexpr base::Log logger("link");
constexpr Duration kInterval(10000);
constexpr double kNotableShare = 0.5;  // of the link's rate
constexpr double kMsPerSecond = 1000;
constexpr double kKilobyte = 1000;
}  // namespace

void LinkLog::update(TimePoint now) {
  if (!link_ || now - logged_at_ < kInterval) return;
  const Duration elapsed = now - std::exchange(logged_at_, now);
  log_direction("in", link_->inbound, logged_inbound_, elapsed);
  log_direction("out", link_->outbound, logged_outbound_, elapsed);
}

void LinkLog::log_direction(const char* direction, const link::Pacer& pacer,
                            link::TrafficCountsByClass& logged, Duration elapsed) const {
  const auto counts = pacer.counts();
  const double per_second = kMsPerSecond / static_cast<double>(elapsed.count());
  double sum = 0;
  uint64_t waits = 0;
  std::string classes;
  for (size_t i = 0; i < counts.size(); ++i) {
    const double rate = static_cast<double>(counts[i].bytes - logged[i].bytes) * per_second;
    const uint64_t class_waits = counts[i].waits - logged[i].waits;
    classes += fmt::format(" {} {:.0f} KB/s, {} waits totalling {} ms, {} given up;",
                           link::label(static_cast<link::TrafficClass>(i)), rate / kKilobyte, class_waits,
                           counts[i].wait_ms - logged[i].wait_ms, counts[i].given_up - logged[i].given_up);
    sum += rate;
    waits += class_waits;
  }
  logged = counts;
  if (waits == 0 && sum < pacer.link_rate() * kNotableShare) return;
  logger.info("{}: link traffic {} {:.0f} of {:.0f} KB/s:{}", node_name_, direction, sum / kKilobyte,
              pacer.link_rate() / kKilobyte, classes);
}

}  // namespace dunlinwing::node
