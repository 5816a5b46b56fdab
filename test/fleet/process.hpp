/// @file
/// Starts a program of a test fleet as a separate process.
#pragma once
#include <sys/types.h>

#include <string>
#include <vector>

namespace dunlinwing::test {

/// @param program    path of the program
/// @param arguments  without the program's name
/// @param log        file to which standard output and standard error are appended
/// @return the ID of the child process, which inherits no other descriptors and ends with the calling thread
pid_t spawn_process(const std::string& program, const std::vector<std::string>& arguments,
                    const std::string& log);

/// The largest resident memory of a process so far, in bytes, as the kernel counted it; 0 when it has ended.
size_t peak_memory_bytes(pid_t process);

}  // namespace dunlinwing::test
