#include "net/address.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace dunlinwing::net {

std::optional<Address> parse_address(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return {};
  Address address{text.substr(0, colon), 0};
  const char* const end = text.data() + text.size();
  const auto [port_end, port_error] = std::from_chars(text.data() + colon + 1, end, address.port);
  boost::system::error_code ip_error;
  boost::asio::ip::make_address(address.ip, ip_error);
  if (ip_error || port_error != std::errc() || port_end != end) return {};
  return address;
}

}  // namespace dunlinwing::net
