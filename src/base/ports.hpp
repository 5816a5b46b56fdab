/// @file
/// The ports (interfaces) through which the product uses clocks, random numbers, tasks, the network and
/// disks. The real implementations are in the network and storage folders; the simulated ones run the same
/// code in simulated time.
///
/// Threads: the ports may be used from any fiber of the process. A function that waits suspends only its
/// fiber.
#pragma once
#include "base/http.hpp"
#include "base/text.hpp"
#include "wire.pb.h"  // generated from proto/wire.proto

namespace dunlinwing::link {
struct Link;
}

namespace dunlinwing::base {

class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint now() = 0;
  /// Milliseconds since 1970 by the machine's calendar clock, which may be wrong and may jump.
  virtual int64_t wall_ms() = 0;
  virtual void sleep(Duration duration) = 0;
};

class Random {
 public:
  virtual ~Random() = default;
  virtual uint64_t draw() = 0;
  /// A number in [0, bound); 0 when the bound is 0.
  uint64_t below(uint64_t bound) { return bound ? draw() % bound : 0; }
};

/// Lets one fiber wait until another notifies it or the wait times out.
class Condition {
 public:
  virtual ~Condition() = default;
  /// @return true when notified, false when the wait timed out
  virtual bool wait(Duration limit) = 0;
  /// May be called from any thread, any number of times; when no fiber waits, the next wait returns at once.
  virtual void notify() = 0;
};

class Tasks {
 public:
  virtual ~Tasks() = default;
  /// Runs the function in a new fiber.
  virtual void spawn(std::function<void()> task) = 0;
  virtual std::shared_ptr<Condition> condition() = 0;
};

/// How a call to another relay failed. Only `unreachable` guarantees that nothing was sent.
enum class PeerError { unreachable, broken, timed_out, malformed };

/// Limits of a call to another relay.
struct CallRules {
  /// Implicit: a duration alone is a valid rule.
  template <class Count, class Period>
  CallRules(std::chrono::duration<Count, Period> total_limit, CancellationPtr cancelled_by = nullptr)
      : timeout(total_limit), cancellation(std::move(cancelled_by)) {}

  Duration timeout;              ///< for receiving the complete reply
  CancellationPtr cancellation;  ///< ends the call like its timeout does; null: only the timeout ends it
};

/// Calls to other relays.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  /// @param address  IP:port
  virtual std::variant<pb::PeerResponse, PeerError> call(const std::string& address,
                                                         const pb::PeerRequest& request,
                                                         const CallRules& rules) = 0;
};

enum class DiskError { failed };

/// The state that is read from a disk when the process starts.
struct LoadedSnapshot {
  pb::Snapshot snapshot;
  bool possibly_lost = false;  ///< something synced earlier can no longer be read
  /// The snapshot could not be rewritten, so it may exist in the page cache only: none of it may be
  /// reported to other nodes until Disk::rewrite() succeeds.
  bool unwritten = false;
};

/// The replica's disk.
class Disk {
 public:
  virtual ~Disk() = default;
  virtual LoadedSnapshot load() = 0;
  /// Appends records and returns once all are synced. After an error every later save fails too, until a
  /// rewrite() succeeds.
  /// @param complete  returns the complete snapshot; called when a new one is due
  virtual std::optional<DiskError> save(const std::vector<pb::LogRecord>& records,
                                        const std::function<pb::Snapshot()>& complete) = 0;
  /// Recovers from an error: writes the complete snapshot beside the existing files, syncs it and reads
  /// it back. Until this succeeds, load() returns the state that was synced before; after an error it
  /// may be called again.
  virtual std::optional<DiskError> rewrite(const pb::Snapshot& complete) = 0;
};

/// How an attempt at a backend instance failed: nothing was sent; the instance itself
/// reported that it did not execute the request; or the outcome is unknown.
enum class AttemptError { not_sent, not_executed, unknown };

/// What happened on the connection during an attempt, for tracing.
struct AttemptTrace {
  bool connection_reused = false;  ///< an earlier request was answered on the connection
  size_t bytes_written = 0;        ///< of the request, accepted by the kernel
};

/// Limits and options of an attempt.
struct AttemptRules {
  /// Implicit: a duration alone is a valid rule.
  template <class Count, class Period>
  AttemptRules(std::chrono::duration<Count, Period> total_limit) : timeout(total_limit) {}

  Duration timeout;             ///< for receiving the complete response
  Duration connect_timeout{0};  ///< for establishing a new connection; 0: `timeout`
  int max_connections = 0;      ///< open at once to this address; 0: unlimited
  /// Called after the attempt had to wait for one of these connections, with whether it got one; may be null.
  std::function<void(bool granted)> on_connection_wait;
  CancellationPtr cancellation;  ///< ends the attempt like its timeout does; null: only the timeout ends it
  bool idempotent = false;       ///< may use a connection that the backend instance may be about to close
  std::string request_id;        ///< by which a response names this request; empty: no response does
  /// Recognizes the response that the request was not executed: after it, the request is not sent on the
  /// same connection again. Null: there is none.
  std::function<bool(const Response&)> is_decline;
  /// Distinguishes a response to this request from one to an earlier request on the same connection.
  /// Null: every response belongs to this request.
  std::function<bool(const Response&)> is_own_response;
  /// Recognizes a response that is assigned to this request though it names no request: it is not
  /// conclusive on a connection that has carried another request. Null: every response names its request.
  std::function<bool(const Response&)> lacks_request_id;
  AttemptTrace* trace = nullptr;  ///< set during the attempt; may be null
};

/// Requests to backend instances.
class Origin {
 public:
  virtual ~Origin() = default;
  /// Whether a connection can be made; no byte is sent.
  virtual bool can_connect(const std::string& address, Duration limit) = 0;
  virtual std::variant<Response, AttemptError> send(const std::string& address, const Request& request,
                                                    const AttemptRules& rules) = 0;
};

/// The ports of one process. They outlive all their users.
struct Ports {
  Clock& clock;
  Random& random;
  Tasks& tasks;
  PeerTransport& peers;
  Origin& origin;
  link::Link* link = nullptr;  ///< of the machine; null: its rate is unknown and traffic is not paced
  MemoryAccount& memory = MemoryAccount::unlimited();  ///< of what requests and responses take
};

/// Suspends the calling fiber for the duration, or until the request that it handles is cancelled.
void sleep(Ports& ports, Duration duration, const CancellationPtr& cancellation);

/// 128 random bits as 32 hexadecimal digits.
std::string random_token(Random& random);

}  // namespace dunlinwing::base
