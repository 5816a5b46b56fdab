// Logs: one short sentence a line on standard error, each part under its own
// fixed prefix.
#pragma once
#include <fmt/format.h>

#include "base/common.hpp"

namespace dunlinwing::base {

enum class Level { debug, info, warn, error };
void set_level(Level l);
bool parse_level(std::string_view s, Level& out);
void log_line(Level l, std::string_view part, const std::string& text);

class Log {
 public:
  explicit constexpr Log(const char* part) : part_(part) {}
  template <class... A>
  void debug(fmt::format_string<A...> f, A&&... a) const {
    log_line(Level::debug, part_, fmt::format(f, std::forward<A>(a)...));
  }
  template <class... A>
  void info(fmt::format_string<A...> f, A&&... a) const {
    log_line(Level::info, part_, fmt::format(f, std::forward<A>(a)...));
  }
  template <class... A>
  void warn(fmt::format_string<A...> f, A&&... a) const {
    log_line(Level::warn, part_, fmt::format(f, std::forward<A>(a)...));
  }
  template <class... A>
  void error(fmt::format_string<A...> f, A&&... a) const {
    log_line(Level::error, part_, fmt::format(f, std::forward<A>(a)...));
  }

 private:
  const char* part_;
};

}  // namespace dunlinwing::base
