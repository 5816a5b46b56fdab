/// @file
/// Each line is one write call, so that lines of different threads do not interleave.
#include "base/log.hpp"

#include <unistd.h>

#include <array>
#include <atomic>
#include <ctime>

namespace dunlinwing::base {
namespace {
std::atomic<LogLevel> lowest_level{LogLevel::info};
constexpr std::array<std::string_view, 4> kLevelNames{"debug", "info", "warn", "error"};  ///< by LogLevel
constexpr int64_t kNanosecondsPerMillisecond = 1000000;
}  // namespace

void set_log_level(LogLevel level) { lowest_level = level; }

bool parse_log_level(std::string_view name, LogLevel& level) {
  for (size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] != name) continue;
    level = static_cast<LogLevel>(i);
    return true;
  }
  return false;
}

bool is_logged(LogLevel level) { return level >= lowest_level.load(); }

void log_line(LogLevel level, std::string_view part, const std::string& text) {
  if (!is_logged(level)) return;
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  tm date{};
  gmtime_r(&now.tv_sec, &date);
  auto line = fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z {:5} {}: {}\n", date.tm_year + 1900,
                          date.tm_mon + 1, date.tm_mday, date.tm_hour, date.tm_min, date.tm_sec,
                          now.tv_nsec / kNanosecondsPerMillisecond, kLevelNames[static_cast<size_t>(level)],
                          part, text);
  // There is nowhere to report that a line could not be written.
  if (::write(STDERR_FILENO, line.data(), line.size()) < 0) return;
}

}  // namespace dunlinwing::base
