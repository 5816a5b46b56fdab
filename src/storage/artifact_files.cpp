// A part is a file with ".part" to its name; it loses that when it is whole.
#include "storage/artifact_files.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <openssl/evp.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>

namespace dunlinwing::storage {
namespace {
struct Fd {
  int n;
  ~Fd() {
    if (n >= 0) ::close(n);
  }
};
std::optional<uint64_t> size_of(const std::string& p) {
  struct stat st {};
  if (::stat(p.c_str(), &st) != 0) return {};
  return static_cast<uint64_t>(st.st_size);
}

// What is there is told by a file's length, so bytes that may not be synced must not stay:
// the next look would take them for kept.
std::nullopt_t begin_again(const std::string& path) {
  ::unlink(path.c_str());
  return std::nullopt;
}
}  // namespace

bool sync_dir(const std::string& dir) {
  Fd d{::open(dir.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)};
  return d.n >= 0 && ::fsync(d.n) == 0;
}

std::optional<std::string> sha256_hex_of(const std::string& p) {
  Fd f{::open(p.c_str(), O_RDONLY | O_CLOEXEC)};
  if (f.n < 0) return {};
  std::unique_ptr<EVP_MD_CTX, void (*)(EVP_MD_CTX*)> c(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  EVP_DigestInit_ex(c.get(), EVP_sha256(), nullptr);
  char b[1 << 16];
  ssize_t n;
  while ((n = ::read(f.n, b, sizeof b)) > 0) EVP_DigestUpdate(c.get(), b, static_cast<size_t>(n));
  if (n < 0) return {};
  unsigned char d[EVP_MAX_MD_SIZE];
  unsigned int k = 0;
  EVP_DigestFinal_ex(c.get(), d, &k);
  std::string out;
  for (unsigned int i = 0; i < k; ++i) out += fmt::format("{:02x}", d[i]);
  return out;
}

std::optional<std::string> read_small(const std::string& p) {
  Fd f{::open(p.c_str(), O_RDONLY | O_CLOEXEC)};
  if (f.n < 0) return {};
  std::string out;
  char b[4096];
  ssize_t n;
  while ((n = ::read(f.n, b, sizeof b)) > 0) out.append(b, static_cast<size_t>(n));
  return out;
}

bool write_synced(const std::string& p, const std::string& bytes) {
  auto t = p + ".new";
  {
    Fd f{::open(t.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0640)};
    if (f.n < 0 || ::write(f.n, bytes.data(), bytes.size()) != static_cast<ssize_t>(bytes.size()) ||
        ::fsync(f.n) != 0)
      return false;
  }
  return ::rename(t.c_str(), p.c_str()) == 0 && sync_dir(p.substr(0, p.rfind('/')));
}

std::string ArtifactFiles::path(const std::string& sha) const { return dir_ + "/artifact." + sha; }

ArtifactProgress ArtifactFiles::progress(const std::string& sha) const {
  if (auto n = size_of(path(sha))) return {*n, true};
  return {size_of(path(sha) + ".part").value_or(0), false};
}

std::optional<ArtifactProgress> ArtifactFiles::append(const std::string& sha, uint64_t offset,
                                                      const std::string& data, uint64_t total) {
  auto k = progress(sha);
  if (k.complete || offset + data.size() <= k.bytes) return k;
  if (offset > k.bytes || offset + data.size() > total) return {};
  auto part = path(sha) + ".part";
  {
    Fd f{::open(part.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0640)};
    if (f.n < 0) return {};
    size_t skip = k.bytes - offset, at = 0;
    while (skip + at < data.size()) {
      auto n =
          ::pwrite(f.n, data.data() + skip + at, data.size() - skip - at, static_cast<off_t>(k.bytes + at));
      if (n <= 0) return begin_again(part);
      at += static_cast<size_t>(n);
    }
    if (::fsync(f.n) != 0) return begin_again(part);
  }
  k.bytes = offset + data.size();
  if (k.bytes < total) return k;
  if (sha256_hex_of(part) != sha) return begin_again(part);
  if (::rename(part.c_str(), path(sha).c_str()) != 0) return {};
  if (!sync_dir(dir_)) return begin_again(path(sha));
  return ArtifactProgress{k.bytes, true};
}

std::string ArtifactFiles::read(const std::string& sha, uint64_t offset, uint32_t bytes) const {
  auto k = progress(sha);
  Fd f{::open((k.complete ? path(sha) : path(sha) + ".part").c_str(), O_RDONLY | O_CLOEXEC)};
  if (f.n < 0 || offset >= k.bytes) return {};
  std::string out(std::min<uint64_t>(bytes, k.bytes - offset), '\0');
  auto n = ::pread(f.n, out.data(), out.size(), static_cast<off_t>(offset));
  out.resize(n > 0 ? static_cast<size_t>(n) : 0);
  return out;
}

}  // namespace dunlinwing::storage
