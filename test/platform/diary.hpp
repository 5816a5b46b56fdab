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
  Tick at{0};
  bool ran = false, bad = false, other = false;  // other: it was meant for another instance
};

struct Try {  // of a client
  std::string id, method, host, target, body, relay, kind;
  const void* life = nullptr;
  Tick sent{0}, ended{0}, deadline{0};
  bool whole = false, read = false, first = false, probe = false;
  base::Receipt receipt;
};

struct Made {  // by a worker, under a stamp
  std::string id, target, body;
  uint64_t version = 0;  // of the object, if it is one
  bool object = false, failed = false;
  Tick at{0};
};

struct Stated {  // a configuration
  Page page;
  std::string text, what, by;
  bool valid = true;
  Tick sent{0};
  std::optional<Tick> taken;
  int refused = 0;
};

struct Purging {
  std::string host, path, tag;
  Tick sent{0};
  std::optional<Tick> taken;
};

struct Left {
  std::string instance, by;
  Tick at{0};
};

struct Moving {
  std::string service, version, state;
  bool bad = false;
  Tick ordered{0}, term{0};
  std::optional<Tick> taken, ended;
};

struct Late {  // an order without acknowledgement
  std::string what;
  Tick sent{0}, ended{0};
};

struct ReadBack {
  uint64_t revision = 0;
  std::string text;
  Tick asked{0};
};

struct Diary {
  std::vector<Arrival> arrivals;
  std::map<std::string, Try> tries;  // by id
  std::map<std::string, Made> made;  // by stamp
  std::map<std::string, std::vector<Tick>> replaced;  // target -> when version 1, 2 … came
  std::map<std::string, std::string> tags;            // target -> its tag
  std::vector<Stated> stated;
  std::vector<Purging> purges;
  std::vector<Left> left;
  std::vector<Moving> moves;
  std::vector<Late> late;
  std::map<std::string, std::vector<Tick>> harmed;    // machine -> moments at which something befell it or its paths
  std::vector<Tick> shaken;                           // moments at which the core was unsettled
  std::vector<Tick> origin_trouble;
  std::vector<std::pair<Tick, std::string>> terms;    // SIGTERMs
  bool unplanned = false;                             // some trouble that nobody had ordered
  std::vector<ReadBack> read_back;
  std::optional<Tick> closed, back;                   // the closing fault, and when all machines were up again
};

// Whether the machine was in touch throughout the three seconds before `t`.
constexpr Span kContact{3000};
bool in_touch(const Diary& d, const std::string& machine, Tick t);

}  // namespace dunlinwing::test
