/// @file
/// Ports for tests of the request path on one fiber: time advances only by sleep(), and nothing blocks.
#pragma once
#include "base/ports.hpp"
#include "support/expect.hpp"

namespace dunlinwing::test {

class ManualClock final : public base::Clock {
 public:
  TimePoint now() override { return now_; }
  int64_t wall_ms() override { return now_.count(); }
  void sleep(Duration duration) override { now_ += duration; }

 private:
  TimePoint now_{1000};
};

class CountingRandom final : public base::Random {
 public:
  uint64_t draw() override { return ++drawn_; }

 private:
  uint64_t drawn_ = 0;
};

class NoTasks final : public base::Tasks {
 public:
  void spawn(std::function<void()> /*task*/) override { throw Failed("a task was spawned"); }
  std::shared_ptr<base::Condition> condition() override { throw Failed("a request had to wait"); }
};

class NoPeers final : public base::PeerTransport {
 public:
  std::variant<pb::PeerResponse, base::PeerError> call(const std::string& /*address*/,
                                                       const pb::PeerRequest& /*request*/,
                                                       const base::CallRules& /*rules*/) override {
    return base::PeerError::unreachable;
  }
};

}  // namespace dunlinwing::test
