#include "hostile/backend.hpp"

#include <fmt/format.h>

#include "support/expect.hpp"

namespace dunlinwing::test {
namespace {
using namespace std::chrono_literals;
constexpr Duration kSlowWork{3000};  // of a request to /slow/
constexpr Duration kHeartbeatPeriod{800};
constexpr size_t kLargeResponse = 4 << 20;
}  // namespace

Backend::Backend(net::EventLoopPool& pool, std::string control_address, const std::string& address)
    : control_address_(std::move(control_address)),
      address_(address),
      server_(pool, "backend", net::HttpLimits{},
              [this](base::Request& request) { return answer(request); }) {
  if (auto error = server_.listen(address, 0, 1)) throw Failed(*error);
  for (const char* service : {"app", "kept", "plain"})
    pool.spawn([this, service] { send_heartbeats(service); });
}

base::Response Backend::answer(base::Request& request) {
  const auto instance = base::header(request.headers, "Dunlinwing-Instance");
  const std::string service = instance.substr(0, instance.find('-'));
  if (request.target.starts_with("/slow/")) clock_.sleep(kSlowWork);
  const bool is_large = request.target.starts_with("/large/") || request.target.starts_with("/kept/");
  std::string body = is_large ? std::string(kLargeResponse, 'x') : "served";
  base::Headers headers = {{"Dunlinwing-Service", service},
                           {"Dunlinwing-Version", "1"},
                           {"Dunlinwing-Instance", instance},
                           {"Dunlinwing-Request", base::header(request.headers, "Dunlinwing-Request")},
                           {"Content-Digest", "sha-256=:" + base::sha256_base64(body) + ":"}};
  if (service == "kept") headers.emplace_back("Cache-Control", "max-age=60");
  return {200, headers, body};
}

void Backend::send_heartbeats(const std::string& service) {
  for (uint64_t number = 1;; ++number) {
    const base::Request beat{
        "",
        "POST",
        "/v1/beats",
        fmt::format(
            R"({{"service":"{0}","version":"1","instance":"{0}-1","zone":"a","address":"{1}","capacity":400,)"
            R"("leaving":false,"number":{2},"period_ms":{3}}})",
            service, address_, number, kHeartbeatPeriod.count()),
        {}};
    static_cast<void>(http_.send(control_address_, beat, kHeartbeatPeriod));
    clock_.sleep(kHeartbeatPeriod);
  }
}

}  // namespace dunlinwing::test
