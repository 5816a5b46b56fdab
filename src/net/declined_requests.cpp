#include "net/declined_requests.hpp"

#include <algorithm>

namespace dunlinwing::net {

bool DeclinedRequests::may_contain(const std::string& request_id) const {
  return std::find(hashes_.begin(), hashes_.end(), hash(request_id)) != hashes_.end();
}

}  // namespace dunlinwing::net
