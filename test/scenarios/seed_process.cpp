#include "scenarios/seed_process.hpp"

#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <iostream>
#include <sstream>

namespace dunlinwing::test {
namespace {

// The first word of each line of the report.
constexpr std::string_view kCount = "count", kRequiredFault = "required", kFailure = "failure";

std::string report_of(const SimFigures& figures) {
  std::string report;
  for (const auto& [name, count] : figures.counts) report += fmt::format("{} {} {}\n", kCount, name, count);
  for (const auto& fault : figures.required_faults) report += fmt::format("{} {}\n", kRequiredFault, fault);
  return report;
}

SimFigures parse_report(const std::string& report) {
  SimFigures figures;
  std::istringstream lines(report);
  std::string kind, name;
  while (lines >> kind) {
    if (kind == kFailure) throw Failed(report.substr(kFailure.size() + 1));
    lines >> name;
    if (kind == kRequiredFault) figures.required_faults.insert(name);
    if (kind == kCount) lines >> figures.counts[name];
  }
  return figures;
}

[[noreturn]] void run_and_report(const std::function<SimFigures()>& run, int descriptor) {
  std::string report;
  try {
    report = report_of(run());
  } catch (const std::exception& error) {
    report = fmt::format("{} {}", kFailure, error.what());
  }
  std::cout.flush();
  std::fflush(nullptr);
  for (size_t sent = 0; sent < report.size();) {
    const ssize_t written = ::write(descriptor, report.data() + sent, report.size() - sent);
    if (written <= 0) ::_exit(EXIT_FAILURE);
    sent += static_cast<size_t>(written);
  }
  ::_exit(EXIT_SUCCESS);
}

std::string read_all(int descriptor) {
  std::string text;
  std::array<char, 4096> buffer{};
  for (ssize_t count = 0; (count = ::read(descriptor, buffer.data(), buffer.size())) > 0;)
    text.append(buffer.data(), static_cast<size_t>(count));
  return text;
}

}  // namespace

SimFigures run_in_process(const std::function<SimFigures()>& run) {
  std::array<int, 2> ends{};
  expect(::pipe(ends.data()) == 0, "no pipe for the process of a seed");
  std::cout.flush();
  std::fflush(nullptr);
  const pid_t process = ::fork();
  expect(process >= 0, "no process for a seed");
  if (process == 0) {
    ::close(ends[0]);
    run_and_report(run, ends[1]);
  }
  ::close(ends[1]);
  const auto report = read_all(ends[0]);
  ::close(ends[0]);
  int status = 0;
  ::waitpid(process, &status, 0);
  expect(WIFEXITED(status) && WEXITSTATUS(status) == EXIT_SUCCESS,
         fmt::format("the process of the seed ended with status {}", status));
  return parse_report(report);
}

}  // namespace dunlinwing::test
