/// @file
/// Logs how many requests a node has recently rejected, and by which limit, so that operators can see in the
/// logs why.
/// Threads: used by the control thread only.
#pragma once
#include "proxy/request_handler.hpp"

namespace dunlinwing::node {

class RejectionLog {
 public:
  /// @param handler  must outlive the log
  RejectionLog(std::string node_name, const proxy::RequestHandler& handler)
      : node_name_(std::move(node_name)), handler_(handler) {}

  /// Logs one line for each service that has rejected requests since the last line, at most every ten
  /// seconds.
  void update(TimePoint now);

 private:
  void log_service(const std::string& service, const std::string& reasons);

  std::string node_name_;
  const proxy::RequestHandler& handler_;
  TimePoint logged_at_{0};
  std::map<proxy::RejectionKey, uint64_t> logged_;  ///< counts as of `logged_at_`
};

}  // namespace dunlinwing::node
