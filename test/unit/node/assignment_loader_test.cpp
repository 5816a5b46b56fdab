// A node loads its assignment completely or keeps the previous one.
#include "node/assignment_loader.hpp"

#include "config/release.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
constexpr const char* kConfiguration =
    R"({"content":{"services":{"shop":{"versions":["1"]}},"routes":[{"prefix":"/","service":"shop"}]}})";

config::SystemOptions defaults() {
  config::SystemOptions options;
  options.retry_allowance = 5;
  return options;
}

membership::ChosenValues registers() {
  return {{config::release_key("layout", "good"), {1, kConfiguration}},
          {config::release_key("layout", "bad"), {1, R"({"content":{}})"}},
          {config::release_key("system", "options"), {1, R"({"content":{"repeat_allowance":9}})"}}};
}

pb::RolloutState assigned(uint64_t generation, const std::map<std::string, std::string>& releases) {
  pb::RolloutState rollout;
  auto& assignment = (*rollout.mutable_nodes())["node-a"];
  assignment.set_generation(generation);
  for (const auto& [kind, name] : releases) (*assignment.mutable_releases())[kind] = name;
  return rollout;
}

void loads_an_assignment() {
  node::AssignmentLoader loader("node-a", defaults());
  const auto running = loader.load(assigned(3, {{"layout", "good"}, {"system", "options"}}), registers(), {});
  expect(running.configuration != nullptr, "no configuration: " + loader.error());
  same(running.configuration->name, std::string("good"), "configuration");
  same(running.system.retry_allowance, int64_t{9}, "system options");
  same(running.generation, uint64_t{3}, "generation");
  same(loader.generation(), uint64_t{3}, "the loader's generation");
  same(loader.running_releases().size(), size_t{2}, "running releases");
  same(loader.error(), std::string(), "error");
}

void uses_the_defaults_without_a_release() {
  node::AssignmentLoader loader("node-a", defaults());
  const auto running = loader.load(assigned(1, {{"layout", "good"}}), registers(), {});
  same(running.system.retry_allowance, int64_t{5}, "system options");
}

// No part of an assignment takes effect when another part can't be loaded.
void keeps_previous_when_a_part_is_unreadable() {
  for (const auto& [releases, error] :
       std::vector<std::pair<std::map<std::string, std::string>, std::string>>{
           {{{"layout", "bad"}, {"system", "options"}}, "layout/bad: "},
           {{{"layout", "missing"}}, "layout/missing: the release is not known here"},
           {{{"layout", "good"}, {"system", "missing"}}, "system/missing: not known or unreadable here"}}) {
    node::AssignmentLoader loader("node-a", defaults());
    const auto before = loader.load(assigned(1, {{"layout", "good"}}), registers(), {});
    const auto after = loader.load(assigned(2, releases), registers(), before);
    expect(after.configuration == before.configuration, error + ": the configuration changed");
    same(after.system.retry_allowance, int64_t{5}, error + ": system options");
    same(after.generation, uint64_t{1}, error + ": generation");
    same(loader.generation(), uint64_t{1}, error + ": the loader's generation");
    expect(loader.error().starts_with(error), loader.error() + " does not begin with " + error);
    (void)loader.load(assigned(3, {{"layout", "good"}}), registers(), after);
    same(loader.error(), std::string(), "error once it can be loaded");
  }
}

void ignores_earlier_generations() {
  node::AssignmentLoader loader("node-a", defaults());
  const auto before = loader.load(assigned(5, {{"layout", "good"}}), registers(), {});
  const auto after = loader.load(assigned(4, {}), registers(), before);
  expect(after.configuration == before.configuration, "an earlier assignment took effect");
  same(after.generation, uint64_t{5}, "generation");
}

void prefers_the_numbered_configuration() {
  node::AssignmentLoader loader("node-a", defaults());
  const auto before = loader.load(assigned(5, {{"layout", "good"}}), registers(), {});
  auto chosen = registers();
  pb::NumberedConfiguration numbered;
  numbered.set_number(17);
  numbered.set_document(
      R"({"services":{"shop":{"versions":["1"]}},"routes":[{"prefix":"/","service":"shop"}]})");
  chosen[config::kNumberedConfigurationKey] = {1, numbered.SerializeAsString()};
  const auto after = loader.load(assigned(6, {{"layout", "missing"}}), chosen, before);
  same(after.configuration_number, uint64_t{17}, "number");
  same(after.generation, uint64_t{17}, "generation");
  expect(after.configuration && after.configuration != before.configuration,
         "the numbered configuration is not active");
  same(loader.error(), std::string(), "error, as releases no longer matter");
}

void lists_configurations_of_all_nodes() {
  node::AssignmentLoader loader("node-a", defaults());
  pb::RolloutState rollout;
  (*(*rollout.mutable_nodes())["node-b"].mutable_releases())["layout"] = "good";
  (*(*rollout.mutable_nodes())["node-c"].mutable_releases())["layout"] = "bad";
  const auto assigned_here = loader.assigned_configurations(rollout, registers());
  same(assigned_here.size(), size_t{1}, "configurations");
  expect(assigned_here.count("good") == 1, "the readable configuration is missing");
  const auto again = loader.assigned_configurations(rollout, registers());
  expect(again.at("good") == assigned_here.at("good"), "the configuration was parsed again");
}

void reports_software_error_once() {
  node::AssignmentLoader loader("node-a", defaults());
  expect(loader.set_software_error("no space"), "the first error was not reported as a change");
  expect(!loader.set_software_error("no space"), "the same error was reported as a change again");
  same(loader.error(), std::string("no space"), "error");
  (void)loader.load(assigned(1, {{"layout", "good"}}), registers(), {});
  same(loader.error(), std::string(), "error once no software is assigned");
}
}  // namespace

std::vector<Case> assignment_loader_cases() {
  return {
      {"assignment loader: configuration and system options take effect together", loads_an_assignment},
      {"assignment loader: without a system release the options of the settings apply",
       uses_the_defaults_without_a_release},
      {"assignment loader: an unreadable part leaves the previous assignment active",
       keeps_previous_when_a_part_is_unreadable},
      {"assignment loader: an earlier generation changes nothing", ignores_earlier_generations},
      {"assignment loader: the numbered configuration takes precedence over releases",
       prefers_the_numbered_configuration},
      {"assignment loader: configurations of all nodes are listed", lists_configurations_of_all_nodes},
      {"assignment loader: a repeated software error is not a change", reports_software_error_once},
  };
}

}  // namespace dunlinwing::test
