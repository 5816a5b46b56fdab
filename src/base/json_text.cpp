#include "base/json_text.hpp"

#include <fmt/format.h>

namespace dunlinwing::base {
namespace {
/// Counts the levels and values of a text, byte by byte.
class JsonMeter {
 public:
  /// @return false when a limit is exceeded
  bool add(char byte) {
    if (in_string_) {
      skip_in_string(byte);
      return true;
    }
    switch (byte) {
      case '"':
        in_string_ = true;
        break;
      case '[':
      case '{':
        ++depth_;
        ++values_;
        break;
      case ']':
      case '}':
        depth_ -= depth_ > 0;
        break;
      case ',':
        ++values_;
        break;
      case '\0':
        has_zero_byte_ = true;
        break;
      default:
        break;
    }
    return !exceeded();
  }

  std::optional<std::string> exceeded() const {
    if (has_zero_byte_) return "a zero byte is not JSON";
    if (depth_ > kMaxJsonDepth)
      return fmt::format("more than {} arrays and objects inside one another (limit json-depth)",
                         kMaxJsonDepth);
    if (values_ > kMaxJsonValues)
      return fmt::format("more than {} values (limit json-values)", kMaxJsonValues);
    return {};
  }

 private:
  void skip_in_string(char byte) {
    if (is_escaped_)
      is_escaped_ = false;
    else if (byte == '\\')
      is_escaped_ = true;
    else if (byte == '"')
      in_string_ = false;
  }

  size_t depth_ = 0;
  size_t values_ = 1;  ///< at most so many in the bytes so far
  bool in_string_ = false;
  bool is_escaped_ = false;     ///< the next byte of the string has no meaning of its own
  bool has_zero_byte_ = false;  ///< the parser would take it for the end of the text
};
}  // namespace

std::optional<std::string> exceeded_json_limit(std::string_view text) {
  JsonMeter meter;
  for (const char byte : text)
    if (!meter.add(byte)) break;
  return meter.exceeded();
}

}  // namespace dunlinwing::base
