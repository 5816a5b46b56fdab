// What the stand-ins saw on their own sides, and what the simulation did to the
// machines: all that the rules are judged from.
#pragma once
#include <map>
#include <set>

#include "base/ports.hpp"
#include "platform/page.hpp"

namespace dunlinwing::test {

struct Arrival {  // of a request at a worker
  std::string id, method, host, target, body, service, version, instance, relay;
  const void* life = nullptr;  // of the relay's process
  TimePoint at{0};
  bool ran = false, bad = false, other = false;  // other: it was meant for another instance
};

struct Try {  // of a client
  std::string id, method, host, target, body, relay, kind;
  const void* life = nullptr;
  TimePoint sent{0}, ended{0}, deadline{0};
  bool whole = false, read = false, first = false, probe = false;
  base::Response receipt;
};

struct Made {  // by a worker, under a stamp
  std::string id, target, body;
  uint64_t version = 0;  // of the object, if it is one
  bool object = false, failed = false;
  TimePoint at{0};
};

struct Stated {  // a configuration
  Page page;
  std::string text, what, by;
  bool valid = true;
  TimePoint sent{0};
  std::optional<TimePoint> taken;
  int refused = 0;
};

struct Purging {
  std::string host, path, tag;
  TimePoint sent{0};
  std::optional<TimePoint> taken;
};

struct Left {
  std::string instance, by;
  TimePoint at{0};
};

struct Moving {
  std::string service, version, state;
  bool bad = false;
  TimePoint ordered{0}, term{0};
  std::optional<TimePoint> taken, ended;
};

struct Late {  // an order without acknowledgement
  std::string what;
  TimePoint sent{0}, ended{0};
};

struct ReadBack {
  uint64_t revision = 0;
  std::string text;
  TimePoint asked{0};
};

struct Diary {
  std::vector<Arrival> arrivals;
  std::map<std::string, Try> tries;                        // by id
  std::map<std::string, Made> made;                        // by stamp
  std::map<std::string, std::vector<TimePoint>> replaced;  // target -> when version 1, 2 … came
  std::map<std::string, std::string> tags;                 // target -> its tag
  std::vector<Stated> stated;
  std::vector<Purging> purges;
  std::vector<Left> left;
  std::vector<Moving> moves;
  std::vector<Late> late;
  std::vector<std::string> refused_again;  // orders that had been acknowledged, sent again
  std::map<std::string, std::vector<TimePoint>>
      harmed;                     // machine -> moments at which something befell it or its paths
  std::vector<TimePoint> shaken;  // moments at which the core was unsettled
  std::vector<TimePoint> origin_trouble;
  std::vector<std::pair<TimePoint, std::string>> terms;  // SIGTERMs
  bool unplanned = false;                                // some trouble that nobody had ordered
  std::vector<ReadBack> read_back;
  std::optional<TimePoint> closed, back;  // the closing fault, and when all machines were up again
};

// Whether the machine was in touch throughout the three seconds before `t`.
constexpr Duration kContact{3000};
bool in_touch(const Diary& d, const std::string& machine, TimePoint t);

}  // namespace dunlinwing::test
