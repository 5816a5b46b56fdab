// Small helpers on the plain data that crosses the ports.
#include "base/ports.hpp"

#include <fmt/format.h>
#include <openssl/evp.h>

#include <cctype>

namespace dunlinwing::base {

bool equals_ignore_case(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  for (size_t i = 0; i < a.size(); ++i)
    if (std::tolower(static_cast<unsigned char>(a[i])) != std::tolower(static_cast<unsigned char>(b[i])))
      return false;
  return true;
}

std::string header(const std::vector<std::pair<std::string, std::string>>& headers, std::string_view name) {
  for (auto& [k, v] : headers)
    if (equals_ignore_case(k, name)) return v;
  return {};
}

std::vector<std::string> split_list(std::string_view s, char sep) {
  std::vector<std::string> out;
  for (size_t i = 0; i <= s.size();) {
    auto e = std::min(s.find(sep, i), s.size());
    auto w = s.substr(i, e - i);
    i = e + 1;
    auto a = w.find_first_not_of(" \t");
    if (a == w.npos) continue;
    out.emplace_back(w.substr(a, w.find_last_not_of(" \t") - a + 1));
  }
  return out;
}

std::string sha256_base64(std::string_view body) {
  unsigned char d[EVP_MAX_MD_SIZE];
  unsigned int n = 0;
  EVP_Digest(body.data(), body.size(), d, &n, EVP_sha256(), nullptr);
  std::string out(4 * ((n + 2) / 3), '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()), d, static_cast<int>(n));
  return out;
}

std::string random_token(Random& random) {
  return fmt::format("{:016x}{:016x}", random.draw(), random.draw());
}

}  // namespace dunlinwing::base
