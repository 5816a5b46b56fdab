// A layout whose number is not above the one held is acknowledged and changes
// nothing, but only after its document was found valid like any other.
#include "control_api/orders.hpp"

#include <fmt/format.h>

#include <charconv>

#include "base/log.hpp"
#include "traffic/order.hpp"

namespace dunlinwing::control_api {
namespace {
constexpr base::Log lg("control-api");
constexpr int kTries = 16;
}  // namespace

base::Response put_order(base::Ports&, relay::Node& n, Call& c) {
  uint64_t number = 0;
  auto& s = c.path[2];
  auto [e, ec] = std::from_chars(s.data(), s.data() + s.size(), number);
  if (ec != std::errc() || e != s.data() + s.size() || !number)
    return defect(422, "a layout is stated under a number above 0");
  auto p = base::Json::parse(c.q.body);
  if (auto* d = std::get_if<base::ValidationError>(&p)) return defects({*d});
  auto& j = std::get<base::Json>(p);
  auto g = traffic::read_layout(traffic::order_name(number), j.at("content"));
  if (auto* d = std::get_if<std::vector<base::ValidationError>>(&g)) return defects(*d);
  pb::Order o;
  o.set_number(number);
  o.set_document(std::get<std::shared_ptr<const traffic::Layout>>(g)->text);
  o.set_stated(j.at("stated").str());
  auto r = n.registers().read(traffic::kOrderKey);
  for (int i = 0; i < kTries; ++i) {
    auto* d = std::get_if<consensus::RegisterError>(&r);
    if (d) return defect(503, "no majority of the holders answers; the layout may or may not be recorded");
    auto& held = std::get<consensus::VersionedValue>(r);
    pb::Order now;
    now.ParseFromString(held.data);
    if (now.number() >= number)
      return json(200, fmt::format(R"({{"number":{},"changed":false}})", now.number()), held.version);
    auto w = n.registers().write(traffic::kOrderKey, held.version, o.SerializeAsString());
    if (auto* h = std::get_if<consensus::VersionedValue>(&w)) {
      lg.info("Layout {} was recorded.", number);
      n.state_cache().hurry();
      return json(200, fmt::format(R"({{"number":{},"changed":true}})", number), h->version);
    }
    if (auto* st = std::get_if<consensus::VersionConflict>(&w))
      r = st->now;
    else
      r = std::get<consensus::RegisterError>(w);
  }
  return defect(503, "too many write at once; try again");
}

base::Response order(relay::Node& n) {
  auto f = n.state_cache().chosen().find(traffic::kOrderKey);
  pb::Order o;
  if (f == n.state_cache().chosen().end() || !o.ParseFromString(f->second.data) || !o.number())
    return defect(404, "no layout was ever stated under a number");
  return json(200,
              fmt::format(R"({{"number":{},"content":{},"stated":{}}})", o.number(), o.document(),
                          base::quote(o.stated())),
              f->second.version);
}

}  // namespace dunlinwing::control_api
