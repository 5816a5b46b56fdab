#include "net/listen.hpp"

#include <fmt/format.h>

#include "net/address.hpp"

namespace dunlinwing::net {
namespace asio = boost::asio;

namespace {
constexpr int kBacklog = 1024;  // connections that the kernel queues until the process accepts them
}

std::variant<std::shared_ptr<Acceptor>, std::string> listen_on(asio::io_context& io,
                                                               const std::string& address) {
  const auto parts = parse_address(address);
  if (!parts) return "the address is not IP:port";
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(parts->ip), parts->port);
  auto acceptor = std::make_shared<Acceptor>(io);
  boost::system::error_code error;
  acceptor->open(endpoint.protocol(), error);
  if (!error) acceptor->set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor->bind(endpoint, error);
  if (!error) acceptor->listen(kBacklog, error);
  if (error) return fmt::format("cannot listen on {}: {}", address, error.message());
  return acceptor;
}

}  // namespace dunlinwing::net
