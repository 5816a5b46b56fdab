// Plain POSIX files. The folder itself is synced when a name may be new.
#include "storage/files.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace dunlinwing::storage {
namespace {
bool put_all(int fd, std::string_view s) {
  while (!s.empty()) {
    auto n = ::write(fd, s.data(), s.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    s.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

class Folder final : public Files {
 public:
  Folder(std::string dir, int fd) : dir_(std::move(dir)), fd_(fd) {}
  ~Folder() override {
    close_log();
    ::close(fd_);
  }
  std::variant<std::string, ReadError> read(const std::string& n) override {
    int fd = ::openat(fd_, n.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) return errno == ENOENT ? ReadError::missing : ReadError::failed;
    // Advice only: what was synced is read from the disk where the system can drop its cache.
    (void)::posix_fadvise(fd, 0, 0, POSIX_FADV_DONTNEED);
    std::string out;
    char b[1 << 16];
    ssize_t k;
    while ((k = ::read(fd, b, sizeof b)) > 0) out.append(b, static_cast<size_t>(k));
    ::close(fd);
    if (k < 0) return ReadError::failed;
    return out;
  }
  bool replace(const std::string& n, const std::string& bytes) override {
    if (n == log_name_) close_log();
    int fd = ::openat(fd_, n.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0640);
    if (fd < 0) return false;
    bool ok = put_all(fd, bytes) && ::fsync(fd) == 0;
    ::close(fd);
    return ok;
  }
  bool append(const std::string& n, const std::string& bytes) override {
    if (n != log_name_) {
      close_log();
      log_ = ::openat(fd_, n.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
      if (log_ < 0) return false;
      log_name_ = n;
    }
    return put_all(log_, bytes) && ::fdatasync(log_) == 0;
  }
  bool sync_folder() override { return ::fsync(fd_) == 0; }
  std::string place() const override { return dir_; }

 private:
  void close_log() {
    if (log_ >= 0) ::close(log_);
    log_ = -1;
    log_name_.clear();
  }
  std::string dir_, log_name_;
  int fd_, log_ = -1;
};
}  // namespace

std::variant<std::unique_ptr<Files>, OpenError> open_folder(const std::string& dir) {
  auto bad = [&](const char* what) {
    return OpenError{fmt::format("{} the data folder {}: {}", what, dir, std::strerror(errno))};
  };
  if (::mkdir(dir.c_str(), 0750) != 0 && errno != EEXIST) return bad("cannot make");
  int fd = ::open(dir.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return bad("cannot open");
  if (::flock(fd, LOCK_EX | LOCK_NB) != 0) {
    ::close(fd);
    return OpenError{fmt::format("the data folder {} is in use by another relay", dir)};
  }
  return std::unique_ptr<Files>(new Folder(dir, fd));
}

}  // namespace dunlinwing::storage
