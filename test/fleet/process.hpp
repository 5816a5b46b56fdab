/// @file
/// Starts a program of a test fleet as a process of its own.
#pragma once
#include <sys/types.h>

#include <string>
#include <vector>

namespace dunlinwing::test {

/// @param program    path of the program
/// @param arguments  without the program's name
/// @param log        file to which standard output and standard error are appended
/// @return the process, a child of this one; it shares none of its other descriptors
pid_t spawn_process(const std::string& program, const std::vector<std::string>& arguments,
                    const std::string& log);

}  // namespace dunlinwing::test
