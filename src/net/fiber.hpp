/// @file
/// Integrates Boost.Fiber with Asio: each event loop is a thread with one io_context and one scheduler
/// of fibers. When no fiber is ready the thread sleeps in the io_context; a handler that completes makes its
/// fiber ready again.
///
/// Invariant: only the dispatcher's fiber runs handlers and timers, so neither can try to wake the fiber that
/// it runs on.
/// Threads: fibers stay on the thread that started them.
#pragma once
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <optional>
#include <tuple>

namespace dunlinwing::net {

using ErrorCode = boost::system::error_code;

/// Schedules fibers on the calling thread from now on.
/// @param idle   called when no fiber is ready; must make progress or block
/// @param poll   called once per scheduling round
/// @param first  runs on the calling fiber
void run_fibers(std::function<void()> idle, std::function<void()> poll, const std::function<void()>& first);

/// Runs the task in a new fiber on the calling thread.
void launch_fiber(std::function<void()> task);

/// Turns an asynchronous operation into a call: suspends the calling fiber until the operation's handler has
/// run, on this same thread.
/// @param start  begins the operation; receives its handler
/// @return the arguments that the handler was called with
template <class... Results, class Start>
std::tuple<ErrorCode, Results...> await(Start&& start) {
  std::optional<std::tuple<ErrorCode, Results...>> results;
  auto* fiber = boost::fibers::context::active();
  std::forward<Start>(start)([&results, fiber](ErrorCode error, Results... values) {
    results.emplace(error, std::move(values)...);
    boost::fibers::context::active()->schedule(fiber);
  });
  while (!results) fiber->suspend();
  return std::move(*results);
}

}  // namespace dunlinwing::net
