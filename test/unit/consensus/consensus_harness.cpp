// Processes, messages and time of the scripted environment. An ended process is kept until the
// harness is destroyed, since its fibers unwind only when they are next resumed.
#include "unit/consensus/consensus_harness.hpp"

#include <algorithm>

namespace dunlinwing::test {
namespace {

constexpr Duration kLongestScript{600'000};
constexpr Duration kLongestWait{30'000};
constexpr size_t kLogBytes = 16384;

class NoOrigin final : public base::Origin {
 public:
  bool can_connect(const std::string&, Duration) override { return false; }
  std::variant<base::Response, base::AttemptError> send(const std::string&, const base::Request&,
                                                        const base::AttemptRules&) override {
    return base::AttemptError::not_sent;
  }
};

MessageKind kind_of(const pb::PeerRequest& request) {
  if (request.has_prepare()) return MessageKind::prepare;
  if (request.has_accept()) return MessageKind::accept;
  if (request.has_read_register()) return MessageKind::read;
  if (request.has_snapshot()) return MessageKind::snapshot;
  if (request.has_adopt()) return MessageKind::adopt;
  return MessageKind::pull;
}

}  // namespace

struct PendingReply {
  std::optional<pb::PeerResponse> reply;
  bool refused = false;
  simulation::Wait wait;
  bool over() const { return reply || refused; }
};

bool MessageFilter::matches(const Message& message) const {
  return (from.empty() || from == message.from) && (to.empty() || to == message.to) &&
         (kind == MessageKind::any || kind == message.kind);
}

consensus::Replica replica_named(const std::string& name) { return {name, name}; }

class HarnessCondition final : public base::Condition {
 public:
  HarnessCondition(ConsensusHarness& harness, std::string name, simulation::ProcessRunPtr process_run)
      : harness_(harness), name_(std::move(name)), process_run_(std::move(process_run)) {}
  bool wait(Duration span) override { return harness_.wait(name_, process_run_, span, wait_); }
  void notify() override { harness_.world().notify(wait_); }

 private:
  ConsensusHarness& harness_;
  std::string name_;
  simulation::ProcessRunPtr process_run_;
  simulation::Wait wait_;
};

class HarnessTasks final : public base::Tasks {
 public:
  HarnessTasks(ConsensusHarness& harness, std::string name, simulation::ProcessRunPtr process_run)
      : harness_(harness), name_(std::move(name)), process_run_(std::move(process_run)) {}
  void spawn(std::function<void()> task) override { harness_.world().spawn(process_run_, std::move(task)); }
  std::shared_ptr<base::Condition> condition() override {
    return std::make_shared<HarnessCondition>(harness_, name_, process_run_);
  }

 private:
  ConsensusHarness& harness_;
  std::string name_;
  simulation::ProcessRunPtr process_run_;
};

class HarnessNet final : public base::PeerTransport {
 public:
  HarnessNet(ConsensusHarness& harness, std::string name, simulation::ProcessRunPtr process_run)
      : harness_(harness), name_(std::move(name)), process_run_(std::move(process_run)) {}
  std::variant<pb::PeerResponse, base::PeerError> call(const std::string& address,
                                                       const pb::PeerRequest& request,
                                                       const base::CallRules& rules) override {
    auto pending_reply = std::make_shared<PendingReply>();
    harness_.send({name_, address, kind_of(request), request, pending_reply});
    TimePoint end = harness_.world().now() + rules.timeout;
    while (!pending_reply->over()) {
      auto now = harness_.world().now();
      if (now >= end) return base::PeerError::timed_out;
      harness_.wait(name_, process_run_, end - now, pending_reply->wait);
    }
    if (pending_reply->reply) return *pending_reply->reply;
    return base::PeerError::unreachable;
  }

 private:
  ConsensusHarness& harness_;
  std::string name_;
  simulation::ProcessRunPtr process_run_;
};

// One run of a node's process.
struct HarnessProcess {
  simulation::ProcessRunPtr process_run;
  simulation::Clock clock;
  simulation::Random random;
  HarnessTasks tasks;
  HarnessNet net;
  NoOrigin origin;
  base::Ports ports{clock, random, tasks, net, origin};
  simulation::Disk disk;
  consensus::ReplicaSetView set;
  std::unique_ptr<consensus::Acceptor> acceptor;
  std::unique_ptr<consensus::RegisterClient> client;
  std::unique_ptr<consensus::RegisterUpdater> updater;
  std::unique_ptr<membership::StateCache> cache;

  HarnessProcess(ConsensusHarness& harness, const std::string& name, simulation::DiskContents& contents,
                 bool replica, const pb::ReplicaSet& first_set, int64_t* wall)
      : process_run(std::make_shared<simulation::ProcessRun>()),
        clock(harness.world(), process_run, wall),
        random(harness.world()),
        tasks(harness, name, process_run),
        net(harness, name, process_run),
        disk(harness.world(), process_run, contents),
        set({}) {
    process_run->host = name;
    set.adopt(first_set);
    if (replica) acceptor = std::make_unique<consensus::Acceptor>(ports, disk, name, set, kRoundLimit);
    consensus::LocalReplica local;
    if (replica) local = [this](const pb::PeerRequest& request) { return acceptor->handle(request); };
    client = std::make_unique<consensus::RegisterClient>(ports, name, set, kRoundLimit, local);
    updater = std::make_unique<consensus::RegisterUpdater>(ports, *client);
    membership::StateCacheConfig config{name, kStalenessBound};
    cache = std::make_unique<membership::StateCache>(
        ports, config, *client, acceptor.get(), [](pb::NodeStatus&) {}, [] {});
    if (acceptor) acceptor->start({});
  }

  pb::PeerResponse answer(const pb::PeerRequest& request) {
    return request.has_pull() ? cache->handle_pull(request) : acceptor->handle(request);
  }
};

ConsensusHarness::ConsensusHarness(uint64_t seed) : world_(seed) {
  decide_ = [](const Message&) { return Delivery{}; };
}
ConsensusHarness::~ConsensusHarness() = default;

void ConsensusHarness::run(std::function<void()> script) {
  std::exception_ptr failure;
  auto guarded = [&] {
    try {
      script();
    } catch (const std::exception&) {
      failure = std::current_exception();
    }
    decide_ = [](const Message&) { return Delivery{Fate::drop}; };
    for (auto& [name, node] : nodes_) crash(name);
  };
  world_.run(world_.now() + kLongestScript, nullptr, [&] { world_.spawn(script_, guarded); });
  if (failure) std::rethrow_exception(failure);
}

void ConsensusHarness::first_set(const std::vector<std::string>& names) {
  first_set_.set_epoch(1);
  for (auto& name : names) {
    auto* entry = first_set_.add_replicas();
    entry->set_name(name);
    entry->set_address(name);
  }
}

void ConsensusHarness::add_voting_replica(const std::string& name) {
  auto& contents = nodes_[name].contents;
  pb::Snapshot image;
  image.set_stage(pb::REPLICA_VOTING);
  *image.mutable_replica_set() = first_set_;
  pb::LogRecord stage, set;
  stage.set_stage(pb::REPLICA_VOTING);
  *set.mutable_replica_set() = first_set_;
  storage::SnapshotStore store(std::make_unique<simulation::MemoryFiles>(contents), kLogBytes);
  store.load();
  store.save({stage, set}, [&] { return image; });
  add_empty_replica(name);
}

void ConsensusHarness::add_empty_replica(const std::string& name) {
  auto& node = nodes_[name];
  node.replica = true;
  node.contents.min_latency = node.contents.max_latency = Duration(1);
  start_process(name);
}

void ConsensusHarness::add_client(const std::string& name) {
  nodes_[name].replica = false;
  start_process(name);
}

void ConsensusHarness::start_process(const std::string& name) {
  auto& node = nodes_[name];
  node.process =
      std::make_unique<HarnessProcess>(*this, name, node.contents, node.replica, first_set_, &wall_offset_);
}

consensus::RegisterClient& ConsensusHarness::client(const std::string& name) {
  return *nodes_.at(name).process->client;
}
consensus::RegisterUpdater& ConsensusHarness::updater(const std::string& name) {
  return *nodes_.at(name).process->updater;
}
consensus::Acceptor& ConsensusHarness::acceptor(const std::string& name) {
  return *nodes_.at(name).process->acceptor;
}
membership::StateCache& ConsensusHarness::cache(const std::string& name) {
  return *nodes_.at(name).process->cache;
}
consensus::ReplicaSetView& ConsensusHarness::replica_set(const std::string& name) {
  return nodes_.at(name).process->set;
}
bool ConsensusHarness::running(const std::string& name) const { return nodes_.at(name).process != nullptr; }

void ConsensusHarness::crash(const std::string& name) {
  auto& node = nodes_.at(name);
  if (!node.process) return;
  world_.kill(node.process->process_run);
  ended_.push_back(std::move(node.process));
}

void ConsensusHarness::restart(const std::string& name) {
  crash(name);
  sleep(Duration(1));  // its fibers unwind; a write in progress may or may not reach the disk
  start_process(name);
}

void ConsensusHarness::lose_disk(const std::string& name) {
  crash(name);
  sleep(Duration(1));
  nodes_.at(name).contents.files.clear();
  start_process(name);
}

void ConsensusHarness::stall(const std::string& name) { nodes_.at(name).stalled = true; }
void ConsensusHarness::wake(const std::string& name) { nodes_.at(name).stalled = false; }

bool ConsensusHarness::wait(const std::string& name, const simulation::ProcessRunPtr& process_run,
                            Duration span, simulation::Wait& wait) {
  if (world_.wait(process_run, span, wait)) return true;
  while (nodes_.at(name).stalled)
    if (world_.wait(process_run, Duration(1), wait)) return true;
  return false;
}

void ConsensusHarness::send(const Message& message) {
  auto rule = std::find_if(rules_.rbegin(), rules_.rend(),
                           [&](const auto& entry) { return entry.first.matches(message); });
  transmit(message, rule == rules_.rend() ? decide_(message) : Delivery{rule->second});
}

void ConsensusHarness::transmit(const Message& message, const Delivery& delivery) {
  switch (delivery.fate) {
    case Fate::hold:
      held_.push_back(message);
      return;
    case Fate::drop:
      return;
    case Fate::refuse:
      return reply(message, {});
    case Fate::deliver:
      return world_.after(delivery.request_delay, [this, message, delivery] { arrive(message, delivery); });
  }
}

void ConsensusHarness::arrive(const Message& message, const Delivery& delivery) {
  auto target = nodes_.find(message.to);
  if (target == nodes_.end() || !target->second.process || !target->second.replica) return reply(message, {});
  auto* process = target->second.process.get();
  world_.spawn(process->process_run, [this, process, message, delivery] {
    auto answer = process->answer(message.request);
    if (delivery.reply_lost) return;
    world_.after(delivery.reply_delay, [this, message, answer] { reply(message, answer); });
  });
}

void ConsensusHarness::reply(const Message& message, std::optional<pb::PeerResponse> answer) {
  if (answer && answer->vote().register_state().has_value()) ++nodes_.at(message.from).values_received;
  auto& pending_reply = *message.pending_reply;
  if (pending_reply.over()) return;
  pending_reply.reply = std::move(answer);
  pending_reply.refused = !pending_reply.reply;
  world_.notify(pending_reply.wait);
}

std::optional<Message> ConsensusHarness::take_held(const MessageFilter& filter) {
  auto found = std::find_if(held_.begin(), held_.end(),
                            [&](const Message& message) { return filter.matches(message); });
  if (found == held_.end()) return {};
  Message message = *found;
  held_.erase(found);
  return message;
}

void ConsensusHarness::rule(const MessageFilter& filter, Fate fate) {
  rules_.emplace_back(filter, fate);
  if (fate == Fate::hold) return;
  while (auto message = take_held(filter)) transmit(*message, {fate});
}

bool ConsensusHarness::held(const MessageFilter& filter) const {
  return std::any_of(held_.begin(), held_.end(),
                     [&](const Message& message) { return filter.matches(message); });
}

void ConsensusHarness::await_sent(const MessageFilter& filter) {
  wait_until([&] { return held(filter); }, "a message from " + filter.from + " to " + filter.to);
}

void ConsensusHarness::deliver(const MessageFilter& filter) {
  await_sent(filter);
  auto message = take_held(filter);
  transmit(*message, {Fate::deliver});
  wait_until([&] { return message->pending_reply->over(); }, "the reply of " + filter.to);
  sleep(Duration(1));
}

void ConsensusHarness::sleep(Duration span) {
  simulation::Wait wait;
  world_.wait(script_, span, wait);
}

void ConsensusHarness::wait_until(const std::function<bool()>& condition, const std::string& what) {
  TimePoint end = world_.now() + kLongestWait;
  while (!condition()) {
    expect(world_.now() < end, "timed out waiting for " + what);
    sleep(Duration(1));
  }
}

void ConsensusHarness::spawn(const std::string& name, std::function<void()> task) {
  world_.spawn(nodes_.at(name).process->process_run, std::move(task));
}

}  // namespace dunlinwing::test
