/// @file
/// The body of a request or response: immutable bytes that copies share, so that a body is in memory once
/// however many requests, attempts and cache entries refer to it. It may hold the reservation of its memory,
/// which is released with its last copy.
///
/// Threads: copies may be used on different threads at the same time.
#pragma once
#include <fmt/format.h>

#include <memory>
#include <ostream>
#include <string>
#include <string_view>

#include "base/memory_account.hpp"

namespace dunlinwing::base {

class Body {
 public:
  Body() = default;
  Body(std::string bytes) : Body(std::move(bytes), MemoryReservation()) {}  // implicit: a text is a body
  Body(const char* text) : Body(std::string(text)) {}
  Body(std::string bytes, MemoryReservation reservation)
      : content_(bytes.empty() ? nullptr
                               : std::make_shared<const Content>(std::move(bytes), std::move(reservation))) {}

  const std::string& text() const { return content_ ? content_->bytes : empty_text(); }
  operator const std::string&() const { return text(); }
  operator std::string_view() const { return text(); }

  size_t size() const { return text().size(); }
  bool empty() const { return !content_; }
  std::string substr(size_t first, size_t count = std::string::npos) const {
    return text().substr(first, count);
  }
  size_t find(std::string_view part, size_t from = 0) const { return text().find(part, from); }
  bool starts_with(std::string_view part) const { return text().starts_with(part); }
  const char* c_str() const { return text().c_str(); }

  friend bool operator==(const Body& one, const Body& other) { return one.text() == other.text(); }
  friend bool operator==(const Body& one, std::string_view other) { return one.text() == other; }
  friend bool operator==(const Body& one, const std::string& other) { return one.text() == other; }
  friend bool operator==(const Body& one, const char* other) { return one.text() == other; }
  friend std::string operator+(const std::string& one, const Body& other) { return one + other.text(); }
  friend std::ostream& operator<<(std::ostream& out, const Body& body) { return out << body.text(); }

 private:
  struct Content {
    Content(std::string text, MemoryReservation memory)
        : bytes(std::move(text)), reservation(std::move(memory)) {}
    std::string bytes;
    MemoryReservation reservation;
  };

  static const std::string& empty_text() {
    static const std::string empty;
    return empty;
  }

  std::shared_ptr<const Content> content_;  ///< null: empty
};

}  // namespace dunlinwing::base

template <>
struct fmt::formatter<dunlinwing::base::Body> : fmt::formatter<std::string_view> {
  template <class Context>
  auto format(const dunlinwing::base::Body& body, Context& context) const {
    return fmt::formatter<std::string_view>::format(body, context);
  }
};
