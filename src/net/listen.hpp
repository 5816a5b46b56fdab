/// @file
/// Listening sockets.
#pragma once
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <variant>

namespace dunlinwing::net {

using Acceptor = boost::asio::ip::tcp::acceptor;

/// Opens a socket that listens on an address. SO_REUSEADDR is set, since the address may have been in use
/// until just before.
/// @param address  IP:port
/// @return the socket, or an error text when the address cannot be listened on
[[nodiscard]] std::variant<std::shared_ptr<Acceptor>, std::string> listen_on(boost::asio::io_context& io,
                                                                             const std::string& address);

}  // namespace dunlinwing::net
