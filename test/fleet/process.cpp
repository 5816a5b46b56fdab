#include "fleet/process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

namespace dunlinwing::test {
namespace {
constexpr int kCannotExecute = 127;
constexpr size_t kBytesPerKilobyte = 1024;
}  // namespace

pid_t spawn_process(const std::string& program, const std::vector<std::string>& arguments,
                    const std::string& log) {
  std::vector<char*> argument_list{const_cast<char*>(program.c_str())};
  for (const auto& argument : arguments) argument_list.push_back(const_cast<char*>(argument.c_str()));
  argument_list.push_back(nullptr);
  const pid_t process = ::fork();
  if (process != 0) return process;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a test that is ended leaves no process behind
  const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(file, STDOUT_FILENO);
  ::dup2(file, STDERR_FILENO);
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::execv(argument_list[0], argument_list.data());
  ::_exit(kCannotExecute);
}

size_t peak_memory_bytes(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("VmHWM:")) return std::stoul(line.substr(line.find(':') + 1)) * kBytesPerKilobyte;
  return 0;
}

}  // namespace dunlinwing::test
