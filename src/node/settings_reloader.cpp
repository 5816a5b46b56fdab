#include "node/settings_reloader.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "base/log.hpp"

namespace dunlinwing::node {
namespace {
constexpr base::Log logger("relay");

/// Attributes that show a change of a file without reading it.
struct FileStamp {
  int64_t seconds = 0;
  int64_t nanoseconds = 0;
  int64_t bytes = 0;
  uint64_t inode = 0;
  bool operator==(const FileStamp&) const = default;
};

std::optional<FileStamp> stamp_of(const std::string& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) return {};
  return FileStamp{status.st_mtim.tv_sec, status.st_mtim.tv_nsec, status.st_size, status.st_ino};
}

std::optional<std::string> text_of(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) return {};
  return text.str();
}

/// The values as JSON text, by key.
std::map<std::string, std::string> values_by_key(std::string_view text) {
  std::map<std::string, std::string> values;
  const auto parsed = base::Json::parse(text);
  if (const auto* json = std::get_if<base::Json>(&parsed))
    for (const auto& [key, value] : json->members()) values[key] = value.text();
  return values;
}
}  // namespace

std::vector<std::string> changed_keys(std::string_view before, std::string_view after) {
  const auto old_values = values_by_key(before);
  const auto new_values = values_by_key(after);
  std::vector<std::string> changed;
  for (const auto& [key, value] : old_values)
    if (const auto found = new_values.find(key); found == new_values.end() || found->second != value)
      changed.push_back(key);
  for (const auto& [key, value] : new_values)
    if (old_values.count(key) == 0) changed.push_back(key);
  std::sort(changed.begin(), changed.end());
  return changed;
}

struct SettingsReloader::Impl {
  std::string path;
  ApplySeeds apply_seeds;
  std::optional<FileStamp> stamp;  ///< of the file at the last attempt to read it
  std::string text;                ///< of the last valid settings

  void check(bool requested) {
    const auto current = stamp_of(path);
    if (!current || (!requested && current == stamp)) return;
    stamp = current;
    const auto new_text = text_of(path);
    if (!new_text || (*new_text == text && !requested)) return;
    const auto parsed = parse_settings(*new_text);
    if (const auto* errors = std::get_if<std::vector<base::ValidationError>>(&parsed)) {
      for (const auto& error : *errors)
        logger.error("{}: {} {}; keeping the previous settings.", path,
                     error.pointer.empty() ? "/" : error.pointer, error.message);
      return;
    }
    apply(std::get<Settings>(parsed), *new_text, requested);
  }

  void apply(const Settings& settings, const std::string& new_text, bool requested) {
    auto changed = changed_keys(text, new_text);
    text = new_text;
    const bool new_seeds = std::erase(changed, "seeds") > 0;
    if (!changed.empty())
      logger.warn("{}: changed keys that take effect at the next start: {}.", path, fmt::join(changed, ", "));
    if (!new_seeds) {
      if (requested) logger.info("{}: reloaded; the seeds are unchanged.", path);
      return;
    }
    logger.info("{}: seeds changed, now {} addresses.", path, settings.node.seeds.size());
    apply_seeds(settings.node.seeds);
  }
};

SettingsReloader::SettingsReloader(std::string path, ApplySeeds apply_seeds)
    : impl_(new Impl{std::move(path), std::move(apply_seeds), {}, {}}) {
  impl_->stamp = stamp_of(impl_->path);
  impl_->text = text_of(impl_->path).value_or("");
}
SettingsReloader::~SettingsReloader() = default;

void SettingsReloader::check(bool requested) { impl_->check(requested); }

}  // namespace dunlinwing::node
