#include "hostile/scripts.hpp"

#include <fmt/format.h>

#include "hostile/crowd.hpp"
#include "net/system_clock.hpp"

namespace dunlinwing::test {
namespace {
using namespace std::chrono_literals;
constexpr size_t kEndlessBytes = 64 << 20;  // what a client sends that never ends by itself
constexpr Duration kLookEvery{50};
}  // namespace

std::string repeated(std::string_view text, size_t bytes) {
  std::string all;
  while (all.size() + text.size() <= bytes) all += text;
  return all;
}

std::string head_of_tiny_fields(const std::string& method, const std::string& target,
                                const std::string& more) {
  std::string head = fmt::format("{} {} HTTP/1.1\r\nHost: h\r\n{}", method, target, more);
  head += repeated("a:\r\n", kHeadBytes - head.size() - 2);
  return head + "\r\n";
}

std::string chunked_head(const std::string& target) {
  return fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", target);
}

std::string get(const std::string& target) {
  return fmt::format("GET {} HTTP/1.1\r\nHost: h\r\n\r\n", target);
}

void send_without_end(net::Connection& connection, const std::string& piece) {
  for (size_t sent = 0; sent < kEndlessBytes; sent += piece.size())
    if (connection.write(piece)) return;
}

void send_and_hold(net::Connection& connection, std::string_view text, Duration time) {
  net::SystemClock clock;
  if (connection.write(text)) return;
  for (const auto end = clock.now() + time; clock.now() < end && !connection.is_interrupted();)
    clock.sleep(kLookEvery);
}

void read_slowly(net::Connection& connection, std::string_view text) {
  net::SystemClock clock;
  if (connection.write(text)) return;
  while (!connection.read_more(1)) {
    connection.consume(connection.buffered().size());
    clock.sleep(kHoldersPause);
  }
}

void misbehave(net::Connection& connection, const std::string& target, std::mt19937_64& random,
               Duration time) {
  net::Timer end;
  end.set(std::chrono::steady_clock::now() + time, [&connection] { connection.interrupt(); });
  switch (random() % 8) {
    case 0:
      return send_and_hold(connection, head_of_tiny_fields("GET", target, ""), time);
    case 1:
      send_slowly(connection, head_of_tiny_fields("GET", target, ""), kHoldersPause);
      return;
    case 2:
      return send_and_hold(connection, chunked_head(target) + "80000\r\n" + std::string(400000, 'c'), time);
    case 3:
      if (!connection.write(chunked_head(target) + "1\r\nc\r\n0\r\n"))
        send_without_end(connection, repeated("t:\r\n", kPieceBytes));
      return;
    case 4:
      if (!connection.write(chunked_head(target)))
        send_without_end(connection, repeated("1\r\nc\r\n", kPieceBytes));
      return;
    case 5:
      return send_without_end(connection, repeated(get(target), kPieceBytes));
    case 6:
      return read_slowly(connection, get(target));
    default:
      return send_and_hold(connection, "G", time);
  }
}

}  // namespace dunlinwing::test
