// The process is started with fork and exec; signals are sent only to it, by its process ID.
#include "hostile/relay_process.hpp"

#include <fmt/format.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "fleet/process.hpp"
#include "support/expect.hpp"

namespace dunlinwing::test {
namespace {
using namespace std::chrono_literals;
constexpr Duration kStartTime{60000};  // until the process is ready
constexpr Duration kCallTime{2000};
constexpr Duration kPause{50};
constexpr int kOk = 200;

bool succeeds(net::HttpClient& http, const std::string& address, const base::Request& request) {
  const auto reply = http.send(address, request, kCallTime);
  const auto* response = std::get_if<base::Response>(&reply);
  return response && response->status == kOk;
}

}  // namespace

RelayProcess::RelayProcess(RelayOptions options) : options_(std::move(options)) {}

RelayProcess::~RelayProcess() {
  if (process_ <= 0) return;
  ::kill(process_, SIGKILL);
  ::waitpid(process_, nullptr, 0);
}

std::string RelayProcess::address(int index) const {
  return fmt::format("127.0.0.1:{}", options_.first_port + index);
}

void RelayProcess::write_settings() const {
  std::filesystem::remove_all(options_.directory);
  std::filesystem::create_directories(options_.directory);
  std::ofstream file(options_.directory + "/relay.json");
  file << fmt::format(
      R"({{"name":"r1","zone":"a","listen":{{"callers":"{0}","control":"{1}","peers":"{2}"}},"seeds":["{1}"],)"
      R"("first_start":true,"tolerate":0,"holders":{{"r1":"{2}"}},"threads":1,"descriptors":{3},)"
      R"("memory_mb":{4},"data":"{5}/data"}})",
      client_address(), control_address(), address(2), options_.descriptors, options_.memory_mb,
      options_.directory);
}

void RelayProcess::await_success(const base::Request& request) const {
  net::SystemClock clock;
  net::HttpClient http{1U << 20};
  for (const auto end = clock.now() + kStartTime; is_running() && clock.now() < end; clock.sleep(kPause))
    if (succeeds(http, control_address(), request)) return;
  throw Failed(fmt::format("{} {} did not succeed", request.method, request.target));
}

void RelayProcess::start(const std::string& configuration) {
  write_settings();
  process_ = spawn_process(options_.program, {"--config", options_.directory + "/relay.json"},
                           options_.directory + "/log");
  await_success({"", "PUT", "/v1/layouts/1", configuration, {}});
  await_success({"", "GET", "/readyz", "", {}});
}

bool RelayProcess::is_running() const {
  siginfo_t info{};
  const int result = ::waitid(P_PID, static_cast<id_t>(process_), &info, WEXITED | WNOHANG | WNOWAIT);
  return result == 0 && info.si_pid == 0;
}

size_t RelayProcess::peak_memory_bytes() const { return test::peak_memory_bytes(process_); }

size_t RelayProcess::open_descriptors() const {
  std::error_code ignored;
  size_t count = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", process_), ignored)) {
    static_cast<void>(entry);
    ++count;
  }
  return count;
}

}  // namespace dunlinwing::test
