// Reads every *.journal of a folder, prints the figures and up to five breaches
// of each rule, and exits 1 when there is a breach or no journal.
#include <filesystem>
#include <iostream>

#include "checker/checker.hpp"

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: checker DIR\n";
    return 2;
  }
  dunlinwing::test::Journals js;
  for (auto& e : std::filesystem::directory_iterator(argv[1]))
    if (e.path().extension() == ".journal") js.read(e.path().string());
  auto r = dunlinwing::test::check(js);
  for (auto& [k, v] : r.figures) std::cout << k << " " << v << "\n";
  std::map<int, int> n;
  for (auto& b : r.breaches)
    if (++n[b.rule] <= 5) std::cout << "RULE " << b.rule << ": " << b.what << "\n";
  for (auto& [k, v] : n) std::cout << "rule " << k << " breached " << v << " times\n";
  if (js.lines.empty()) std::cout << "no journal was found\n";
  std::cout << (r.breaches.empty() && !js.lines.empty() ? "clean\n" : "NOT CLEAN\n");
  return r.breaches.empty() && !js.lines.empty() ? 0 : 1;
}
