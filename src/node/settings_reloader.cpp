// Settings with a defect change nothing; what was in force stays.
#include "node/settings_reloader.hpp"

#include <sys/stat.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <tuple>

#include "base/log.hpp"

namespace dunlinwing::node {
namespace {
constexpr base::Log logger("relay");

std::map<std::string, std::string> keys(std::string_view text) {
  std::map<std::string, std::string> out;
  auto p = base::Json::parse(text);
  if (auto* j = std::get_if<base::Json>(&p))
    for (auto& [k, v] : j->members()) out[k] = v.text();
  return out;
}
}  // namespace

std::vector<std::string> changed_keys(std::string_view before, std::string_view after) {
  auto a = keys(before), b = keys(after);
  std::vector<std::string> out;
  for (auto& [k, v] : a)
    if (auto f = b.find(k); f == b.end() || f->second != v) out.push_back(k);
  for (auto& [k, v] : b)
    if (!a.count(k)) out.push_back(k);
  std::sort(out.begin(), out.end());
  return out;
}

struct SettingsReloader::Impl {
  std::string path;
  std::function<void(std::vector<std::string>)> seeds;
  using Print = std::tuple<int64_t, int64_t, int64_t, uint64_t>;
  std::optional<Print> seen;
  std::string text;

  std::optional<Print> print() const {
    struct stat s;
    if (::stat(path.c_str(), &s) != 0) return {};
    return Print{s.st_mtim.tv_sec, s.st_mtim.tv_nsec, s.st_size, s.st_ino};
  }

  std::optional<std::string> read() const {
    std::ifstream f(path);
    std::stringstream b;
    b << f.rdbuf();
    if (!f) return {};
    return b.str();
  }

  void look(bool asked) {
    auto now = print();
    if (!now || (!asked && now == seen)) return;
    seen = now;
    auto t = read();
    if (!t || (*t == text && !asked)) return;
    auto g = parse_settings(*t);
    if (auto* ds = std::get_if<std::vector<base::ValidationError>>(&g)) {
      for (auto& d : *ds)
        logger.error("{}: {} {}; the settings read before stay.", path, d.pointer.empty() ? "/" : d.pointer,
                     d.message);
      return;
    }
    auto settings = std::get<Settings>(g);
    std::string rest;
    auto ks = changed_keys(text, *t);
    for (auto& k : ks)
      if (k != "seeds") rest += (rest.empty() ? "" : ", ") + k;
    text = *t;
    if (!rest.empty()) logger.warn("{}: changed, and taken over only at the next start: {}.", path, rest);
    if (std::find(ks.begin(), ks.end(), "seeds") == ks.end()) {
      if (asked) logger.info("{}: read again; the seeds are as they were.", path);
      return;
    }
    logger.info("{}: there are new seeds, {} of them.", path, settings.node.seeds.size());
    seeds(settings.node.seeds);
  }
};

SettingsReloader::SettingsReloader(std::string path, std::function<void(std::vector<std::string>)> seeds)
    : impl_(new Impl{std::move(path), std::move(seeds), {}, {}}) {
  impl_->seen = impl_->print();
  impl_->text = impl_->read().value_or("");
}
SettingsReloader::~SettingsReloader() = default;

void SettingsReloader::check(bool asked) { impl_->look(asked); }

}  // namespace dunlinwing::node
