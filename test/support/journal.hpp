// Journals of the stub programs: one JSON object per line, each written with one
// system call, so that a kill loses no line written before a response.
#pragma once
#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <string>

#include "base/json.hpp"

namespace dunlinwing::test {

class Journal {
 public:
  explicit Journal(const std::string& path)
      : fd_(path.empty() ? -1 : ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644)) {}
  ~Journal() {
    if (fd_ >= 0) ::close(fd_);
  }
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;
  void line(const std::string& s) const {
    if (fd_ < 0) return;
    auto t = s + "\n";
    if (::write(fd_, t.data(), t.size()) < 0) return;
  }

 private:
  int fd_;
};

inline std::string qt(std::string_view s) { return base::quote(s); }

}  // namespace dunlinwing::test
