// One write a line, so that lines of several threads do not mix.
#include "base/log.hpp"

#include <unistd.h>

#include <atomic>
#include <ctime>

namespace dunlinwing::base {
namespace {
std::atomic<Level> floor_level{Level::info};
}

void set_level(Level l) { floor_level = l; }

bool parse_level(std::string_view s, Level& out) {
  static const std::pair<std::string_view, Level> all[] = {
      {"debug", Level::debug}, {"info", Level::info}, {"warn", Level::warn}, {"error", Level::error}};
  for (auto& [n, l] : all)
    if (n == s) return out = l, true;
  return false;
}

void log_line(Level l, std::string_view part, const std::string& text) {
  if (l < floor_level.load()) return;
  static const char* const marks[] = {"debug", "info", "warn", "error"};
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  tm g{};
  gmtime_r(&t.tv_sec, &g);
  auto s = fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z {:5} {}: {}\n", g.tm_year + 1900,
                       g.tm_mon + 1, g.tm_mday, g.tm_hour, g.tm_min, g.tm_sec, t.tv_nsec / 1000000,
                       marks[static_cast<int>(l)], part, text);
  if (::write(2, s.data(), s.size()) < 0) return;
}

}  // namespace dunlinwing::base
