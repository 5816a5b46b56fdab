/// @file
/// One compare-and-set of a register, which may take several rounds: the value to propose in each, and its
/// result. A value carries the identifiers of its write and of the writes before it, so that a writer whose
/// round was interrupted can find out whether another proposer completed it.
#pragma once
#include "consensus/register_client.hpp"

namespace dunlinwing::consensus {

class CompareAndSet {
 public:
  /// @param expected_version  the version that the data replaces
  /// @param write_id          identifies this write; never used for another
  CompareAndSet(uint64_t expected_version, const std::string& data, std::string write_id)
      : expected_version_(expected_version), data_(data), write_id_(std::move(write_id)) {}

  /// Whether the value may already have been sent to replicas.
  bool proposed() const { return proposed_; }

  /// The value to propose when `current` is in force: its successor, or the same value again.
  pb::Value next_value(const pb::Value& current);

  /// The result of this write, given the value in force; nothing while that is still the value to replace.
  std::optional<WriteResult> result_for(const pb::Value& current) const;

 private:
  bool contains_this_write(const pb::Value& value) const;

  const uint64_t expected_version_;
  const std::string& data_;
  const std::string write_id_;
  bool proposed_ = false;
};

}  // namespace dunlinwing::consensus
