/// @file
/// Relays of commit 0a5d9f4 on a connection with today's: the bytes of test/compatibility/fixtures/frames
/// behind their four bytes of length, in both directions.
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <filesystem>
#include <fstream>

#include "net/peer_client.hpp"
#include "net/peer_server.hpp"
#include "support/scripted_peer.hpp"

namespace dunlinwing::test {
namespace {
constexpr Duration kPlenty(10000);

/// The fixtures whose names begin with `kind`.
std::vector<std::string> old_frames(const std::string& kind) {
  std::vector<std::string> frames;
  for (auto& entry : std::filesystem::directory_iterator(DUNLINWING_COMPATIBILITY_FIXTURES "/frames"))
    if (entry.path().filename().string().starts_with(kind)) {
      std::ifstream file(entry.path(), std::ios::binary);
      frames.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
  return frames;
}

/// The length that a frame begins with: four bytes, the highest first.
std::string length_of(const std::string& bytes) {
  auto size = bytes.size();
  return {char(size >> 24), char(size >> 16), char(size >> 8), char(size)};
}

std::string serialized(const google::protobuf::Message& message) {
  std::string out;
  {
    google::protobuf::io::StringOutputStream stream(&out);
    google::protobuf::io::CodedOutputStream coded(&stream);
    coded.SetSerializationDeterministic(true);
    message.SerializeToCodedStream(&coded);
  }
  return out;
}

/// The bytes of the next frame on the connection, without its length.
std::string read_frame(net::Connection& connection) {
  auto size = [&] {
    auto got = connection.buffered();
    if (got.size() < 4) return size_t(4);
    size_t bytes = 0;
    for (int i = 0; i < 4; ++i) bytes = bytes << 8 | static_cast<unsigned char>(got[i]);
    return 4 + bytes;
  };
  while (connection.buffered().size() < size())
    expect(!connection.read_more(), "the connection ended within a reply");
  auto bytes = std::string(connection.buffered().substr(4, size() - 4));
  connection.consume(size());
  return bytes;
}

/// What the relay under test was asked last, and what it is to reply.
struct Exchange {
  std::string asked;
  pb::PeerResponse reply;
};

/// Serves on an address of its own for as long as the process lives.
std::string serve(const std::shared_ptr<Exchange>& exchange) {
  for (int port = 23700 + static_cast<int>(::getpid() % 300);; ++port) {
    auto address = fmt::format("127.0.0.1:{}", port);
    if (!net::serve_peers(pool(), address, [exchange](const pb::PeerRequest& ask, const auto&) {
          exchange->asked = serialized(ask);
          return exchange->reply;
        }))
      return address;
  }
}

/// An old relay asks: each kind of ask is heard as it was sent, and each kind of reply goes out as the
/// bytes that the old relay would have sent under the number of the ask.
void asked_by_old_relays() {
  auto exchange = std::make_shared<Exchange>();
  Raw old_relay(serve(exchange));
  auto asks = old_frames("Ask."), replies = old_frames("Reply.");
  expect(asks.size() == 10 && replies.size() == 7, "fixtures are missing");
  for (size_t i = 0; i < asks.size(); ++i) {
    auto& reply = replies[i % replies.size()];
    expect(exchange->reply.ParseFromString(reply), "an old reply is not read");
    old_relay.send(length_of(asks[i]) + asks[i]);
    pb::PeerResponse back;
    expect(back.ParseFromString(read_frame(*old_relay.connection)), "the reply is not read");
    expect(exchange->asked == asks[i], fmt::format("ask {} was heard as other bytes", i));
    pb::PeerRequest ask;
    ask.ParseFromString(asks[i]);
    expect(back.request_id() > 0 && back.request_id() == ask.request_id(), "the reply is for another ask");
    back.set_request_id(exchange->reply.request_id());
    expect(serialized(back) == reply, fmt::format("the reply to ask {} went out as other bytes", i));
  }
}

/// An old relay is asked: each kind of reply is heard as it was sent.
void asks_old_relays() {
  auto asks = old_frames("Ask."), replies = old_frames("Reply.");
  expect(asks.size() == 10 && replies.size() == 7, "fixtures are missing");
  size_t next = 0;
  pb::PeerRequest heard;
  ScriptedPeer old_relay([&](int, const pb::PeerRequest& ask) {
    heard = ask;
    pb::PeerResponse number;
    number.set_request_id(ask.request_id());  // read as one message with what stands before
    auto bytes = replies[next % replies.size()] + number.SerializeAsString();
    return length_of(bytes) + bytes;
  });
  net::PeerClient client;
  for (; next < asks.size(); ++next) {
    pb::PeerRequest ask;
    expect(ask.ParseFromString(asks[next]), "an old ask is not read");
    auto answer = client.call(old_relay.address(), ask, kPlenty);
    auto* reply = std::get_if<pb::PeerResponse>(&answer);
    expect(reply != nullptr, fmt::format("no reply to ask {}", next));
    expect(reply->request_id() > 0 && reply->request_id() == heard.request_id(),
           "the reply is for another ask");
    pb::PeerResponse sent;
    sent.ParseFromString(replies[next % replies.size()]);
    reply->set_request_id(sent.request_id());
    expect(serialized(*reply) == replies[next % replies.size()], "a reply was heard as other bytes");
    heard.set_request_id(ask.request_id());
    expect(serialized(heard) == asks[next], fmt::format("ask {} was sent as other bytes", next));
  }
}
}  // namespace

std::vector<Case> compatibility_wire_cases() {
  return {{"peer: an old relay asks this one", asked_by_old_relays},
          {"peer: this relay asks an old one", asks_old_relays}};
}

}  // namespace dunlinwing::test
