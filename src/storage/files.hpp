// The few files of a data folder. Every call that writes returns only once what
// it wrote is synced.
#pragma once
#include "base/common.hpp"

namespace dunlinwing::storage {

struct OpenError {
  std::string what;
};

// Missing: there is no such file. Failed: there is one, or there may be, and it cannot be read.
enum class ReadError { missing, failed };

class Files {
 public:
  virtual ~Files() = default;
  virtual std::variant<std::string, ReadError> read(const std::string& name) = 0;
  virtual bool replace(const std::string& name, const std::string& bytes) = 0;
  virtual bool append(const std::string& name, const std::string& bytes) = 0;
  virtual bool sync_folder() = 0;
  virtual std::string place() const = 0;
};

// Locks the folder, so that no second relay uses it.
std::variant<std::unique_ptr<Files>, OpenError> open_folder(const std::string& dir);

}  // namespace dunlinwing::storage
