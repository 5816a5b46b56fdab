// A document is checked before it is recorded; one that cannot be read here was
// written by a newer program, and the node keeps what it has and is unready.
#include "traffic/order.hpp"

#include "base/log.hpp"

namespace dunlinwing::traffic {
namespace {
constexpr base::Log lg("layout");
}

std::string order_name(uint64_t n) { return "order-" + std::to_string(n); }

const Standing& Orders::look(const membership::Chosen& c) {
  auto f = c.find(kOrderKey);
  if (f == c.end() || f->second.version == version_) return now_;
  version_ = f->second.version;
  pb::Order o;
  if (!o.ParseFromString(f->second.data) || o.number() <= now_.number) return now_;
  auto g = read_layout(order_name(o.number()), o.document());
  auto* l = std::get_if<std::shared_ptr<const Layout>>(&g);
  if (!l) lg.error("Layout {} cannot be read here.", o.number());
  now_ = {o.number(), l ? *l : nullptr};
  return now_;
}

}  // namespace dunlinwing::traffic
