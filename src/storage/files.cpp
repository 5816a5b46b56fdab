#include "storage/files.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "storage/file_descriptor.hpp"

namespace dunlinwing::storage {
namespace {

constexpr mode_t kFileMode = 0640;
constexpr mode_t kFolderMode = 0750;

/// Files of a POSIX folder.
class Folder final : public Files {
 public:
  /// @param folder  open and locked; closing it releases the lock
  Folder(std::string path, FileDescriptor folder) : path_(std::move(path)), folder_(std::move(folder)) {}

  std::variant<std::string, ReadError> read(const std::string& name) override {
    const FileDescriptor file(::openat(folder_.get(), name.c_str(), O_RDONLY | O_CLOEXEC));
    if (!file.is_open()) return errno == ENOENT ? ReadError::missing : ReadError::failed;
    // Best effort: if the system drops its cached pages, the read returns the bytes on the disk.
    (void)::posix_fadvise(file.get(), 0, 0, POSIX_FADV_DONTNEED);
    std::string bytes;
    if (!read_all(file, bytes)) return ReadError::failed;
    return bytes;
  }

  bool replace(const std::string& name, const std::string& bytes) override {
    if (name == log_name_) close_log();
    const FileDescriptor file(
        ::openat(folder_.get(), name.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
    return file.is_open() && write_all(file, bytes) && ::fsync(file.get()) == 0;
  }

  bool append(const std::string& name, const std::string& bytes) override {
    if (name != log_name_) {
      close_log();
      log_ = FileDescriptor(::openat(folder_.get(), name.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
      if (!log_.is_open()) return false;
      log_name_ = name;
    }
    return write_all(log_, bytes) && ::fdatasync(log_.get()) == 0;
  }

  bool sync_folder() override { return ::fsync(folder_.get()) == 0; }
  std::string location() const override { return path_; }

 private:
  void close_log() {
    log_.close();
    log_name_.clear();
  }

  const std::string path_;
  const FileDescriptor folder_;
  // The file of the last append stays open, since the next append is usually to the same file.
  std::string log_name_;  ///< empty: none
  FileDescriptor log_;
};

}  // namespace

std::variant<std::unique_ptr<Files>, OpenError> open_folder(const std::string& path) {
  auto error = [&](const char* what) {
    return OpenError{fmt::format("{} the data folder {}: {}", what, path, std::strerror(errno))};
  };
  if (::mkdir(path.c_str(), kFolderMode) != 0 && errno != EEXIST) return error("cannot make");
  FileDescriptor folder(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!folder.is_open()) return error("cannot open");
  if (::flock(folder.get(), LOCK_EX | LOCK_NB) != 0)
    return OpenError{fmt::format("the data folder {} is in use by another relay", path)};
  return std::make_unique<Folder>(path, std::move(folder));
}

}  // namespace dunlinwing::storage
