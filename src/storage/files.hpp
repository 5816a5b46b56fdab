/// @file
/// Access to the files of a replica's data folder.
///
/// Invariant: a call that writes returns true only once the written bytes are synced. Names of new files are
/// durable only after sync_folder(). Threads: used by one thread at a time; every call blocks.
#pragma once
#include "base/common.hpp"

namespace dunlinwing::storage {

/// Why the folder cannot be used, as a message for the operator.
struct OpenError {
  std::string what;
};

enum class ReadError {
  missing,  ///< there is no such file
  failed,   ///< the file exists, or may exist, but cannot be read
};

class Files {
 public:
  virtual ~Files() = default;
  /// The contents of a file, read from the disk and not from the system's cache where possible.
  virtual std::variant<std::string, ReadError> read(const std::string& name) = 0;
  /// Truncates the file, or creates it, and writes the bytes.
  /// @return false when any step fails; any part of the bytes may then be in the file
  [[nodiscard]] virtual bool replace(const std::string& name, const std::string& bytes) = 0;
  /// Appends to an existing file; returns as replace() does.
  [[nodiscard]] virtual bool append(const std::string& name, const std::string& bytes) = 0;
  /// Makes the names of the files durable.
  [[nodiscard]] virtual bool sync_folder() = 0;
  /// The path of the folder, for log lines.
  virtual std::string location() const = 0;
};

/// Opens the folder, creates it when it is missing, and locks it so that no second relay uses it.
std::variant<std::unique_ptr<Files>, OpenError> open_folder(const std::string& path);

}  // namespace dunlinwing::storage
