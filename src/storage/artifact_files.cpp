#include "storage/artifact_files.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <openssl/evp.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cstdio>

#include "storage/file_descriptor.hpp"

namespace dunlinwing::storage {
namespace {

constexpr mode_t kFileMode = 0640;
constexpr size_t kReadBytes = 1 << 16;  // of one read

FileDescriptor open_to_read(const std::string& path) {
  return FileDescriptor(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
}

std::optional<uint64_t> size_of(const std::string& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) return {};
  return static_cast<uint64_t>(status.st_size);
}

// The length of a file determines how much counts as stored, so a file whose last bytes may not be synced is
// removed: progress() would count them.
std::nullopt_t discard(const std::string& path) {
  ::unlink(path.c_str());
  return std::nullopt;
}

bool write_at(const FileDescriptor& file, std::string_view bytes, uint64_t offset) {
  while (!bytes.empty()) {
    const auto count = ::pwrite(file.get(), bytes.data(), bytes.size(), static_cast<off_t>(offset));
    if (count <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(count));
    offset += static_cast<uint64_t>(count);
  }
  return true;
}

}  // namespace

bool sync_folder(const std::string& folder) {
  const FileDescriptor opened(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return opened.is_open() && ::fsync(opened.get()) == 0;
}

std::optional<std::string> sha256_hex_of(const std::string& path) {
  const auto file = open_to_read(path);
  if (!file.is_open()) return {};
  const std::unique_ptr<EVP_MD_CTX, void (*)(EVP_MD_CTX*)> context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  std::array<char, kReadBytes> buffer;
  ssize_t count = 0;
  while ((count = ::read(file.get(), buffer.data(), buffer.size())) > 0)
    EVP_DigestUpdate(context.get(), buffer.data(), static_cast<size_t>(count));
  if (count < 0) return {};
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
  unsigned int digest_bytes = 0;
  EVP_DigestFinal_ex(context.get(), digest.data(), &digest_bytes);
  std::string digits;
  for (unsigned int i = 0; i < digest_bytes; ++i) digits += fmt::format("{:02x}", digest[i]);
  return digits;
}

std::optional<std::string> read_small_file(const std::string& path) {
  const auto file = open_to_read(path);
  if (!file.is_open()) return {};
  std::string bytes;
  read_all(file, bytes);
  return bytes;
}

bool replace_file(const std::string& path, const std::string& bytes) {
  const auto new_path = path + ".new";
  {
    const FileDescriptor file(::open(new_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
    if (!file.is_open() || !write_all(file, bytes) || ::fsync(file.get()) != 0) return false;
  }
  return ::rename(new_path.c_str(), path.c_str()) == 0 && sync_folder(path.substr(0, path.rfind('/')));
}

std::string ArtifactFiles::path(const std::string& sha256) const { return folder_ + "/artifact." + sha256; }

std::string ArtifactFiles::incomplete_path(const std::string& sha256) const { return path(sha256) + ".part"; }

ArtifactProgress ArtifactFiles::progress(const std::string& sha256) const {
  if (const auto bytes = size_of(path(sha256))) return {*bytes, true};
  return {size_of(incomplete_path(sha256)).value_or(0), false};
}

std::optional<ArtifactProgress> ArtifactFiles::append(const std::string& sha256, uint64_t offset,
                                                      const std::string& data, uint64_t total) {
  const auto stored = progress(sha256);
  const uint64_t end = offset + data.size();
  if (stored.complete || end <= stored.bytes) return stored;
  if (offset > stored.bytes || end > total) return {};
  const auto incomplete = incomplete_path(sha256);
  {
    const FileDescriptor file(::open(incomplete.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, kFileMode));
    if (!file.is_open()) return {};
    const auto missing = std::string_view(data).substr(stored.bytes - offset);
    if (!write_at(file, missing, stored.bytes) || ::fsync(file.get()) != 0) return discard(incomplete);
  }
  if (end < total) return ArtifactProgress{end, false};
  if (sha256_hex_of(incomplete) != sha256) return discard(incomplete);
  if (::rename(incomplete.c_str(), path(sha256).c_str()) != 0) return {};
  if (!sync_folder(folder_)) return discard(path(sha256));
  return ArtifactProgress{end, true};
}

std::string ArtifactFiles::read(const std::string& sha256, uint64_t offset, uint32_t bytes) const {
  const auto stored = progress(sha256);
  const auto file = open_to_read(stored.complete ? path(sha256) : incomplete_path(sha256));
  if (!file.is_open() || offset >= stored.bytes) return {};
  std::string out(std::min<uint64_t>(bytes, stored.bytes - offset), '\0');
  const auto count = ::pread(file.get(), out.data(), out.size(), static_cast<off_t>(offset));
  out.resize(count > 0 ? static_cast<size_t>(count) : 0);
  return out;
}

}  // namespace dunlinwing::storage
