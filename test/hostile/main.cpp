// Clients that don't behave, against one relay as a process of its own with small limits. What is checked
// does not depend on the machine's speed: the process lives, its resident memory stays within `memory_mb` and
// its descriptors within `descriptors`, and an ordinary request is answered afterwards; where clients hold
// connections, also while they hold them.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iostream>

#include "hostile/backend.hpp"
#include "hostile/crowd.hpp"
#include "hostile/relay_process.hpp"
#include "hostile/scripts.hpp"
#include "support/expect.hpp"

DEFINE_string(relay, "build/relay", "path of the relay under test");
DEFINE_string(dir, "hostile_run", "folder for settings, data and the log");
DEFINE_string(case_name, "", "the case to run");
DEFINE_int32(clients, 200, "clients of the crowd; twice as many where they hold connections");
DEFINE_int32(memory_mb, 64, "memory of the relay, in MiB");
DEFINE_int32(descriptors, 1200, "descriptors of the relay");
DEFINE_int32(port, 27000, "the first of four loopback ports: three of the relay and one of the backend");

namespace dunlinwing::test {
namespace {
using namespace std::chrono_literals;

constexpr Duration kCrowdTime{8000};      // how long a crowd goes on at the most
constexpr Duration kOrdinaryTime{60000};  // in which an ordinary caller, who tries again, has an answer
constexpr Duration kOrdinaryTry{5000};
constexpr size_t kOrderBytes = 8'000'000;     // below the limit of a call to a control address
constexpr size_t kDocumentBytes = 6'000'000;  // with small values, just below the bound of json-values
constexpr size_t kBytesPerMegabyte = 1 << 20;

const char* const kConfiguration =
    R"({"content":{"services":{)"
    R"("app":{"versions":["1"],"deadline_ms":8000,"waitlist":400,"inflight":400},)"
    R"("kept":{"versions":["1"],"deadline_ms":8000,"waitlist":400,"inflight":400,"cache":{"lifetime_s":60}},)"
    R"("plain":{"versions":["1"],"deadline_ms":8000}},)"
    R"("routes":[{"prefix":"/slow/","service":"app"},{"prefix":"/large/","service":"app"},)"
    R"({"prefix":"/kept/","service":"kept"},{"prefix":"/plain/","service":"plain"}],)"
    R"("limits":{"head_bytes":16384,"body_bytes":1048576}},"stated":"hostile"})";

/// The relay under test, its backend, and what is checked after each case.
class Trial {
 public:
  explicit Trial(net::EventLoopPool& pool)
      : pool_(pool),
        relay_({std::filesystem::absolute(FLAGS_relay).string(),
                std::filesystem::absolute(FLAGS_dir).string(), FLAGS_port, FLAGS_memory_mb,
                FLAGS_descriptors}) {}

  void start(Backend*& backend) {
    relay_.start(kConfiguration);
    if (!backend)
      backend = new Backend(pool_, relay_.control_address(), fmt::format("127.0.0.1:{}", FLAGS_port + 3));
    expect_ordinary_answer("before the crowd");
    memory_before_ = relay_.peak_memory_bytes();
  }

  /// Lets the crowd carry out the script, and checks the relay's bounds.
  void play(const std::string& address, int count, const ClientScript& script) {
    play_with(address, count, script, [this] { check_bounds(); });
  }

  /// The same with clients that hold their connections: an ordinary caller is answered beside them.
  void play_holders(const std::string& address, int count, const ClientScript& script) {
    play_with(address, count, script, [this] {
      check_bounds();
      expect_ordinary_answer("beside those that hold connections");
      expect_control_answer();
      check_bounds();
    });
  }

  const RelayProcess& relay() const { return relay_; }

 private:
  void play_with(const std::string& address, int count, const ClientScript& script,
                 const std::function<void()>& check) {
    std::string failure;
    Crowd crowd(pool_, address);
    crowd.start(count, kCrowdTime, script);
    try {
      check();
    } catch (const Failed& failed) {
      failure = failed.what();
    }
    crowd.dismiss();  // not while an exception is handled: it suspends the fiber
    expect(failure.empty(), failure);
    finish();
  }

  void finish() {
    check_bounds();
    expect_ordinary_answer("afterwards");
    expect_control_answer();
    check_bounds();
    std::cout << fmt::format("peak memory {:.1f} MB of {}, {:.1f} before the crowd\n",
                             static_cast<double>(relay_.peak_memory_bytes()) / kBytesPerMegabyte,
                             relay_.options().memory_mb,
                             static_cast<double>(memory_before_) / kBytesPerMegabyte);
  }

  void check_bounds() const {
    expect(relay_.is_running(), "the process has ended");
    const size_t peak = relay_.peak_memory_bytes();
    const size_t bound = static_cast<size_t>(relay_.options().memory_mb) * kBytesPerMegabyte;
    expect(peak <= bound, fmt::format("{} bytes of resident memory, {} allowed", peak, bound));
    const size_t descriptors = relay_.open_descriptors();
    expect(descriptors <= static_cast<size_t>(relay_.options().descriptors),
           fmt::format("{} descriptors, {} allowed", descriptors, relay_.options().descriptors));
  }

  static bool is_answered(const std::string& address, const base::Request& request) {
    net::HttpClient http{1U << 20};  // a new connection for each try
    const auto reply = http.send(address, request, kOrdinaryTry);
    const auto* response = std::get_if<base::Response>(&reply);
    return response && response->status == 200;
  }

  void expect_answer(const std::string& address, const base::Request& request,
                     const std::string& when) const {
    net::SystemClock clock;
    for (const auto end = clock.now() + kOrdinaryTime; clock.now() < end; clock.sleep(100ms)) {
      if (is_answered(address, request)) return;
      expect(relay_.is_running(), "the process has ended");
    }
    throw Failed(request.target + " was not answered " + when);
  }

  void expect_ordinary_answer(const std::string& when) const {
    expect_answer(relay_.client_address(), {"", "GET", "/plain/x", "", {{"Host", "h"}}}, when);
  }

  void expect_control_answer() const {
    expect_answer(relay_.control_address(), {"", "GET", "/readyz", "", {}}, "at the control address");
  }

  net::EventLoopPool& pool_;
  RelayProcess relay_;
  size_t memory_before_ = 0;
};

// ---- The cases ----

struct Case {
  std::string name;
  std::function<void(Trial&)> play;
};

void play_script(Trial& trial, const std::string& text) {
  trial.play(trial.relay().client_address(), FLAGS_clients, [text](net::Connection& connection, int) {
    if (!connection.write(text)) read_to_end(connection);
  });
}

std::vector<Case> head_cases() {
  return {
      {"heads_that_wait",
       [](Trial& trial) { play_script(trial, head_of_tiny_fields("GET", "/slow/x", "")); }},
      {"heads_to_the_cache",
       [](Trial& trial) {
         trial.play(
             trial.relay().client_address(), FLAGS_clients, [](net::Connection& connection, int number) {
               send_and_hold(connection, head_of_tiny_fields("GET", fmt::format("/kept/{}", number), ""),
                             kCrowdTime);
             });
       }},
      {"unfinished_heads",
       [](Trial& trial) {
         trial.play_holders(trial.relay().client_address(), 2 * FLAGS_clients,
                            [](net::Connection& connection, int) {
                              auto head = head_of_tiny_fields("GET", "/slow/x", "");
                              head.resize(head.size() - 2);
                              send_and_hold(connection, head, kCrowdTime);
                            });
       }},
  };
}

std::vector<Case> held_head_cases() {
  return {
      {"heads_byte_by_byte",
       [](Trial& trial) {
         trial.play_holders(
             trial.relay().client_address(), 2 * FLAGS_clients, [](net::Connection& connection, int) {
               send_slowly(connection, head_of_tiny_fields("GET", "/slow/x", ""), kHoldersPause);
             });
       }},
      {"silent_connections",
       [](Trial& trial) {
         trial.play_holders(
             trial.relay().client_address(), 2 * FLAGS_clients,
             [](net::Connection& connection, int) { send_and_hold(connection, "G", kCrowdTime); });
       }},
      {"pipelines",
       [](Trial& trial) {
         trial.play(trial.relay().client_address(), FLAGS_clients, [](net::Connection& connection, int) {
           if (connection.write(get("/slow/x"))) return;
           send_without_end(connection, repeated(get("/plain/x"), kPieceBytes));
         });
       }},
  };
}

std::vector<Case> body_cases() {
  return {
      {"bodies_that_wait",
       [](Trial& trial) {
         play_script(trial, fmt::format("POST /slow/x HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{}",
                                        kBodyBytes, std::string(kBodyBytes, 'b')));
       }},
      {"tiny_chunks",
       [](Trial& trial) {
         trial.play(trial.relay().client_address(), FLAGS_clients, [](net::Connection& connection, int) {
           if (connection.write(chunked_head("/slow/x"))) return;
           send_without_end(connection, repeated("1\r\nc\r\n", kPieceBytes));
         });
       }},
      {"unfinished_chunks",
       [](Trial& trial) {
         trial.play_holders(
             trial.relay().client_address(), 2 * FLAGS_clients, [](net::Connection& connection, int) {
               send_and_hold(connection, chunked_head("/slow/x") + "80000\r\n" + std::string(400000, 'c'),
                             kCrowdTime);
             });
       }},
  };
}

std::vector<Case> chunked_body_cases() {
  return {
      {"endless_chunk_lines",
       [](Trial& trial) {
         trial.play(trial.relay().client_address(), FLAGS_clients, [](net::Connection& connection, int) {
           if (connection.write(chunked_head("/slow/x") + "1;")) return;
           send_without_end(connection, std::string(kPieceBytes, 'e'));
         });
       }},
      {"endless_trailers",
       [](Trial& trial) {
         trial.play(trial.relay().client_address(), FLAGS_clients, [](net::Connection& connection, int) {
           if (connection.write(chunked_head("/slow/x") + "1\r\nc\r\n0\r\n")) return;
           send_without_end(connection, repeated("t:\r\n", kPieceBytes));
         });
       }},
      {"trailers_that_wait",
       [](Trial& trial) {
         play_script(trial,
                     chunked_head("/slow/x") + "1\r\nc\r\n0\r\n" + repeated("t:\r\n", kHeadBytes) + "\r\n");
       }},
      {"bodies_byte_by_byte",
       [](Trial& trial) {
         trial.play_holders(
             trial.relay().client_address(), 2 * FLAGS_clients, [](net::Connection& connection, int) {
               const auto head =
                   fmt::format("POST /slow/x HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", kBodyBytes);
               if (!connection.write(head))
                 send_slowly(connection, std::string(kBodyBytes, 'b'), kHoldersPause);
             });
       }},
  };
}

std::vector<Case> response_cases() {
  return {
      {"unread_responses",
       [](Trial& trial) {
         trial.play(trial.relay().client_address(), FLAGS_clients, [](net::Connection& connection, int) {
           send_and_hold(connection, get("/large/x"), kCrowdTime);
         });
       }},
      {"unread_cached_responses",
       [](Trial& trial) {
         trial.play(trial.relay().client_address(), FLAGS_clients,
                    [](net::Connection& connection, int number) {
                      send_and_hold(connection, get(fmt::format("/kept/{}", number % 3)), kCrowdTime);
                    });
       }},
      {"unread_fetches",
       [](Trial& trial) {
         trial.play(trial.relay().client_address(), FLAGS_clients,
                    [](net::Connection& connection, int number) {
                      send_and_hold(connection, get(fmt::format("/kept/{}", number)), kCrowdTime);
                    });
       }},
      {"responses_byte_by_byte",
       [](Trial& trial) {
         trial.play_holders(
             trial.relay().client_address(), 2 * FLAGS_clients,
             [](net::Connection& connection, int) { read_slowly(connection, get("/large/x")); });
       }},
  };
}

std::vector<Case> control_cases() {
  return {
      {"control_heads_byte_by_byte",
       [](Trial& trial) {
         trial.play_holders(
             trial.relay().control_address(), 2 * FLAGS_clients, [](net::Connection& connection, int) {
               send_slowly(connection, head_of_tiny_fields("GET", "/v1/nodes", ""), kHoldersPause);
             });
       }},
      {"control_bodies",
       [](Trial& trial) {
         trial.play_holders(
             trial.relay().control_address(), FLAGS_clients, [](net::Connection& connection, int) {
               const auto head = fmt::format(
                   "PUT /v1/layouts/2 HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", kOrderBytes);
               if (!connection.write(head))
                 send_and_hold(connection, std::string(kOrderBytes - 1, '['), kCrowdTime);
             });
       }},
      {"control_documents",
       [](Trial& trial) {
         const auto document =
             R"({"content":{"services":{},"routes":[)" + repeated("12345,", kDocumentBytes) + "1]}}";
         const auto order =
             fmt::format("PUT /v1/layouts/2 HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{}",
                         document.size(), document);
         trial.play_holders(trial.relay().control_address(), FLAGS_clients,
                            [&order](net::Connection& connection, int) {
                              if (!connection.write(order)) read_to_end(connection);
                            });
       }},
      {"unread_control_responses",
       [](Trial& trial) {
         trial.play_holders(trial.relay().control_address(), FLAGS_clients,
                            [](net::Connection& connection, int) {
                              send_and_hold(connection, repeated(get("/metrics"), kPieceBytes), kCrowdTime);
                            });
       }},
  };
}

std::vector<Case> all_cases() {
  std::vector<Case> all;
  for (auto part : {head_cases(), held_head_cases(), body_cases(), chunked_body_cases(), response_cases(),
                    control_cases()})
    all.insert(all.end(), part.begin(), part.end());
  return all;
}

int run(net::EventLoopPool& pool, const Case& test_case) {
  Backend* backend = nullptr;  // serves until the process ends
  try {
    Trial trial(pool);
    trial.start(backend);
    test_case.play(trial);
  } catch (const std::exception& error) {
    std::cout << "FAIL " << test_case.name << ": " << error.what() << "\n0 passed, 1 failed" << std::endl;
    return 1;
  }
  std::cout << "ok   " << test_case.name << "\n1 passed, 0 failed" << std::endl;
  return 0;
}
}  // namespace
}  // namespace dunlinwing::test

int main(int argc, char** argv) {
  using namespace dunlinwing;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  const auto cases = test::all_cases();
  const auto found = std::find_if(cases.begin(), cases.end(),
                                  [](const auto& test_case) { return test_case.name == FLAGS_case_name; });
  if (found == cases.end()) {
    std::cerr << "hostile_test: --case_name is none of";
    for (const auto& test_case : cases) std::cerr << " " << test_case.name;
    std::cerr << "\n";
    return 2;
  }
  net::EventLoopPool pool(1);
  pool.run([&] { net::EventLoopPool::stop(test::run(pool, *found)); });
}
