#include "hostile/crowd.hpp"

#include "net/system_clock.hpp"

namespace dunlinwing::test {
namespace {
using namespace std::chrono_literals;
constexpr Duration kConnectTime{5000};
constexpr Duration kPause{20};  // between two connections of a client, and between two looks at the crowd
}  // namespace

Crowd::Crowd(net::EventLoopPool& pool, std::string address) : pool_(pool), state_(std::make_shared<State>()) {
  state_->address = std::move(address);
}

void Crowd::run_client(const std::shared_ptr<State>& state, int number) {
  net::SystemClock clock;
  for (bool first = true; !state->dismissed; first = false) {
    const auto connection =
        net::Connection::connect(state->address, std::chrono::steady_clock::now() + kConnectTime);
    if (connection && !state->dismissed) {
      state->connections[static_cast<size_t>(number)] = connection;
      state->script(*connection, number);
    }
    if (connection) connection->reset();
    state->finished_once += first;
    clock.sleep(kPause);
  }
  --state->running;
}

void Crowd::start(int count, Duration limit, ClientScript script) {
  state_->script = std::move(script);
  state_->connections.resize(static_cast<size_t>(count));
  state_->running = count;
  for (int number = 0; number < count; ++number)
    pool_.spawn([state = state_, number] { run_client(state, number); });
  net::SystemClock clock;
  for (const auto end = clock.now() + limit; clock.now() < end && state_->finished_once < count;)
    clock.sleep(kPause);
}

void Crowd::dismiss() {
  state_->dismissed = true;
  net::SystemClock clock;
  while (state_->running > 0) {
    for (const auto& weak : state_->connections)
      if (const auto connection = weak.lock()) connection->interrupt();
    clock.sleep(kPause);
  }
}

void read_to_end(net::Connection& connection) {
  while (!connection.read_more()) connection.consume(connection.buffered().size());
}

bool send_slowly(net::Connection& connection, std::string_view text, Duration pause) {
  net::SystemClock clock;
  for (size_t at = 0; at < text.size(); ++at) {
    if (connection.write(text.substr(at, 1))) return false;
    connection.start_read();
    clock.sleep(pause);
    if (connection.has_ended() || connection.is_interrupted()) return false;
  }
  return true;
}

}  // namespace dunlinwing::test
