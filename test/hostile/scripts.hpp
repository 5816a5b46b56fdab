/// @file
/// What clients send that don't behave, each inside the limits of a single request or beyond them.
///
/// Thread safety: used only by the single event loop of the test program.
#pragma once
#include <random>
#include <string>

#include "net/connection.hpp"

namespace dunlinwing::test {

constexpr size_t kHeadBytes = 16000;      // below `head_bytes`
constexpr size_t kBodyBytes = 1000000;    // below `body_bytes`
constexpr size_t kPieceBytes = 64 << 10;  // sent at once by one that never ends
constexpr Duration kHoldersPause{300};    // between two bytes of one that holds a connection

/// As many copies of the text as fit into so many bytes.
std::string repeated(std::string_view text, size_t bytes);

/// A head just below the limit, in fields of the smallest size.
/// @param more  further header lines
std::string head_of_tiny_fields(const std::string& method, const std::string& target,
                                const std::string& more);

/// The head of a request with a chunked body.
std::string chunked_head(const std::string& target);

/// A whole request without a body.
std::string get(const std::string& target);

/// Sends the piece again and again, without an end of its own.
void send_without_end(net::Connection& connection, const std::string& piece);

/// Sends the text and never reads, until the time is over or the connection is interrupted.
void send_and_hold(net::Connection& connection, std::string_view text, Duration time);

/// Sends the text and reads one byte at a time, with a pause after each.
void read_slowly(net::Connection& connection, std::string_view text);

/// Does one of these things, drawn at random, until the time is over.
/// @param target  of requests that an instance may execute any number of times
void misbehave(net::Connection& connection, const std::string& target, std::mt19937_64& random,
               Duration time);

}  // namespace dunlinwing::test
