// What the scripts of the second review share: relay processes, stand-ins for clients, workers and the
// operator, and the record. Loopback only, the real clock, no dependency but POSIX threads.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kBegin = Clock::now();
/// Seconds since the start of the program.
inline double now() { return std::chrono::duration<double>(Clock::now() - kBegin).count(); }
inline void sleep_for(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline FILE* record_file = nullptr;
inline std::mutex record_mutex;
/// Writes a line to record.txt, with its time.
inline void record(const char* form, ...) {
  const std::lock_guard lock(record_mutex);
  std::fprintf(record_file, "%8.3f ", now());
  va_list arguments;
  va_start(arguments, form);
  std::vfprintf(record_file, form, arguments);
  va_end(arguments);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}

/// A free port below those that the system gives to outgoing connections.
inline int free_port() {
  static int next = 12000 + static_cast<int>(::getpid()) * 37 % 18000;
  for (int tries = 0; tries < 2000; ++tries) {
    const int port = next++;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool is_free = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    if (is_free) return port;
  }
  std::exit(2);
}

/// A TCP connection with time limits. Not for several threads at once.
class Link {
 public:
  explicit Link(int fd = -1) : fd_(fd) {}
  Link(Link&& other) noexcept : fd_(std::exchange(other.fd_, -1)), buffer_(std::move(other.buffer_)) {}
  Link& operator=(Link&& other) noexcept {
    end();
    fd_ = std::exchange(other.fd_, -1);
    buffer_ = std::move(other.buffer_);
    return *this;
  }
  ~Link() { end(); }

  static Link connect(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      ::close(fd);
      return Link();
    }
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return Link(fd);
  }

  bool is_open() const { return fd_ >= 0; }
  int descriptor() const { return fd_; }
  void end() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

  bool send(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t part = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (part <= 0) return false;
      sent += static_cast<size_t>(part);
    }
    return true;
  }

  /// Reads up to and including the end of a head; empty when the connection ended or the time is over.
  std::string read_head(double until) {
    size_t at;
    while ((at = buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!read_more(until)) return {};
    std::string head = buffer_.substr(0, at + 4);
    buffer_.erase(0, at + 4);
    return head;
  }

  /// Reads exactly so many bytes; false when the connection ended or the time is over.
  bool read_body(size_t size, std::string& body, double until) {
    while (buffer_.size() < size)
      if (!read_more(until)) return false;
    body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }

 private:
  bool read_more(double until) {
    const double left = until - now();
    pollfd waiting{fd_, POLLIN, 0};
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left * 1000) + 1) <= 0) return false;
    char bytes[65536];
    const ssize_t part = ::recv(fd_, bytes, sizeof bytes, 0);
    if (part <= 0) return false;
    buffer_.append(bytes, static_cast<size_t>(part));
    return true;
  }

  int fd_;
  std::string buffer_;
};

/// The value of a header; empty when it is missing.
inline std::string header(const std::string& head, const std::string& name) {
  for (size_t at = head.find("\r\n"); at != std::string::npos; at = head.find("\r\n", at + 2)) {
    if (::strncasecmp(head.c_str() + at + 2, (name + ":").c_str(), name.size() + 1) != 0) continue;
    size_t first = at + 2 + name.size() + 1;
    while (first < head.size() && head[first] == ' ') ++first;
    return head.substr(first, head.find("\r\n", first) - first);
  }
  return {};
}

struct Answer {
  int status = 0;  ///< 0: no whole answer came
  std::string head, body;
};

inline Answer read_answer(Link& link, double until) {
  Answer answer;
  answer.head = link.read_head(until);
  if (answer.head.size() < 12) return {};
  const size_t size = std::strtoul(header(answer.head, "Content-Length").c_str(), nullptr, 10);
  if (!link.read_body(size, answer.body, until)) return {};
  answer.status = std::atoi(answer.head.c_str() + 9);
  return answer;
}

/// A call on a connection of its own.
inline Answer call(int port, const std::string& method, const std::string& target, const std::string& body,
                   double seconds) {
  Link link = Link::connect(port);
  if (!link.is_open()) return {};
  const bool sent = link.send(method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\n" +
                              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  return sent ? read_answer(link, now() + seconds) : Answer{};
}

/// One relay process, with settings as the deploy file's template fills them for a small deployment.
struct Relay {
  std::string name, zone, folder;
  int front = free_port(), control = free_port(), readiness = free_port(), peers = free_port();
  bool has_disk = true;
  pid_t process = 0;

  std::string settings(const std::string& seeds, bool first_start) const {
    auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
    return "{\"name\":\"" + name + "\",\"zone\":\"" + zone + "\",\"face\":\"platform\",\"listen\":{\"callers\":" + at(front) +
           ",\"control\":" + at(control) + ",\"readiness\":" + at(readiness) + ",\"peers\":" + at(peers) +
           "},\"seeds\":" + seeds + ",\"first_start\":" + (first_start ? "true" : "false") + ",\"tolerate\":1," +
           (has_disk ? "\"data\":\"" + folder + "/" + name + ".data\"," : "") +
           "\"threads\":1,\"log_level\":\"info\",\"descriptors\":3000,\"memory_mb\":260,\"link_mbps\":1000.0,\"beat_s\":1.5,"
           "\"bounds\":{\"layout_s\":2,\"leave_s\":2,\"purge_s\":2,\"grace_s\":6,\"repeat_share\":0.2,"
           "\"repeat_allowance\":64,\"trial_share\":0.1,\"bad_answers\":50}}";
  }

  void start(const std::string& program, const std::string& seeds, bool first_start) {
    const std::string path = folder + "/" + name + ".json";
    FILE* file = std::fopen(path.c_str(), "w");
    std::fputs(settings(seeds, first_start).c_str(), file);
    std::fclose(file);
    process = ::fork();
    if (process == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // no relay outlives the script
      const int log = ::open((folder + "/" + name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::execl(program.c_str(), "relay", "--config", path.c_str(), nullptr);
      ::_exit(127);
    }
  }

  void signal(int number) const {
    if (process > 0) ::kill(process, number);
  }
  void reap() {
    if (process > 0) ::waitpid(process, nullptr, 0);
    process = 0;
  }
};

/// Relays in three zones; the first three have disks and are the seeds. The destructor ends all of them.
struct Fleet {
  std::string program, folder, seeds;
  std::vector<std::unique_ptr<Relay>> relays;

  Fleet(std::string relay_program, int count) : program(std::move(relay_program)) {
    char name[] = "/tmp/dunlinwing-review-XXXXXX";
    if (!::mkdtemp(name)) std::exit(2);
    folder = name;
    for (int i = 0; i < count; ++i) {
      auto relay = std::make_unique<Relay>();
      relay->name = "e" + std::to_string(i + 1);
      relay->zone = "z" + std::to_string(i % 3 + 1);
      relay->folder = folder;
      relay->has_disk = i < 3;
      if (i < 3) seeds += (i ? ",\"127.0.0.1:" : "[\"127.0.0.1:") + std::to_string(relay->control) + "\"";
      relays.push_back(std::move(relay));
    }
    seeds += "]";
    for (auto& relay : relays) relay->start(program, seeds, true);
  }

  ~Fleet() {
    for (auto& relay : relays) relay->signal(SIGKILL);
    for (auto& relay : relays) relay->signal(SIGCONT);
    for (auto& relay : relays) relay->reap();
    if (!std::getenv("KEEP")) {
      const std::string command = "rm -rf '" + folder + "'";
      if (std::system(command.c_str()) != 0) std::fprintf(stderr, "%s was not removed\n", folder.c_str());
    }
  }

  bool await_ready(double seconds) const {
    for (const double end = now() + seconds; now() < end; sleep_for(0.1)) {
      size_t ready = 0;
      for (auto& relay : relays) ready += call(relay->readiness, "GET", "/readiness", "", 1).status == 200;
      if (ready == relays.size()) return true;
    }
    return false;
  }

  /// As the operator sends it: to one relay after another until one acknowledges or refuses it.
  int order(const std::string& method, const std::string& target, const std::string& body, double seconds) const {
    size_t next = 0;
    for (const double end = now() + seconds; now() < end; sleep_for(0.05)) {
      const auto& relay = relays[next++ % relays.size()];
      if (relay->process == 0) continue;
      const int status = call(relay->control, method, target, body, 1).status;
      if (status == 200 || (status >= 400 && status < 500 && status != 408 && status != 429)) return status;
    }
    return 0;
  }
};

struct Request {
  std::string method, target, head, body;
};

/// A worker: registers, beats, and answers each request by its handler, on a thread for each connection.
class Worker {
 public:
  /// @return false: the connection ends
  using Handler = std::function<bool(Worker&, Link&, const Request&)>;

  Worker(std::string id, std::string backend, std::string revision, int slots, Handler handler)
      : id_(std::move(id)), backend_(std::move(backend)), revision_(std::move(revision)), slots_(slots), handler_(std::move(handler)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    ::bind(listener_, reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    ::listen(listener_, 256);
    port_ = ntohs(address.sin_port);
    std::thread([this] { accept(); }).detach();
  }

  const std::string& id() const { return id_; }
  const std::string& revision() const { return revision_; }

  void beat_at(const Fleet& fleet, size_t first) {
    std::thread([this, &fleet, first] {
      for (size_t next = first; !ended_; sleep_for(1.5)) {
        for (size_t tries = 0; tries < fleet.relays.size() && !ended_; ++tries)
          if (beat(*fleet.relays[next % fleet.relays.size()], "ready") == 200)
            break;
          else
            ++next;
      }
    }).detach();
  }

  int beat(const Relay& relay, const char* state) {
    const std::string body = "{\"backend\":\"" + backend_ + "\",\"address\":\"127.0.0.1:" + std::to_string(port_) +
                             "\",\"zone\":\"" + relay.zone + "\",\"revision\":\"" + revision_ + "\",\"slots\":" + std::to_string(slots_) +
                             ",\"state\":\"" + state + "\",\"cold-remaining-s\":0,\"call-seq\":" + std::to_string(++calls_) + "}";
    return call(relay.control, "PUT", "/instances/" + id_, body, 1).status;
  }

  /// A whole answer with success.
  static std::string success(const Request& request, const std::string& body, const std::string& more = "") {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + header(request.head, "Attempt-Id") + "\r\nEdge-Signature: stamp\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  void end() {
    ended_ = true;
    ::shutdown(listener_, SHUT_RDWR);
  }

 private:
  void accept() {
    for (int fd; (fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
      const int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([this, fd] { serve(Link(fd)); }).detach();
    }
  }

  void serve(Link link) {
    while (!ended_) {
      Request request;
      request.head = link.read_head(now() + 60);
      if (request.head.empty()) return;
      request.method = request.head.substr(0, request.head.find(' '));
      const size_t target = request.method.size() + 1;
      request.target = request.head.substr(target, request.head.find(' ', target) - target);
      const size_t size = std::strtoul(header(request.head, "Content-Length").c_str(), nullptr, 10);
      if (!link.read_body(size, request.body, now() + 30)) return;
      if (request.target == "/health") {
        if (!link.send("HTTP/1.1 200 OK\r\nInstance-Id: " + id_ + "\r\nContent-Length: 0\r\n\r\n")) return;
      } else if (!handler_(*this, link, request)) {
        return;
      }
    }
  }

  const std::string id_, backend_, revision_;
  const int slots_;
  const Handler handler_;
  int listener_ = -1, port_ = 0;
  std::atomic<uint64_t> calls_{0};
  std::atomic<bool> ended_{false};
};

struct Route {
  std::string prefix, backend, type;
  double timeout_s = 2, aim_s = 0.8;
  int attempts = 2;
  double cache_s = 0;
};

/// A configuration as the operator sends it.
inline std::string configuration(int revision, const std::vector<Route>& routes, const std::string& backend_fields,
                                 const std::vector<std::string>& backends, size_t body_bytes) {
  std::string text = "{\"revision\":" + std::to_string(revision) + ",\"resources\":[";
  int number = 0;
  char figures[256];
  for (const auto& route : routes) {
    std::snprintf(figures, sizeof figures, "\"timeout-s\":%g,\"target-latency-s\":%g,\"priority\":1,\"max-attempts\":%d", route.timeout_s,
                  route.aim_s, route.attempts);
    text += "{\"entry-kind\":\"routes\",\"metadata\":{\"name\":\"r" + std::to_string(++number) +
            "\"},\"specification\":{\"hostname\":\"desk.example\",\"path-prefix\":\"" + route.prefix + "\",\"route-type\":\"" + route.type +
            "\"," + figures + ",\"backend\":\"" + route.backend + "\"";
    if (route.cache_s > 0) text += ",\"cache-ttl-s\":" + std::to_string(route.cache_s);
    text += "}},";
  }
  for (const auto& backend : backends)
    text += "{\"entry-kind\":\"backends\",\"metadata\":{\"name\":\"" + backend +
            "\"},\"specification\":{\"health-check-path\":\"/health\",\"max-connections\":130,\"protocol\":\"h1\",\"tls-enabled\":false" +
            backend_fields + "}},";
  return text + "{\"entry-kind\":\"limits\",\"metadata\":{},\"specification\":{\"max-header-bytes\":16384,\"max-body-bytes\":" +
         std::to_string(body_bytes) + ",\"header-timeout-s\":3,\"idle-timeout-s\":15}}]}";
}

inline std::string request_text(const std::string& method, const std::string& target, const std::string& id, int remaining_ms,
                                const std::string& body) {
  return method + " " + target + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id +
         "\r\nTime-Remaining: " + std::to_string(remaining_ms) + "\r\n" +
         (method == "POST" ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "") + "\r\n" + body;
}

}  // namespace lab
