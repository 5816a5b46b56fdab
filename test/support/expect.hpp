// A small test runner for named test functions, which throw on failure. Its last
// line reports the numbers of passed and failed tests.
#pragma once
#include <fmt/format.h>

#include <functional>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

namespace dunlinwing::test {

struct Failed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline void expect(bool ok, const std::string& what) {
  if (!ok) throw Failed(what);
}

template <class A, class B>
void same(const A& a, const B& b, const std::string& what) {
  if (!(a == b)) throw Failed(fmt::format("{}: {} is not {}", what, a, b));
}

struct Case {
  std::string name;
  std::function<void()> run;
};

inline int run_all(const std::vector<Case>& cs, const std::string& only) {
  int ok = 0, bad = 0;
  for (auto& c : cs) {
    if (!only.empty() && c.name.find(only) == std::string::npos) continue;
    try {
      c.run();
      std::cout << "ok   " << c.name << "\n";
      ++ok;
    } catch (const std::exception& e) {
      std::cout << "FAIL " << c.name << ": " << e.what() << "\n";
      ++bad;
    }
    std::cout.flush();
  }
  std::cout << ok << " passed, " << bad << " failed\n" << std::flush;
  return bad || !ok;
}

}  // namespace dunlinwing::test
