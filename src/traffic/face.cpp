// The product's own face. Every header of ours begins with Dunlinwing-, and none
// that a caller or worker sends under such a name is passed on.
#include "traffic/face.hpp"

#include <fmt/format.h>

#include <charconv>

#include "base/json.hpp"

namespace dunlinwing::traffic {

void strip_hop(std::vector<std::pair<std::string, std::string>>& hs) {
  static const char* const hop[] = {"Connection",
                                    "Keep-Alive",
                                    "Proxy-Connection",
                                    "Proxy-Authenticate",
                                    "TE",
                                    "Transfer-Encoding",
                                    "Trailer",
                                    "Upgrade",
                                    "Expect",
                                    "Content-Length",
                                    "Proxy-Authorization"};
  std::vector<std::string> named;
  for (auto& [k, v] : hs)
    if (base::same_word(k, "Connection"))
      for (auto& w : base::words(v, ',')) named.push_back(w);
  std::erase_if(hs, [&](auto& h) {
    for (auto* n : hop)
      if (base::same_word(h.first, n)) return true;
    for (auto& n : named)
      if (base::same_word(h.first, n)) return true;
    return false;
  });
}

namespace {
bool ours(const std::string& name) {
  return name.size() > 11 && base::same_word(std::string_view(name).substr(0, 11), "Dunlinwing-");
}

void strip(std::vector<std::pair<std::string, std::string>>& hs) {
  strip_hop(hs);
  std::erase_if(hs, [](auto& h) { return ours(h.first); });
}

class Own final : public Face {
 public:
  Asked read(const base::Request&, base::Random& c) const override { return {base::token(c), {}}; }

  void dress(base::Request& q, const Dress& d) const override {
    strip(q.headers);
    q.headers.emplace_back("Via", "1.1 dunlinwing");
    q.headers.emplace_back("Dunlinwing-Request", q.id);
    q.headers.emplace_back("Dunlinwing-Service", d.worker.service);
    q.headers.emplace_back("Dunlinwing-Version", d.worker.version);
    q.headers.emplace_back("Dunlinwing-Instance", d.worker.instance);
    q.headers.emplace_back("Dunlinwing-Relay", d.relay);
    q.headers.emplace_back("Dunlinwing-Generation", std::to_string(d.generation));
  }

  bool mine(const base::Response& r, const std::string& id) const override {
    return base::header(r.headers, "Dunlinwing-Request") == id;
  }

  bool nameless(const base::Response& r) const override {
    return base::header(r.headers, "Dunlinwing-Request").empty();
  }

  // Whether what came back is the named worker's own whole answer to this request.
  Look look(const base::Response& r, const Worker& w, const base::Request& q) const override {
    auto is = [&](const char* h, const std::string& v) { return base::header(r.headers, h) == v; };
    bool this_one = mine(r, q.id) && !base::header(r.headers, "Dunlinwing-Instance").empty();
    if (r.status == 421)
      return this_one && is("Dunlinwing-Outcome", "not-run") ? Look::elsewhere : Look::broken;
    if (!is("Dunlinwing-Service", w.service) || !is("Dunlinwing-Version", w.version) ||
        !is("Dunlinwing-Instance", w.instance) || !mine(r, q.id))
      return Look::broken;
    if (r.status == 503 && is("Dunlinwing-Outcome", "not-run")) return Look::not_run;
    auto d = base::header(r.headers, "Content-Digest");
    if (auto i = d.find("sha-256=:"); i != d.npos && q.method != "HEAD") {
      auto e = d.find(':', i + 9);
      if (e == d.npos || d.substr(i + 9, e - i - 9) != base::sha256_base64(r.body)) return Look::broken;
    }
    return r.status >= 500 ? Look::answered_badly : Look::good;
  }

  std::optional<Load> load(const base::Response& r) const override {
    auto h = base::header(r.headers, "Dunlinwing-Load");
    int n = 0;
    if (std::from_chars(h.data(), h.data() + h.size(), n).ec != std::errc()) return {};
    return Load{n, 0, 0};
  }

  std::vector<std::string> tags(const base::Response&) const override { return {}; }

  base::Response say(int status, const std::string& why, Outcome o,
                     std::optional<Duration> back) const override {
    base::Response r{status, {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}}, {}};
    if (o != Outcome::none)
      r.headers.emplace_back("Dunlinwing-Outcome", o == Outcome::not_run ? "not-run" : "unknown");
    if (back)
      r.headers.emplace_back("Retry-After",
                             std::to_string(std::max<int64_t>(1, (back->count() + 999) / 1000)));
    r.body = fmt::format("{{\"defect\":{}}}\n", base::quote(why));
    return r;
  }

  void clean(base::Response& r) const override {
    strip(r.headers);
    r.headers.emplace_back("Via", "1.1 dunlinwing");
  }

  void send(base::Response& r, const std::string&, uint64_t generation) const override {
    if (generation) r.headers.emplace_back("Dunlinwing-Generation", std::to_string(generation));
  }
};
}  // namespace

bool is_unasked_part(const base::Request& q, const base::Response& r) {
  auto asked = [&](const char* name) { return !base::header(q.headers, name).empty(); };
  if (r.status == 206) return !asked("Range");
  if (r.status == 304) return !asked("If-None-Match") && !asked("If-Modified-Since");
  return false;
}

std::unique_ptr<Face> own_face() { return std::make_unique<Own>(); }

}  // namespace dunlinwing::traffic
