#include "storage/file_descriptor.hpp"

#include <unistd.h>

#include <array>
#include <cerrno>

namespace dunlinwing::storage {
namespace {
constexpr size_t kReadBytes = 1 << 16;  // of one read
}  // namespace

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
  if (this == &other) return *this;
  close();
  fd_ = std::exchange(other.fd_, -1);
  return *this;
}

void FileDescriptor::close() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

bool read_all(const FileDescriptor& file, std::string& bytes) {
  std::array<char, kReadBytes> buffer;
  ssize_t count = 0;
  while ((count = ::read(file.get(), buffer.data(), buffer.size())) > 0)
    bytes.append(buffer.data(), static_cast<size_t>(count));
  return count == 0;
}

bool write_all(const FileDescriptor& file, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto count = ::write(file.get(), bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(count));
  }
  return true;
}

}  // namespace dunlinwing::storage
