/// @file
/// Logs: one short sentence a line on standard error, each part under its own fixed prefix.
/// Threads: every function may be called from any thread; lines do not mix.
#pragma once
#include <fmt/format.h>

#include "base/common.hpp"

namespace dunlinwing::base {

enum class Level { debug, info, warn, error };

/// Lines below the level are dropped from now on; at first those below info.
void set_level(Level level);

/// @param name  as the enumerators are called
/// @return whether the name is known; `level` is left alone when it is not
bool parse_level(std::string_view name, Level& level);

/// Writes one line: the time (UTC), the level, the part's name and the text.
void log_line(Level level, std::string_view part, const std::string& text);

/// The logger of one part.
class Log {
 public:
  /// @param part  the prefix of its lines; has to outlive the logger
  explicit constexpr Log(const char* part) : part_(part) {}

  template <class... Arguments>
  void debug(fmt::format_string<Arguments...> format, Arguments&&... arguments) const {
    log_line(Level::debug, part_, fmt::format(format, std::forward<Arguments>(arguments)...));
  }
  template <class... Arguments>
  void info(fmt::format_string<Arguments...> format, Arguments&&... arguments) const {
    log_line(Level::info, part_, fmt::format(format, std::forward<Arguments>(arguments)...));
  }
  template <class... Arguments>
  void warn(fmt::format_string<Arguments...> format, Arguments&&... arguments) const {
    log_line(Level::warn, part_, fmt::format(format, std::forward<Arguments>(arguments)...));
  }
  template <class... Arguments>
  void error(fmt::format_string<Arguments...> format, Arguments&&... arguments) const {
    log_line(Level::error, part_, fmt::format(format, std::forward<Arguments>(arguments)...));
  }

 private:
  const char* part_;
};

}  // namespace dunlinwing::base
