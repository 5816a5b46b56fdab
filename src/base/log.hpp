/// @file
/// Logging: one short sentence per line on standard error, with a fixed prefix for each part.
/// Threads: every function may be called from any thread; lines do not interleave.
#pragma once
#include <fmt/format.h>

#include "base/common.hpp"

namespace dunlinwing::base {

enum class LogLevel { debug, info, warn, error };

/// Drops lines below this level from now on; the default is info.
void set_log_level(LogLevel level);

/// @param name  the name of an enumerator
/// @return whether the name is known; if not, `level` is unchanged
bool parse_log_level(std::string_view name, LogLevel& level);

/// Whether lines of this level are written.
bool is_logged(LogLevel level);

/// Writes one line: the time (UTC), the level, the part's name and the text.
void log_line(LogLevel level, std::string_view part, const std::string& text);

/// The logger of one part.
class Log {
 public:
  /// @param part  the prefix of its lines; must outlive the logger
  explicit constexpr Log(const char* part) : part_(part) {}

  template <class... Arguments>
  void debug(fmt::format_string<Arguments...> format, Arguments&&... arguments) const {
    log_line(LogLevel::debug, part_, fmt::format(format, std::forward<Arguments>(arguments)...));
  }
  template <class... Arguments>
  void info(fmt::format_string<Arguments...> format, Arguments&&... arguments) const {
    log_line(LogLevel::info, part_, fmt::format(format, std::forward<Arguments>(arguments)...));
  }
  template <class... Arguments>
  void warn(fmt::format_string<Arguments...> format, Arguments&&... arguments) const {
    log_line(LogLevel::warn, part_, fmt::format(format, std::forward<Arguments>(arguments)...));
  }
  template <class... Arguments>
  void error(fmt::format_string<Arguments...> format, Arguments&&... arguments) const {
    log_line(LogLevel::error, part_, fmt::format(format, std::forward<Arguments>(arguments)...));
  }

  const char* part() const { return part_; }

 private:
  const char* part_;
};

}  // namespace dunlinwing::base
