// Votes on one register: two different values are never both chosen, in any order of messages.
#include "consensus/vote.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {

constexpr size_t kReplicas = 5;
constexpr size_t kMajority = 3;
constexpr size_t kProposers = 3;
constexpr int kSteps = 200;
constexpr int kDrawsPerStep = 1000;
constexpr int kLastDrawOfVotes = 970;  // above it, a proposer abandons its proposal and starts a new one

pb::Ballot ballot(uint64_t round, const std::string& node) {
  pb::Ballot result;
  result.set_round(round);
  result.set_node(node);
  return result;
}

// One proposal of a proposer: a ballot and its progress.
struct Proposal {
  pb::Ballot ballot;
  size_t promises = 0, accepts = 0;
  pb::RegisterState highest;  // the highest accepted state among the promises
  bool accepting = false;     // a majority has promised, and the value is fixed
  pb::Value value;
  std::vector<bool> prepare_sent = std::vector<bool>(kReplicas), accept_sent = std::vector<bool>(kReplicas);
};

// Proposers that compete for version 1 of one register; the test decides when each message arrives.
class Race {
 public:
  Race() {
    for (size_t i = 0; i < kProposers; ++i) start_again(i);
  }

  void step(int draw) {
    const auto proposer = static_cast<size_t>(draw) % kProposers;
    const auto replica = static_cast<size_t>(draw) / kProposers % kReplicas;
    auto& proposal = proposals_[proposer];
    if (draw > kLastDrawOfVotes)
      start_again(proposer);
    else if (!proposal.accepting && !proposal.prepare_sent[replica])
      send_prepare(proposer, replica);
    else if (proposal.accepting && !proposal.accept_sent[replica])
      send_accept(proposal, replica);
  }

  // The values that a majority has accepted, by version.
  const std::map<uint64_t, std::set<std::string>>& chosen() const { return chosen_; }

 private:
  void start_again(size_t proposer) {
    proposals_[proposer] = Proposal();
    proposals_[proposer].ballot = ballot(++highest_round_, "p" + std::to_string(proposer));
  }

  void send_prepare(size_t proposer, size_t replica) {
    auto& proposal = proposals_[proposer];
    proposal.prepare_sent[replica] = true;
    pb::Prepare request;
    request.set_name("r");
    *request.mutable_ballot() = proposal.ballot;
    auto& state = replicas_[replica];
    const auto step = consensus::prepare(state, request);
    if (step.granted) {
      state = step.state;
      ++proposal.promises;
      if (consensus::is_lower(proposal.highest.accepted(), state.accepted())) proposal.highest = state;
    }
    if (proposal.promises >= kMajority) fix_value(proposal, proposer);
  }

  // A compare-and-set of version 0. If a promise contains a value, that value is proposed again.
  static void fix_value(Proposal& proposal, size_t proposer) {
    proposal.accepting = true;
    proposal.value = proposal.highest.value();
    if (proposal.value.version() != 0) return;
    proposal.value.set_version(1);
    proposal.value.set_data("by" + std::to_string(proposer) + "/" + std::to_string(proposal.ballot.round()));
  }

  void send_accept(Proposal& proposal, size_t replica) {
    proposal.accept_sent[replica] = true;
    pb::Accept request;
    request.set_name("r");
    *request.mutable_ballot() = proposal.ballot;
    *request.mutable_value() = proposal.value;
    const auto step = consensus::accept(replicas_[replica], request);
    if (!step.granted) return;
    replicas_[replica] = step.state;
    if (++proposal.accepts >= kMajority) chosen_[proposal.value.version()].insert(proposal.value.data());
  }

  std::vector<pb::RegisterState> replicas_ = std::vector<pb::RegisterState>(kReplicas);
  std::vector<Proposal> proposals_ = std::vector<Proposal>(kProposers);
  uint64_t highest_round_ = 0;
  std::map<uint64_t, std::set<std::string>> chosen_;
};

void racing_proposers() {
  Race race;
  const auto draws = *rc::gen::container<std::vector<int>>(kSteps, rc::gen::inRange(0, kDrawsPerStep));
  for (const int draw : draws) race.step(draw);
  for (const auto& [version, values] : race.chosen()) RC_ASSERT(values.size() == 1u);
}

void promise_binds() {
  const pb::RegisterState empty;
  pb::Prepare request;
  *request.mutable_ballot() = ballot(3, "a");
  const auto promised = consensus::prepare(empty, request);
  expect(promised.granted && consensus::is_equal(promised.state.promised(), request.ballot()),
         "the first promise was not granted");
  expect(!consensus::prepare(promised.state, request).granted, "the same ballot was promised twice");
  pb::Accept lower;
  *lower.mutable_ballot() = ballot(2, "z");
  expect(!consensus::accept(promised.state, lower).granted, "an accept below the promise was granted");
}

}  // namespace

std::vector<Case> register_cases() {
  return {
      property("register: at most one value is chosen for a version by competing proposers",
               racing_proposers),
      {"register: a ballot is not promised twice, and no accept below a promise is granted", promise_binds},
  };
}

}  // namespace dunlinwing::test
