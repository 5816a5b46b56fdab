// A connection is interrupted while it waits for a message: bytes that arrive before its fiber runs are
// received.
#include <boost/asio/post.hpp>

#include "net/net_cases.hpp"

namespace dunlinwing::test {
namespace {
using net::MessageWait;

/// Both ends of one connection, on this thread.
struct ConnectedPair {
  std::shared_ptr<net::Connection> near_end;
  std::shared_ptr<net::Connection> far_end;

  ConnectedPair() {
    namespace ip = boost::asio::ip;
    ip::tcp::acceptor acceptor(pool().io(0), ip::tcp::endpoint(ip::make_address("127.0.0.1"), 0));
    const auto address = fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
    far_end = net::Connection::connect(address, std::chrono::steady_clock::now() + 10s);
    expect(far_end != nullptr, "no connection to " + address);
    near_end = std::make_shared<net::Connection>(acceptor.accept(pool().io(0)));
  }
  ~ConnectedPair() {
    near_end->close();
    far_end->close();
  }
};

/// The result of waiting at the near end while `meanwhile` runs as a handler of its event loop.
MessageWait wait_while(ConnectedPair& pair, const std::function<void()>& meanwhile) {
  boost::asio::post(pool().io(0), meanwhile);
  return pair.near_end->await_message();
}

void message_is_received() {
  ConnectedPair pair;
  expect(wait_while(pair, [&] { pair.far_end->write("x"); }) == MessageWait::received, "a message that came");
  same(pair.near_end->buffered(), std::string_view("x"), "what was received");
}

void interrupt_ends_the_wait() {
  ConnectedPair pair;
  expect(wait_while(pair, [&] { pair.near_end->interrupt(); }) == MessageWait::ended, "nothing came");
  pair.near_end->clear_interrupt();
  expect(wait_while(pair, [&] { pair.far_end->close(); }) == MessageWait::ended, "the other side closed");
}

void message_after_the_interrupt_is_received() {
  ConnectedPair pair;
  const auto wait = wait_while(pair, [&] {
    pair.near_end->interrupt();
    pair.far_end->write("x");
  });
  expect(wait == MessageWait::received_as_last, "a message that came before the fiber ran");
  expect(!pair.near_end->write("answer"), "the answer was not sent");
}

// At the second interrupt the bytes have left the socket's receive buffer, but the read's handler has not
// run.
void message_after_two_interrupts_is_received() {
  ConnectedPair pair;
  const auto wait = wait_while(pair, [&] {
    pair.near_end->interrupt();
    pair.far_end->write("x");
    boost::asio::post(pool().io(0), [&] { pair.near_end->interrupt(); });
  });
  expect(wait == MessageWait::received_as_last, "a message that came between two interrupts");
  expect(!pair.near_end->write("answer"), "the answer was not sent");
}

// The read completes at once, and its handler waits in the loop's queue while the connection is interrupted.
void message_read_before_the_interrupt_is_received() {
  ConnectedPair pair;
  pair.far_end->write("x");
  net::SystemClock().sleep(5ms);
  const auto wait = wait_while(pair, [&] { pair.near_end->interrupt(); });
  expect(wait == MessageWait::received_as_last || wait == MessageWait::received, "a message that had come");
  expect(!pair.near_end->write("answer"), "the answer was not sent");
}
}  // namespace

std::vector<Case> connection_cases() {
  return {{"connection: a message is received", message_is_received},
          {"connection: an interrupt, or the other side's end, ends the wait", interrupt_ends_the_wait},
          {"connection: a message that comes after the interrupt is received as the last",
           message_after_the_interrupt_is_received},
          {"connection: a message that comes between two interrupts is received as the last",
           message_after_two_interrupts_is_received},
          {"connection: a message that was read before the interrupt is received",
           message_read_before_the_interrupt_is_received}};
}

}  // namespace dunlinwing::test
