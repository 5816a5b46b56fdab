/// @file
/// The few files of a replica's data folder.
///
/// Invariant: a call that writes returns true only once what it wrote is synced. Names of new files are
/// durable only after sync_folder(). Threads: used by one thread at a time; every call blocks.
#pragma once
#include "base/common.hpp"

namespace dunlinwing::storage {

/// Why the folder cannot be used, as a sentence for the operator.
struct OpenError {
  std::string what;
};

enum class ReadError {
  missing,  ///< there is no such file
  failed,   ///< there is one, or there may be, and it cannot be read
};

class Files {
 public:
  virtual ~Files() = default;
  /// The contents of a file, from the disk where the system can drop its cache.
  virtual std::variant<std::string, ReadError> read(const std::string& name) = 0;
  /// Cuts the file to nothing and writes the bytes; makes it when there is none.
  /// @return false when anything fails; any part of the bytes may be in the file then
  [[nodiscard]] virtual bool replace(const std::string& name, const std::string& bytes) = 0;
  /// Appends to a file that exists; the result is that of replace().
  [[nodiscard]] virtual bool append(const std::string& name, const std::string& bytes) = 0;
  /// Makes the names of the files durable.
  [[nodiscard]] virtual bool sync_folder() = 0;
  /// Where the folder is, for log lines.
  virtual std::string location() const = 0;
};

/// Opens the folder, which it makes when there is none, and locks it so that no second relay uses it.
std::variant<std::unique_ptr<Files>, OpenError> open_folder(const std::string& path);

}  // namespace dunlinwing::storage
