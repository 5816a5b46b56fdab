#include "fleet/troubled_backend.hpp"

#include <fmt/format.h>

#include <charconv>

#include "net/address.hpp"
#include "net/timer.hpp"

namespace dunlinwing::test {
namespace {
namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr uint64_t kOneInSoManyWithout = 2;  // half of the requests meet no trouble
constexpr auto kTroubles = static_cast<uint64_t>(Trouble::close_before_execution);
constexpr int64_t kLongestWork = 30;  // milliseconds
constexpr Duration kSlowWork{400};
constexpr Duration kSlowDecline{150};
constexpr uint64_t kLongestDelay = 250;  // milliseconds, of the later copy of a response
constexpr size_t kMaxOldConnections = 256;

std::string header_of(std::string_view head, std::string_view name) {
  const auto at = head.find(fmt::format("\r\n{}: ", name));
  if (at == std::string_view::npos) return {};
  const auto begin = at + name.size() + 4;
  return std::string(head.substr(begin, head.find('\r', begin) - begin));
}

size_t content_length(std::string_view head) {
  size_t length = 0;
  const auto text = header_of(head, "Content-Length");
  std::from_chars(text.data(), text.data() + text.size(), length);
  return length;
}

void reset_on_close(net::Connection& connection) {
  net::ErrorCode ignored;
  connection.socket().set_option(asio::socket_base::linger(true, 0), ignored);
}
}  // namespace

TroubledBackend::TroubledBackend(net::EventLoopPool& pool, std::string service, std::string name,
                                 uint64_t seed, std::function<void(const std::string&)> executed)
    : pool_(pool),
      service_(std::move(service)),
      name_(std::move(name)),
      random_(seed),
      executed_(std::move(executed)) {}

std::string TroubledBackend::instance() const { return fmt::format("{}-{}", name_, restarts_); }

void TroubledBackend::listen(const std::string& address) {
  const auto parts = net::parse_address(address);
  acceptor_ = std::make_shared<asio::ip::tcp::acceptor>(
      pool_.io(0), asio::ip::tcp::endpoint(asio::ip::make_address(parts->ip), parts->port));
  pool_.spawn([this] { accept(); });
}

void TroubledBackend::accept() {
  for (;;) {
    asio::ip::tcp::socket socket(pool_.io(0));
    const auto [failed] =
        net::await<>([&](auto handler) { acceptor_->async_accept(socket, std::move(handler)); });
    if (failed) return;
    auto connection = std::make_shared<net::Connection>(std::move(socket));
    if (connections_.size() >= kMaxOldConnections)
      std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
    connections_.push_back(connection);
    pool_.spawn([this, connection] {
      while (serve(connection)) {
      }
      connection->close();
    });
  }
}

void TroubledBackend::restart() {
  ++restarts_;
  for (auto& weak : connections_)
    if (const auto connection = weak.lock()) connection->interrupt();
  connections_.clear();
}

std::optional<TroubledBackend::Received> TroubledBackend::read_request(net::Connection& connection) {
  size_t end = 0;
  while ((end = connection.buffered().find("\r\n\r\n")) == std::string_view::npos)
    if (connection.read_more()) return {};
  const std::string head(connection.buffered().substr(0, end + 2));
  const size_t size = end + 4 + content_length(head);
  while (connection.buffered().size() < size)
    if (connection.read_more()) return {};
  connection.consume(size);
  const auto space = head.find(' ');
  return Received{header_of(head, "Dunlinwing-Request"),
                  head.substr(space + 1, head.find(' ', space + 1) - space - 1),
                  header_of(head, "Dunlinwing-Instance")};
}

Trouble TroubledBackend::draw() {
  if (random_() % kOneInSoManyWithout == 0) return Trouble::none;
  ++troubles_;
  return static_cast<Trouble>(1 + random_() % kTroubles);
}

// Serves one request; false when the connection must end.
bool TroubledBackend::serve(const ConnectionPtr& connection) {
  const auto request = read_request(*connection);
  if (!request) return false;
  if (request->addressed_instance != instance())
    return decline(connection, *request, Trouble::wrong_instance);
  return respond(connection, *request, draw());
}

bool TroubledBackend::respond(const ConnectionPtr& connection, const Received& request, Trouble trouble) {
  switch (trouble) {
    case Trouble::decline:
    case Trouble::slow_decline:
    case Trouble::repeated_decline:
    case Trouble::late_repeated_decline:
    case Trouble::wrong_instance:
      return decline(connection, request, trouble);
    case Trouble::reset_before_execution:
      reset_on_close(*connection);
      return false;
    case Trouble::close_before_execution:
      return false;
    default:
      return execute_and_respond(connection, request, trouble);
  }
}

bool TroubledBackend::execute_and_respond(const ConnectionPtr& connection, const Received& request,
                                          Trouble trouble) {
  executed_(request.target);
  clock_.sleep(trouble == Trouble::slow ? kSlowWork : Duration(random_() % kLongestWork));
  const auto response = good_response(request, trouble == Trouble::last_response);
  switch (trouble) {
    case Trouble::cut_response:
      connection->write(std::string_view(response).substr(0, random_() % response.size()));
      return false;
    case Trouble::garbled_response:
      connection->write("HTP/1.1 2OO no response\r\n\r\n");
      return false;
    case Trouble::extra_response:
      return !connection->write(response, response);
    case Trouble::late_extra_response:
      if (connection->write(response)) return false;
      write_later(connection, response);
      return true;
    case Trouble::lost_response:
      while (!connection->read_more()) connection->consume(connection->buffered().size());
      return false;
    case Trouble::reset_after_execution:
      reset_on_close(*connection);
      return false;
    case Trouble::last_response:
      connection->write(response);
      return false;
    default:
      return !connection->write(response);
  }
}

bool TroubledBackend::decline(const ConnectionPtr& connection, const Received& request, Trouble trouble) {
  const int status = trouble == Trouble::wrong_instance ? 421 : 503;
  const auto text = response_head(status, request.id, "Dunlinwing-Outcome: not-run\r\n", 0);
  if (trouble != Trouble::decline) clock_.sleep(Duration(random_() % kSlowDecline.count()));
  if (trouble == Trouble::repeated_decline) return !connection->write(text, text);
  if (connection->write(text)) return false;
  if (trouble == Trouble::late_repeated_decline || trouble == Trouble::wrong_instance)
    write_later(connection, text);
  return true;
}

void TroubledBackend::write_later(const ConnectionPtr& connection, std::string text) {
  pool_.spawn([this, connection, text = std::move(text), delay = random_() % kLongestDelay] {
    clock_.sleep(Duration(static_cast<int64_t>(delay)));
    if (connection->socket().is_open()) connection->write(text);
  });
}

std::string TroubledBackend::response_head(int status, const std::string& id, const std::string& more,
                                           size_t length) const {
  return fmt::format(
      "HTTP/1.1 {} X\r\nDunlinwing-Service: {}\r\nDunlinwing-Version: 1\r\nDunlinwing-Instance: {}\r\n"
      "Dunlinwing-Request: {}\r\n{}Content-Length: {}\r\n\r\n",
      status, service_, instance(), id, more, length);
}

std::string TroubledBackend::good_response(const Received& request, bool is_last) const {
  const std::string body = "ran " + request.target;
  const auto more = fmt::format("{}Content-Digest: sha-256=:{}:\r\n", is_last ? "Connection: close\r\n" : "",
                                base::sha256_base64(body));
  return response_head(200, request.id, more, body.size()) + body;
}

}  // namespace dunlinwing::test
