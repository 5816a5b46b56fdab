// The shared table of replies outlives the caller, so that a late reply finds
// a place to go and is then forgotten.
#include "consensus/ask.hpp"

namespace dunlinwing::consensus {

Replies ask_all(base::Ports& ps, const std::vector<Replica>& ts, const std::function<pb::Ask(size_t)>& make,
                Duration limit, const Enough& enough, const std::string& me, const Local& local) {
  struct Table {
    Replies rs;
    size_t left;
    std::shared_ptr<base::Condition> condition;
  };
  auto t = std::make_shared<Table>();
  t->rs.resize(ts.size());
  t->left = ts.size();
  t->condition = ps.tasks.condition();
  auto end = ps.clock.now() + limit;
  for (size_t i = 0; i < ts.size(); ++i)
    ps.tasks.spawn([&ps, t, i, to = ts[i], a = make(i), limit, mine = local && ts[i].name == me, local] {
      if (mine) {
        t->rs[i] = local(a);
      } else {
        auto r = ps.net.ask(to.address, a, limit);
        if (auto* x = std::get_if<pb::Reply>(&r)) t->rs[i] = std::move(*x);
      }
      --t->left;
      t->condition->notify();
    });
  while (t->left && !enough(t->rs)) {
    auto now = ps.clock.now();
    if (now >= end) break;
    t->condition->wait(end - now);
  }
  return t->rs;
}

}  // namespace dunlinwing::consensus
