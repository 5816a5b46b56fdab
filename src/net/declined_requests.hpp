/// @file
/// The requests that a backend instance has declined on one connection.
///
/// A decline proves that one sending of a request was not executed. It names the request but not the sending,
/// and a copy of it may arrive at any later time. So a connection never carries a request again that was
/// declined on it: a copy would be taken for the response to the new sending, which may be executed.
/// Threads: not synchronized; belongs to whoever uses the connection.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "base/common.hpp"

namespace dunlinwing::net {

class DeclinedRequests {
 public:
  static constexpr size_t kMaxRequests = 64;  ///< a connection with so many ends

  void add(const std::string& request_id) { hashes_.push_back(hash(request_id)); }

  /// Whether the request may have been declined on this connection; certain only when false.
  bool may_contain(const std::string& request_id) const;

  bool is_full() const { return hashes_.size() >= kMaxRequests; }

 private:
  static size_t hash(const std::string& request_id) { return std::hash<std::string>()(request_id); }

  std::vector<size_t> hashes_;
};

}  // namespace dunlinwing::net
