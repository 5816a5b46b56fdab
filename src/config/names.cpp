#include "config/names.hpp"

namespace dunlinwing::config {
namespace {
constexpr size_t kMaxLength = 64;
constexpr std::string_view kCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
}  // namespace

bool is_valid_service_name(std::string_view name) {
  return !name.empty() && name.size() <= kMaxLength &&
         name.find_first_not_of(kCharacters) == std::string_view::npos;
}

bool is_valid_release_name(std::string_view name) { return is_valid_service_name(name) && name[0] != '.'; }

}  // namespace dunlinwing::config
