// The ports through which the product meets time, random, tasks, the network
// and disks. The real ones are in wire and disk; the simulated ones are in
// sim, and run the very same callers on invented time.
#pragma once
#include "base/common.hpp"
#include "wire.pb.h"  // generated from proto/wire.proto

namespace dunlinwing::base {

class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint now() = 0;
  virtual int64_t wall_ms() = 0;
  virtual void sleep(Duration s) = 0;
};

class Random {
 public:
  virtual ~Random() = default;
  virtual uint64_t draw() = 0;
  uint64_t below(uint64_t n) { return n ? draw() % n : 0; }
};

// A place where one fiber waits until another wakes it or its time is up.
class Condition {
 public:
  virtual ~Condition() = default;
  virtual bool wait(Duration s) = 0;  // true when woken, false when time ran out
  virtual void notify() = 0;          // from any thread, any number of times
};

class Tasks {
 public:
  virtual ~Tasks() = default;
  virtual void spawn(std::function<void()> f) = 0;
  virtual std::shared_ptr<Condition> condition() = 0;
};

// Only `unreachable` says that nothing was sent.
enum class PeerError { unreachable, broken, timed_out, malformed };

class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  virtual std::variant<pb::PeerResponse, PeerError> call(const std::string& address,
                                                         const pb::PeerRequest& request, Duration limit) = 0;
};

enum class DiskError { failed };

struct LoadedSnapshot {
  pb::Snapshot snapshot;
  bool possibly_lost = false;  // something synced earlier can no longer be read
  // The image could not be written anew, so it may stand in caches only: nothing of it may
  // be told of until Disk::rewrite() succeeds.
  bool unwritten = false;
};

class Disk {
 public:
  virtual ~Disk() = default;
  virtual LoadedSnapshot load() = 0;
  // Returns once all records are synced. `whole` is called when a fresh image is due. After an
  // error each later save fails too, until a rewrite() succeeds.
  virtual std::optional<DiskError> save(const std::vector<pb::LogRecord>& records,
                                        const std::function<pb::Snapshot()>& whole) = 0;
  // The way back after an error: writes the whole image beside what is there, syncs it and reads
  // it back. Until it succeeds, what was synced before stays what is loaded; after an error
  // it may be called again.
  virtual std::optional<DiskError> rewrite(const pb::Snapshot& whole) = 0;
};

struct Request {
  std::string id, method, target, body;
  std::vector<std::pair<std::string, std::string>> headers;
};

struct Response {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

// How an attempt at a backend instance failed: nothing was sent; the instance itself
// said that it did not run it; or nobody can tell.
enum class AttemptError { unsent, not_run, unknown };

// What an attempt is bound by. `mine` tells an answer to this request from one that
// belongs to an earlier request on the same connection; null: every answer is.
// `nameless` tells an answer that is taken for this request's though it names none: it
// has no weight where another answer may still come. Null: every answer has a name.
struct AttemptRules {
  template <class R, class P>
  AttemptRules(std::chrono::duration<R, P> l) : timeout(l) {}  // a bare limit is a rule
  Duration timeout;                                            // in which the whole answer must be here
  Duration connect_timeout{0};  // in which a new connection must stand; 0: the limit
  int max_connections = 0;      // connections held to this address at once; 0: no bound
  bool idempotent = false;      // may ride a connection that the worker may be about to close
  std::function<bool(const Response&)> is_own_response, is_anonymous;
};

class Origin {
 public:
  virtual ~Origin() = default;
  virtual bool can_connect(const std::string& address,
                           Duration limit) = 0;  // whether a connection can be made; no byte is sent
  virtual std::variant<Response, AttemptError> send(const std::string& address, const Request& request,
                                                    const AttemptRules& r) = 0;
};

struct Ports {
  Clock& clock;
  Random& random;
  Tasks& tasks;
  PeerTransport& peers;
  Origin& origin;
};

std::string header(const std::vector<std::pair<std::string, std::string>>& headers, std::string_view name);
bool equals_ignore_case(std::string_view a, std::string_view b);    // ASCII case folded
std::vector<std::string> split_list(std::string_view s, char sep);  // trimmed, none empty
std::string sha256_base64(std::string_view body);
std::string random_token(Random& random);

}  // namespace dunlinwing::base
