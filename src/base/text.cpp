#include "base/text.hpp"

#include <openssl/evp.h>

#include <algorithm>
#include <cctype>

namespace dunlinwing::base {
namespace {
int lower(char letter) { return std::tolower(static_cast<unsigned char>(letter)); }
}  // namespace

bool equals_ignore_case(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char one, char other) { return lower(one) == lower(other); });
}

std::string lower_case(std::string_view text) {
  std::string lowered(text);
  std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                 [](char letter) { return static_cast<char>(lower(letter)); });
  return lowered;
}

std::vector<std::string> split_list(std::string_view text, char separator) {
  std::vector<std::string> out;
  for (size_t begin = 0; begin <= text.size();) {
    auto end = std::min(text.find(separator, begin), text.size());
    auto part = text.substr(begin, end - begin);
    begin = end + 1;
    auto first = part.find_first_not_of(" \t");
    if (first == std::string_view::npos) continue;
    out.emplace_back(part.substr(first, part.find_last_not_of(" \t") - first + 1));
  }
  return out;
}

std::string sha256_base64(std::string_view bytes) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest, &size, EVP_sha256(), nullptr);
  const size_t groups = (static_cast<size_t>(size) + 2) / 3;  // of three bytes; each becomes four characters
  std::string out(4 * groups, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()), digest, static_cast<int>(size));
  return out;
}

}  // namespace dunlinwing::base
