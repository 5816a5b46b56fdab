// Connections to workers: how many each address holds, which are idle, and who
// waits for one. A connection stays on the thread that made it.
#pragma once
#include <deque>
#include <mutex>

#include "wire/line.hpp"

namespace dunlinwing::wire {

constexpr size_t kAnswerRoom = 8 << 10;  // most answers fit in one read

class Kept : public std::enable_shared_from_this<Kept> {
 public:
  using At = std::chrono::steady_clock::time_point;

  // A connection out of the pool. Destroyed without `keep`, it is closed.
  class Loan {
   public:
    Loan(std::shared_ptr<Kept> k, std::string addr) : k_(std::move(k)), addr_(std::move(addr)) {}
    Loan(const Loan&) = delete;
    ~Loan();
    // Gives it back to the pool. `stated`: the other side's Keep-Alive time, if it stated one.
    // With `only_safe` it no longer carries what must not run twice.
    void keep(std::optional<Duration> stated, bool only_safe = false);
    void abandon();  // resets it: what was not delivered yet never will be
    std::shared_ptr<Line> line;
    bool used = false;  // it has carried an answer before

   private:
    std::shared_ptr<Kept> k_;
    std::string addr_;
  };

  explicit Kept(size_t most) : most_(most) {}
  // Null when neither an idle connection fits nor a new one stands in time.
  std::unique_ptr<Loan> lend(const std::string& addr, bool safe, int most, At end);
  void clear();
  int idle() const;
  int held(const std::string& addr) const;

 private:
  struct One {
    std::shared_ptr<Line> line;
    boost::asio::io_context* io;
    At since, sure, until;  // for requests that must not run twice until `sure`, for others until `until`
  };
  struct Host {
    std::vector<One> idle;  // the latest used last
    int held = 0;
    std::deque<std::shared_ptr<base::Condition>> waiting;
  };
  using Hosts = std::map<std::string, Host>;

  std::shared_ptr<Line> take(Host& h, bool safe);
  void drop(Host& h, size_t i);
  void left(Host& h);
  void prune(At now);
  void lost(const std::string& addr, Line* l);
  void back(const std::string& addr, std::shared_ptr<Line> l, std::optional<Duration> stated, bool only_safe);
  void gone(const std::string& addr);

  size_t most_, idle_ = 0;
  At pruned_{};
  mutable std::mutex m_;
  Hosts hosts_;
};

}  // namespace dunlinwing::wire
