// The face for operators, workers and the platform: named resources in JSON
// over HTTP, at any relay.
#pragma once
#include "control_api/purger.hpp"
#include "relay/node.hpp"

namespace dunlinwing::control_api {

class Control {
 public:
  Control(base::Ports& ps, relay::Node& n);
  ~Control();
  base::Response answer(base::Request& q);

 private:
  struct Impl;
  std::unique_ptr<Impl> p_;
};

// What a request asks of a resource, taken apart once.
struct Call {
  base::Request& q;
  std::vector<std::string> path;  // without the leading v1
  std::map<std::string, std::string> query;
};
Call take_apart(base::Request& q);

base::Response json(int status, std::string body, std::optional<uint64_t> version = {});
base::Response defect(int status, const std::string& why);
base::Response defects(const std::vector<base::ValidationError>& ds);
std::string message_json(const google::protobuf::Message& m);

// If-Match and If-None-Match against the version in force; nothing when the
// write may go on.
std::optional<base::Response> precondition(const base::Request& q, uint64_t version);

}  // namespace dunlinwing::control_api
