/// @file
/// Relays of commit 0a5d9f4 exchange messages with current ones, in both directions: the bytes of
/// test/compatibility/fixtures/frames, each after its four-byte length.
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

/// The length prefix of a frame: four bytes, big-endian.
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
    expect(!connection.read_more(), "the connection ended within a response");
  auto bytes = std::string(connection.buffered().substr(4, size() - 4));
  connection.consume(size());
  return bytes;
}

/// The last call that the relay under test received, and the response that it sends.
struct Exchange {
  std::string asked;
  pb::PeerResponse reply;
};

/// Serves on a free address for as long as the process lives.
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

/// An old relay calls this one: each kind of call is received unchanged, and each kind of response has the
/// bytes that an old relay would have sent, apart from the call's request id.
void called_by_old_relays() {
  auto exchange = std::make_shared<Exchange>();
  RawClient old_relay(serve(exchange));
  auto asks = old_frames("Ask."), replies = old_frames("Reply.");
  expect(asks.size() == 10 && replies.size() == 7, "fixtures are missing");
  for (size_t i = 0; i < asks.size(); ++i) {
    auto& reply = replies[i % replies.size()];
    expect(exchange->reply.ParseFromString(reply), "an old response cannot be parsed");
    old_relay.send(length_of(asks[i]) + asks[i]);
    pb::PeerResponse back;
    expect(back.ParseFromString(read_frame(*old_relay.connection)), "the response cannot be parsed");
    expect(exchange->asked == asks[i], fmt::format("call {} was received as other bytes", i));
    pb::PeerRequest ask;
    ask.ParseFromString(asks[i]);
    expect(back.request_id() > 0 && back.request_id() == ask.request_id(), "the reply is for another ask");
    back.set_request_id(exchange->reply.request_id());
    expect(serialized(back) == reply, fmt::format("the response to call {} was sent as other bytes", i));
  }
}

/// This relay calls an old one: each kind of response is received unchanged.
void calls_old_relays() {
  auto asks = old_frames("Ask."), replies = old_frames("Reply.");
  expect(asks.size() == 10 && replies.size() == 7, "fixtures are missing");
  size_t next = 0;
  pb::PeerRequest heard;
  ScriptedPeer old_relay([&](int, const pb::PeerRequest& ask) {
    heard = ask;
    pb::PeerResponse number;
    number.set_request_id(ask.request_id());  // appended fields: parsed as one message with the response
    auto bytes = replies[next % replies.size()] + number.SerializeAsString();
    return length_of(bytes) + bytes;
  });
  net::PeerClient client;
  for (; next < asks.size(); ++next) {
    pb::PeerRequest ask;
    expect(ask.ParseFromString(asks[next]), "an old call cannot be parsed");
    auto answer = client.call(old_relay.address(), ask, kPlenty);
    auto* reply = std::get_if<pb::PeerResponse>(&answer);
    expect(reply != nullptr, fmt::format("no response to call {}", next));
    expect(reply->request_id() > 0 && reply->request_id() == heard.request_id(),
           "the reply is for another ask");
    pb::PeerResponse sent;
    sent.ParseFromString(replies[next % replies.size()]);
    reply->set_request_id(sent.request_id());
    expect(serialized(*reply) == replies[next % replies.size()], "a response was received as other bytes");
    heard.set_request_id(ask.request_id());
    expect(serialized(heard) == asks[next], fmt::format("call {} was sent as other bytes", next));
  }
}
}  // namespace

std::vector<Case> compatibility_wire_cases() {
  return {{"peer: an old relay calls this one", called_by_old_relays},
          {"peer: this relay calls an old one", calls_old_relays}};
}

}  // namespace dunlinwing::test
