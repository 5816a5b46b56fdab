// The words that are spoken to callers and to workers: how a request names itself
// and its time, what a shot carries, what a worker's answer says, and how a caller
// is told that nothing ran or that nobody knows. One implementation is chosen at
// start; it only translates, and keeps nothing.
#pragma once
#include "base/ports.hpp"
#include "traffic/table.hpp"

namespace dunlinwing::traffic {

// What a worker's answer is. `elsewhere`: another than the one meant stands there;
// it did not run the request. `broken`: not the meant worker's whole answer.
enum class Look { good, answered_badly, not_run, elsewhere, broken };

// How far a request got that ends with an answer of our own.
enum class Outcome { none, not_run, unknown };

struct Asked {
  std::string id;                // by which worker and caller know the request
  std::optional<Duration> left;  // that the caller will wait, when it says so
};

struct Load {
  int running = 0, waiting = 0, slots = 0;  // slots: 0 when not told
};

struct Dress {
  const Worker& worker;
  std::string relay;
  uint64_t generation = 0;
  Duration left{0};
};

class Face {
 public:
  virtual ~Face() = default;
  virtual Asked read(const base::Request& q, base::Random& c) const = 0;
  virtual void dress(base::Request& q, const Dress& d) const = 0;
  virtual Look look(const base::Response& r, const Worker& w, const base::Request& q) const = 0;
  virtual bool mine(const base::Response& r,
                    const std::string& id) const = 0;        // whether it answers this request
  virtual bool nameless(const base::Response& r) const = 0;  // whether it names no request at all
  virtual std::optional<Load> load(const base::Response& r) const = 0;
  virtual std::vector<std::string> tags(
      const base::Response& r) const = 0;           // under which a receipt may be purged
  virtual void clean(base::Response& r) const = 0;  // takes out what a worker said to us alone
  // An answer of our own. `back`: when it makes sense to come back, if it does.
  virtual base::Response say(int status, const std::string& why, Outcome o,
                             std::optional<Duration> back) const = 0;
  // Last touches on whatever goes to the caller who asked under `id`. Generation 0: none decided it.
  virtual void send(base::Response& r, const std::string& id, uint64_t generation) const = 0;
};

// The product's own words: headers that begin with Dunlinwing-.
std::unique_ptr<Face> own_face();

// A part of a representation (206) or a bare confirmation (304) in answer to a request that
// asked for neither: it does not stand for the whole.
bool is_unasked_part(const base::Request& q, const base::Response& r);

// Headers that belong to one connection only, taken out.
void strip_hop(std::vector<std::pair<std::string, std::string>>& hs);

}  // namespace dunlinwing::traffic
