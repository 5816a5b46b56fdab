// Each connection has two fibers, one for each direction. A cut closes all connections
// of the link, and new ones are closed as soon as they are accepted.
#include "fleet/links.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "base/log.hpp"
#include "net/address.hpp"

namespace dunlinwing::test {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using net::await;
using net::ErrorCode;

namespace {
constexpr base::Log logger("links");
}

struct Links::Link {
  tcp::acceptor acc;
  tcp::endpoint to;
  bool cut = false;
  std::set<std::shared_ptr<tcp::socket>> live;
  explicit Link(asio::io_context& io) : acc(io) {}

  void close_all() {
    ErrorCode ec;
    for (auto& s : live) s->close(ec);
    live.clear();
  }
};

namespace {
void pump(const std::shared_ptr<tcp::socket>& a, const std::shared_ptr<tcp::socket>& b) {
  char buf[16384];
  for (;;) {
    auto [e, n] = await<size_t>([&](auto h) { a->async_read_some(asio::buffer(buf), std::move(h)); });
    if (e) break;
    auto [e2, n2] =
        await<size_t>([&, n = n](auto h) { asio::async_write(*b, asio::buffer(buf, n), std::move(h)); });
    if (e2) break;
  }
  ErrorCode ec;
  a->close(ec);
  b->close(ec);
}
}  // namespace

void Links::open(const std::string& from, const std::string& to, const std::string& listen,
                 const std::string& target) {
  auto l = std::make_shared<Link>(pool_.io(0));
  auto ep = [](const std::string& s) {
    auto a = net::parse_address(s);
    return tcp::endpoint(asio::ip::make_address(a->ip), a->port);
  };
  l->to = ep(target);
  auto at = ep(listen);
  l->acc.open(at.protocol());
  l->acc.set_option(asio::socket_base::reuse_address(true));
  l->acc.bind(at);
  l->acc.listen(256);
  links_by_ends_[{from, to}] = l;
  pool_.spawn([this, l] {
    for (;;) {
      auto s = std::make_shared<tcp::socket>(pool_.io(0));
      auto [e] = await<>([&](auto h) { l->acc.async_accept(*s, std::move(h)); });
      if (e || l->cut) continue;
      pool_.spawn([this, l, s] {
        auto t = std::make_shared<tcp::socket>(pool_.io(0));
        auto [e] = await<>([&](auto h) { t->async_connect(l->to, std::move(h)); });
        if (e || l->cut) return;
        ErrorCode ec;
        s->set_option(tcp::no_delay(true), ec);
        t->set_option(tcp::no_delay(true), ec);
        l->live.insert(s);
        l->live.insert(t);
        pool_.spawn([s, t] { pump(s, t); });
        pump(t, s);
        l->live.erase(s);
        l->live.erase(t);
      });
    }
  });
}

void Links::cut(const std::string& a, const std::string& b) {
  auto f = links_by_ends_.find({a, b});
  if (f == links_by_ends_.end()) return;
  f->second->cut = true;
  f->second->close_all();
}

void Links::restore(const std::string& a, const std::string& b) {
  auto f = links_by_ends_.find({a, b});
  if (f != links_by_ends_.end()) f->second->cut = false;
}

void Links::cut_off(const std::string& n) {
  for (auto& [k, l] : links_by_ends_)
    if (k.first == n || k.second == n) cut(k.first, k.second);
}

void Links::restore_all() {
  for (auto& [k, l] : links_by_ends_) l->cut = false;
}

}  // namespace dunlinwing::test
