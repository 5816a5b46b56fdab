/// @file
/// An owned file descriptor, and functions that repeat read() and write() until all bytes are transferred.
///
/// Threads: a FileDescriptor belongs to one thread at a time; the functions block.
#pragma once
#include "base/common.hpp"

namespace dunlinwing::storage {

/// Owns a file descriptor and closes it.
class FileDescriptor {
 public:
  /// @param fd  as a system call returned it; negative when the call failed
  explicit FileDescriptor(int fd = -1) : fd_(fd) {}
  ~FileDescriptor() { close(); }
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  bool is_open() const { return fd_ >= 0; }
  int get() const { return fd_; }
  void close();

 private:
  int fd_;  ///< negative: none
};

/// Appends the rest of the file to `bytes`.
/// @return false when a read fails; `bytes` then contains what was read before
bool read_all(const FileDescriptor& file, std::string& bytes);

/// Writes all of the bytes at the file's position, without a sync.
/// @return false when a write fails; any part of the bytes may then be in the file
[[nodiscard]] bool write_all(const FileDescriptor& file, std::string_view bytes);

}  // namespace dunlinwing::storage
