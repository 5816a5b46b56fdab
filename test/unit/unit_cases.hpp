// The unit test cases, one function for each component, and the adapter for RapidCheck.
#pragma once
#include <rapidcheck.h>

#include "support/expect.hpp"

namespace dunlinwing::test {

std::vector<Case> log_limiter_cases();
std::vector<Case> memory_account_cases();
std::vector<Case> disk_cases();
std::vector<Case> disk_fault_cases();
std::vector<Case> acceptor_cases();
std::vector<Case> register_cases();
std::vector<Case> register_updater_cases();
std::vector<Case> register_reader_cases();
std::vector<Case> replica_selector_cases();
std::vector<Case> replica_responses_cases();
std::vector<Case> consensus_trace_cases();
std::vector<Case> consensus_property_cases();
std::vector<Case> rollout_cases();
std::vector<Case> leadership_fence_cases();
std::vector<Case> control_state_cases();
std::vector<Case> contact_cases();
std::vector<Case> version_rollout_cases();
std::vector<Case> version_request_time_cases();
std::vector<Case> attempt_decision_cases();
std::vector<Case> canary_admission_cases();
std::vector<Case> upstream_client_cases();
std::vector<Case> request_handler_cases();
std::vector<Case> rejection_cases();
std::vector<Case> route_latency_cases();
std::vector<Case> routing_snapshot_cases();
std::vector<Case> shield_selector_cases();
std::vector<Case> protocol_adapter_cases();
std::vector<Case> checker_cases();
std::vector<Case> config_cases();
std::vector<Case> settings_cases();
std::vector<Case> limits_cases();
std::vector<Case> pacer_cases();
std::vector<Case> transfer_cases();
std::vector<Case> cache_cases();
std::vector<Case> canary_cases();
std::vector<Case> snapshot_builder_cases();
std::vector<Case> assignment_loader_cases();
std::vector<Case> heartbeat_table_cases();
std::vector<Case> compatibility_cases();
std::vector<Case> replica_repair_cases();
std::vector<Case> platform_translation_cases();
std::vector<Case> platform_rules_cases();

template <class F>
Case property(const std::string& name, F f) {
  return {name, [name, f] {
            expect(rc::check(name, f), "the property does not hold; RapidCheck's report is above");
          }};
}

}  // namespace dunlinwing::test
