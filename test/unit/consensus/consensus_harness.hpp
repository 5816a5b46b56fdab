// A scripted environment for the production consensus classes.
//
// Every node runs the production Acceptor, RegisterClient and StateCache on a simulated clock. The
// test controls the network: each request is a message that is held until the test delivers,
// refuses or drops it, unless a rule decides as soon as it is sent. Disks outlive their processes
// and can be lost. A run is determined by the script and its seed.
#pragma once
#include <optional>

#include "consensus/register_updater.hpp"
#include "membership/state_cache.hpp"
#include "simulation/ports.hpp"
#include "support/expect.hpp"

namespace dunlinwing::test {

inline constexpr Duration kStalenessBound{2000};
inline constexpr Duration kRoundLimit = kStalenessBound / 4;  // as in production

enum class MessageKind : uint8_t { any, prepare, accept, read, snapshot, adopt, pull };

// A request in transit, and the state in which its sender waits for the reply.
struct PendingReply;
struct Message {
  std::string from, to;
  MessageKind kind = MessageKind::any;
  pb::PeerRequest request;
  std::shared_ptr<PendingReply> pending_reply;
};

// Matches messages; an empty field matches every message.
struct MessageFilter {
  std::string from, to;
  MessageKind kind = MessageKind::any;
  bool matches(const Message& message) const;
};

enum class Fate : uint8_t {
  hold,     // until the test decides what happens
  deliver,  // the request and then its reply
  refuse,   // the sender gets an error at once: the target is unreachable
  drop,     // the sender gets no response and times out
};

// How a message that has just been sent is delivered.
struct Delivery {
  Fate fate = Fate::hold;
  Duration request_delay{1}, reply_delay{0};
  bool reply_lost = false;
};

// The result of a call that a node makes in a fiber of its process.
template <class Result>
struct Operation {
  std::optional<Result> result;
};

struct HarnessProcess;

class ConsensusHarness {
 public:
  explicit ConsensusHarness(uint64_t seed);
  ~ConsensusHarness();
  // Runs the script in a fiber, then ends all processes; rethrows an exception of the script.
  void run(std::function<void()> script);

  // Defines the replica set of epoch 1, which every node has from its settings.
  void first_set(const std::vector<std::string>& names);
  // Adds a member of the first set with a voting disk and no registers.
  void add_voting_replica(const std::string& name);
  // Adds a node with an empty disk.
  void add_empty_replica(const std::string& name);
  // Adds a node without a disk.
  void add_client(const std::string& name);

  consensus::RegisterClient& client(const std::string& name);
  consensus::RegisterUpdater& updater(const std::string& name);
  consensus::Acceptor& acceptor(const std::string& name);
  membership::StateCache& cache(const std::string& name);
  consensus::ReplicaSetView& replica_set(const std::string& name);
  bool running(const std::string& name) const;

  void crash(const std::string& name);
  void restart(const std::string& name);    // crashes it first if it is running
  void lose_disk(const std::string& name);  // crashes it and restarts it with an empty disk
  // Timers of the node's conditions fire only after `wake`, as on a host that was suspended and
  // then handles received messages before its timers.
  void stall(const std::string& name);
  void wake(const std::string& name);

  // Applies the fate to all matching messages from now on, including held ones. Later rules win.
  void rule(const MessageFilter& filter, Fate fate);
  // Called for messages that no rule matches.
  void default_delivery(std::function<Delivery(const Message&)> decide) { decide_ = std::move(decide); }
  // Waits for a matching message, delivers the oldest held one, and waits until its sender has
  // received the reply.
  void deliver(const MessageFilter& filter);
  void await_sent(const MessageFilter& filter);
  // How many responses with the value of a register the node has received from others.
  size_t values_received(const std::string& name) const { return nodes_.at(name).values_received; }
  bool held(const MessageFilter& filter) const;

  void sleep(Duration span);
  void wait_until(const std::function<bool()>& condition, const std::string& what);
  template <class Result>
  std::shared_ptr<Operation<Result>> start(const std::string& name, std::function<Result()> call) {
    auto operation = std::make_shared<Operation<Result>>();
    spawn(name, [operation, call = std::move(call)] { operation->result = call(); });
    return operation;
  }
  template <class Result>
  Result result(const std::shared_ptr<Operation<Result>>& operation, const std::string& what) {
    wait_until([&] { return operation->result.has_value(); }, what);
    return *operation->result;
  }
  void spawn(const std::string& name, std::function<void()> task);
  simulation::World& world() { return world_; }

 private:
  friend class HarnessNet;
  friend class HarnessCondition;
  struct Node {
    bool replica = false;
    bool stalled = false;
    size_t values_received = 0;
    simulation::DiskContents contents;
    std::unique_ptr<HarnessProcess> process;
  };
  void start_process(const std::string& name);
  void send(const Message& message);
  void transmit(const Message& message, const Delivery& delivery);
  void arrive(const Message& message, const Delivery& delivery);
  void reply(const Message& message, std::optional<pb::PeerResponse> answer);
  std::optional<Message> take_held(const MessageFilter& filter);
  bool wait(const std::string& name, const simulation::ProcessRunPtr& process_run, Duration span,
            simulation::Wait& wait);

  simulation::World world_;
  simulation::ProcessRunPtr script_ = std::make_shared<simulation::ProcessRun>();
  int64_t wall_offset_ = 0;
  pb::ReplicaSet first_set_;
  std::map<std::string, Node> nodes_;
  std::vector<std::unique_ptr<HarnessProcess>> ended_;  // their fibers may still have to unwind
  std::vector<Message> held_;
  std::vector<std::pair<MessageFilter, Fate>> rules_;
  std::function<Delivery(const Message&)> decide_;
};

consensus::Replica replica_named(const std::string& name);

}  // namespace dunlinwing::test
