// Puts a blocking disk behind a thread of its own, so that no pool thread ever
// waits for a sync: the calling fiber parks until the disk is done.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::disk {

class Aside final : public base::Disk {
 public:
  Aside(std::unique_ptr<base::Disk> d, base::Tasks& t);
  ~Aside() override;
  base::Loaded load() override;  // blocks; called before the pool runs
  std::optional<base::DiskDefect> save(const std::vector<pb::Record>& rs,
                                       const std::function<pb::Image()>& whole) override;

 private:
  struct Impl;
  std::unique_ptr<Impl> p_;
};

}  // namespace dunlinwing::disk
