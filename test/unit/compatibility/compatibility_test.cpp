/// @file
/// Checks that data written to disk and messages sent to peers by the program of commit 0a5d9f4 are still
/// read with the same meaning, whatever names messages, fields and files have now.
/// test/compatibility/README.md describes how the fixtures were made.
///
/// Names of the old schema occur only in schema.txt and in the names of the fixtures. The current message for
/// an old one is found by field numbers, starting from the messages in kRoots.
#include <google/protobuf/descriptor.pb.h>
#include <google/protobuf/dynamic_message.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/text_format.h>
#include <google/protobuf/util/message_differencer.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <set>

#include "config/numbered_configuration.hpp"
#include "config/release.hpp"
#include "consensus/acceptor.hpp"
#include "control_api/api_request.hpp"
#include "limits/rate_quotas.hpp"
#include "membership/deregistered.hpp"
#include "membership/leadership.hpp"
#include "node/node.hpp"
#include "rollout/rollout_controller.hpp"
#include "rollout/version_rollout.hpp"
#include "simulation/ports.hpp"
#include "storage/snapshot_store.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
namespace fs = std::filesystem;
namespace gp = google::protobuf;

const fs::path kFixtures = DUNLINWING_COMPATIBILITY_FIXTURES;
constexpr size_t kLogBytes = 1 << 20;

/// The messages that are not a field of another one, by their names in 0a5d9f4.
const std::map<std::string, const gp::Descriptor*> kRoots = {
    {"Ask", pb::PeerRequest::descriptor()},           {"Reply", pb::PeerResponse::descriptor()},
    {"Record", pb::LogRecord::descriptor()},          {"Image", pb::Snapshot::descriptor()},
    {"Rollout", pb::RolloutState::descriptor()},      {"Act", pb::OperatorAction::descriptor()},
    {"LeaderLease", pb::LeaderLease::descriptor()},   {"PurgeSet", pb::PurgeSet::descriptor()},
    {"ServiceState", pb::ServiceState::descriptor()}, {"Order", pb::NumberedConfiguration::descriptor()},
    {"Deregistered", pb::Deregistered::descriptor()}, {"Drain", pb::Drain::descriptor()},
    {"Shares", pb::RateQuotas::descriptor()},
};

/// The message type of a register, by its full name or, for a key that ends with a slash, by its prefix.
/// Null: a JSON document.
const std::map<std::string, const gp::Descriptor*> kRegisters = {
    {"act/", pb::OperatorAction::descriptor()},  {"departed", pb::Deregistered::descriptor()},
    {"drain/", pb::Drain::descriptor()},         {"duty/", pb::LeaderLease::descriptor()},
    {"holders", pb::ReplicaSet::descriptor()},   {"order", pb::NumberedConfiguration::descriptor()},
    {"purge/", pb::PurgeSet::descriptor()},      {"release/", nullptr},
    {"rollout", pb::RolloutState::descriptor()}, {"service/", pb::ServiceState::descriptor()},
    {"share/", pb::RateQuotas::descriptor()},
};

/// The fields that were texts and are bytes now, since they hold what clients and backend instances send,
/// which need not be UTF-8. Both are written alike, so each side reads what the other writes; only octets
/// that are not UTF-8 could never be sent to an old program, and still cannot.
const std::set<std::string> kTextsThatAreBytes = {
    "dunlinwing.pb.Header.value",
    "dunlinwing.pb.ForwardRequest.id",
    "dunlinwing.pb.ForwardRequest.target",
    "dunlinwing.pb.ForwardedWrite.target",
};

std::string read_file(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  expect(file.good(), "cannot read " + path.string());
  return {std::istreambuf_iterator<char>(file), {}};
}

/// The files of a fixture folder, by name.
std::map<std::string, std::string> read_folder(const std::string& folder) {
  std::map<std::string, std::string> files;
  for (auto& entry : fs::directory_iterator(kFixtures / folder))
    files[entry.path().filename().string()] = read_file(entry.path());
  expect(!files.empty(), "no fixtures in " + folder);
  return files;
}

std::string before_dot(const std::string& name) { return name.substr(0, name.find('.')); }

// ---- Comparison of the schema of 0a5d9f4 with the current one ----

/// Pairs each message of the old schema with the current one that replaces it, and fails where a reader of
/// one would not understand a writer of the other. Fields and enum values may be added.
class Pairing {
 public:
  Pairing() {
    gp::FileDescriptorProto proto;
    expect(gp::TextFormat::ParseFromString(read_file(kFixtures / "schema.txt"), &proto), "no schema");
    old_ = pool_.BuildFile(proto);
    expect(old_ != nullptr, "the old schema is not valid");
    for (auto& [name, now] : kRoots) pair(*old_->FindMessageTypeByName(name), *now);
  }

  const gp::FileDescriptor& old_file() const { return *old_; }

  const gp::Descriptor& now(const std::string& old_name) const {
    auto found = now_.find(old_file().FindMessageTypeByName(old_name));
    expect(found != now_.end(), old_name + " of the old schema is not reachable from any root message");
    return *found->second;
  }

  std::unique_ptr<gp::Message> make(const std::string& old_name) const {
    return std::unique_ptr<gp::Message>(
        gp::MessageFactory::generated_factory()->GetPrototype(&now(old_name))->New());
  }

 private:
  void pair(const gp::Descriptor& old, const gp::Descriptor& now) {
    auto [at, added] = now_.emplace(&old, &now);
    expect(at->second == &now, old.name() + " corresponds to two current messages");
    if (!added) return;
    for (int i = 0; i < old.field_count(); ++i) {
      auto* field = now.FindFieldByNumber(old.field(i)->number());
      expect(field != nullptr, old.field(i)->full_name() + ": its number no longer exists");
      pair(*old.field(i), *field);
    }
    for (int i = 0; i < old.oneof_decl_count(); ++i) same_oneof(*old.oneof_decl(i), now);
  }

  void pair(const gp::FieldDescriptor& old, const gp::FieldDescriptor& now) {
    auto name = old.full_name() + ", now " + now.full_name();
    same(std::string(now.type_name()),
         kTextsThatAreBytes.count(now.full_name()) ? "bytes" : std::string(old.type_name()), name + ": type");
    if (kTextsThatAreBytes.count(now.full_name()))
      same(std::string(old.type_name()), "string", name + ": old type");
    same(int(now.label()), int(old.label()), name + ": label");
    same(now.is_packed(), old.is_packed(), name + ": packed");
    same(now.is_map(), old.is_map(), name + ": map");
    same(now.has_presence(), old.has_presence(), name + ": presence");
    same(!now.containing_oneof(), !old.containing_oneof(), name + ": outside of any oneof");
    auto* namesake = old.containing_type()->FindFieldByName(now.name());
    expect(!namesake || namesake == &old, name + ": the old schema uses this name with another number");
    if (old.message_type()) pair(*old.message_type(), *now.message_type());
    if (old.enum_type()) same_values(*old.enum_type(), *now.enum_type());
  }

  void same_values(const gp::EnumDescriptor& old, const gp::EnumDescriptor& now) {
    for (int i = 0; i < old.value_count(); ++i) {
      auto* value = now.FindValueByNumber(old.value(i)->number());
      expect(value != nullptr, old.value(i)->full_name() + ": its number no longer exists");
      auto* namesake = old.FindValueByName(value->name());
      expect(!namesake || namesake->number() == value->number(),
             value->full_name() + ": the old schema uses this name with another number");
    }
  }

  void same_oneof(const gp::OneofDescriptor& old, const gp::Descriptor& now) {
    std::set<const gp::OneofDescriptor*> places;
    for (int i = 0; i < old.field_count(); ++i)
      places.insert(now.FindFieldByNumber(old.field(i)->number())->containing_oneof());
    expect(places.size() == 1 && *places.begin(), old.full_name() + " is no longer one oneof");
  }

  gp::DescriptorPool pool_;
  const gp::FileDescriptor* old_ = nullptr;
  std::map<const gp::Descriptor*, const gp::Descriptor*> now_;
};

void schema_is_the_same() {
  Pairing pairing;
  auto& old = pairing.old_file();
  same(old.message_type_count(), 48, "messages of the old schema");
  for (int i = 0; i < old.message_type_count(); ++i) pairing.now(old.message_type(i)->name());
}

// ---- Bytes of single messages ----

std::string serialized(const gp::Message& message) {
  std::string out;
  {
    gp::io::StringOutputStream stream(&out);
    gp::io::CodedOutputStream coded(&stream);
    coded.SetSerializationDeterministic(true);
    expect(message.SerializeToCodedStream(&coded), "cannot be serialized");
  }
  return out;
}

/// Fails when the message has unknown fields at any depth.
void expect_no_unknown_fields(const gp::Message& message, const std::string& what) {
  auto* reflection = message.GetReflection();
  expect(reflection->GetUnknownFields(message).empty(),
         what + ": unknown fields in " + message.GetDescriptor()->name());
  std::vector<const gp::FieldDescriptor*> fields;
  reflection->ListFields(message, &fields);
  for (auto* field : fields) {
    if (!field->message_type()) continue;
    if (!field->is_repeated()) expect_no_unknown_fields(reflection->GetMessage(message, field), what);
    for (int i = 0; field->is_repeated() && i < reflection->FieldSize(message, field); ++i)
      expect_no_unknown_fields(reflection->GetRepeatedMessage(message, field, i), what);
  }
}

void parse_known(gp::Message& message, const std::string& bytes, const std::string& what) {
  expect(message.ParseFromString(bytes), what + " does not parse");
  expect_no_unknown_fields(message, what);
}

void same_bytes(const Pairing& pairing, const std::string& folder) {
  for (auto& [name, bytes] : read_folder(folder)) {
    auto message = pairing.make(before_dot(name));
    parse_known(*message, bytes, name);
    expect(serialized(*message) == bytes, name + " has different bytes when serialized again");
  }
}

/// Checks one frame for each kind of request and response, each with every field set.
void peer_frames() {
  Pairing pairing;
  same_bytes(pairing, "frames");
  auto frames = read_folder("frames");
  for (auto* message : {"Ask", "Reply"}) {
    auto* kinds = pairing.old_file().FindMessageTypeByName(message)->oneof_decl(0);
    for (int i = 0; i < kinds->field_count(); ++i)
      expect(frames.count(fmt::format("{}.{}", message, kinds->field(i)->number())),
             "no frame for " + kinds->field(i)->full_name());
  }
}

void single_messages() {
  Pairing pairing;
  same_bytes(pairing, "messages");
  same(read_folder("messages").size(), size_t(46), "messages except peer requests and responses");
}

/// Fails unless the new document contains all members of the old one. Members may be added.
void expect_members_kept(const base::Json& now, const base::Json& old, const std::string& at) {
  auto members = old.members();
  for (auto& [key, value] : members) {
    auto place = fmt::format("{}/{}", at, key);
    expect(now.has(key.c_str()), place + " is missing");
    expect_members_kept(now.at(key.c_str()), value, place);
  }
  auto old_items = old.items(), items = now.items();
  same(items.size(), old_items.size(), at + ": items");
  for (size_t i = 0; i < items.size(); ++i)
    expect_members_kept(items[i], old_items[i], fmt::format("{}/{}", at, i));
  if (members.empty() && old_items.empty()) same(now.text(), old.text(), at);
}

base::Json parsed(const std::string& text, const std::string& what) {
  auto json = base::Json::parse(text);
  expect(std::holds_alternative<base::Json>(json), what + " is not JSON");
  return std::get<base::Json>(json);
}

/// The control API returns stored messages with the names of their fields, which are part of the API.
void printed_names() {
  Pairing pairing;
  for (auto& [name, text] : read_folder("json")) {
    if (!name.ends_with(".json")) continue;
    auto stem = name.substr(0, name.rfind('.'));
    auto message = pairing.make(before_dot(name));
    parse_known(*message, read_file(kFixtures / "json" / (stem + ".bin")), stem);
    expect_members_kept(parsed(control_api::message_json(*message), stem), parsed(text, name), stem);
  }
}

// ---- A replica's data folder ----

std::string from_hex(const std::string& text) {
  std::string out;
  for (size_t i = 0; i + 1 < text.size(); i += 2)
    out.push_back(static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16)));
  return out;
}

/// The contents of the data folder as read by the old program.
struct Expected {
  int stage = 0;
  pb::ReplicaSet set;
  std::map<std::string, pb::RegisterState> registers;
};

Expected expected() {
  Expected out;
  std::istringstream lines(read_file(kFixtures / "registers.txt"));
  for (std::string kind, name, bytes; lines >> kind;) {
    if (kind == "stage") lines >> out.stage;
    if (kind == "set") lines >> bytes, parse_known(out.set, from_hex(bytes), "set");
    if (kind == "register") lines >> name >> bytes, parse_known(out.registers[name], from_hex(bytes), name);
  }
  return out;
}

void same_snapshot(const base::LoadedSnapshot& loaded) {
  auto want = expected();
  expect(!loaded.possibly_lost && !loaded.unwritten,
         "the data folder is reported as possibly lost or unwritten");
  same(int(loaded.snapshot.stage()), want.stage, "stage");
  expect(serialized(loaded.snapshot.replica_set()) == serialized(want.set), "the replica set differs");
  same(size_t(loaded.snapshot.registers_size()), want.registers.size(), "registers");
  for (auto& slot : loaded.snapshot.registers()) {
    expect_no_unknown_fields(slot, slot.name());
    expect(want.registers.count(slot.name()) && serialized(slot) == serialized(want.registers[slot.name()]),
           "register " + slot.name() + " differs");
  }
}

/// A temporary copy of the fixture.
struct FolderCopy {
  fs::path path = fs::temp_directory_path() / fmt::format("dunlinwing-compatibility-{}", ::getpid());
  FolderCopy() {
    fs::remove_all(path);
    fs::copy(kFixtures / "data", path);
  }
  ~FolderCopy() { fs::remove_all(path); }

  base::LoadedSnapshot load() const {
    auto folder = storage::open_folder(path.string());
    expect(std::holds_alternative<std::unique_ptr<storage::Files>>(folder), "the folder cannot be opened");
    return storage::SnapshotStore(std::move(std::get<std::unique_ptr<storage::Files>>(folder)), kLogBytes)
        .load();
  }
};

/// Loads the folder as the old program left it, and again as rewritten by the current program during the
/// load.
void data_folder_is_loaded() {
  FolderCopy copy;
  same_snapshot(copy.load());
  same_snapshot(copy.load());
}

/// The replica that owns the data folder, in a separate simulation.
struct Replica {
  struct NoOrigin final : base::Origin {
    bool can_connect(const std::string&, Duration) override { return false; }
    std::variant<base::Response, base::AttemptError> send(const std::string&, const base::Request&,
                                                          const base::AttemptRules&) override {
      return base::AttemptError::not_sent;
    }
  };

  simulation::World world{7};
  simulation::ProcessRunPtr process = std::make_shared<simulation::ProcessRun>();
  simulation::DiskContents disk_contents{read_folder("data")};
  simulation::Directory directory;
  int64_t wall = 0;
  simulation::Clock clock{world, process, &wall};
  simulation::Random random{world};
  simulation::Tasks tasks{world, process};
  simulation::Net net{world, process, directory};
  NoOrigin origin;
  base::Ports ports{clock, random, tasks, net, origin};
  simulation::Disk disk{world, process, disk_contents};
  consensus::ReplicaSetView set{{{"a1", "peer:a1"}}};
  consensus::Acceptor acceptor{ports, disk, "a1", set, Duration(500)};

  /// Runs `steps` after the replica has started, within a minute of simulated time.
  void run(const std::function<void()>& steps) {
    std::string failure = "the steps did not finish";
    world.run(world.now() + Duration(60000), nullptr, [&] {
      process->host = "a1";
      acceptor.start({});
      world.spawn(process, [&] {
        try {
          steps();
          failure.clear();
        } catch (const std::exception& failed) {
          failure = failed.what();
        }
      });
    });
    world.kill(process);
    world.run(world.now() + Duration(1000), nullptr, nullptr);
    expect(failure.empty(), failure);
  }

  pb::PeerRequest request() const {
    pb::PeerRequest request;
    request.set_epoch(set.epoch());
    return request;
  }
  pb::Vote read(const std::string& name) {
    auto read = request();
    read.mutable_read_register()->set_name(name);
    return acceptor.handle(read).vote();
  }
  pb::Vote prepare(const std::string& name, const pb::Ballot& ballot) {
    auto prepare = request();
    prepare.mutable_prepare()->set_name(name);
    *prepare.mutable_prepare()->mutable_ballot() = ballot;
    return acceptor.handle(prepare).vote();
  }
};

/// Checks that an earlier promise still binds and that a higher ballot receives the accepted value.
void votes_as_before(Replica& replica, const std::string& name, const pb::RegisterState& state) {
  auto present = replica.read(name);
  expect(present.granted() && serialized(present.register_state()) == serialized(state),
         name + ": a different state is read");
  expect(state.promised().round() > 0, name + " has no promise");
  auto again = replica.prepare(name, state.promised());
  expect(!again.granted() && !again.non_voting(), name + ": promised twice under one ballot");
  auto higher = state.promised();
  higher.set_round(higher.round() + 1);
  auto vote = replica.prepare(name, higher);
  expect(vote.granted(), name + ": no promise to a higher ballot");
  expect(serialized(vote.register_state().promised()) == serialized(higher), name + ": the promise differs");
  expect(serialized(vote.register_state().accepted()) == serialized(state.accepted()),
         name + ": the accepted ballot differs");
  expect(serialized(vote.register_state().value()) == serialized(state.value()),
         name + ": the value differs");
}

void replica_votes() {
  Replica replica;
  auto want = expected();
  replica.run([&] {
    expect(!replica.acceptor.non_voting(), "the replica does not vote");
    same(replica.set.epoch(), want.set.epoch(), "epoch");
    for (auto& [name, state] : want.registers) votes_as_before(replica, name, state);
  });
}

void register_values() {
  std::set<std::string> met;
  for (auto& [name, state] : expected().registers) {
    auto slash = name.find('/');
    auto kind = slash == name.npos ? name : name.substr(0, slash + 1);
    auto type = kRegisters.find(kind);
    expect(type != kRegisters.end(), "the type of register " + name + " is unknown");
    met.insert(kind);
    auto& bytes = state.value().data();
    if (!type->second) {
      parsed(bytes, name);
      continue;
    }
    std::unique_ptr<gp::Message> value(
        gp::MessageFactory::generated_factory()->GetPrototype(type->second)->New());
    parse_known(*value, bytes, name);
    same(value->ByteSizeLong(), bytes.size(), name + ": size when serialized again");
  }
  same(met.size(), kRegisters.size(), "kinds of registers in the data folder");
}

void register_names() {
  same(std::string(rollout::kRolloutKey), std::string("rollout"), "rollout");
  same(std::string(config::kNumberedConfigurationKey), std::string("order"), "numbered configuration");
  same(std::string(membership::kDeregisteredKey), std::string("departed"), "deregistered instances");
  same(std::string(consensus::kReplicaSetKey), std::string("holders"), "replica set");
  same(membership::leadership_key("rollout"), std::string("duty/rollout"), "lease");
  same(rollout::service_key("x"), std::string("service/x"), "service");
  same(limits::quota_key("x"), std::string("share/x"), "shares");
  same(config::release_key("layout", "x"), std::string("release/layout/x"), "release");
  same(config::operator_action_key("layout", "x"), std::string("act/layout/x"),
       "operator actions on a release");
  same(node::drain_key("node", "x"), std::string("drain/node/x"), "drain");
}

// ---- The framing of records ----

void record_framing() {
  const std::string payload = "one record";
  const std::string framed = from_hex("314c77640a000000530dca2159648617") + payload;
  expect(storage::frame(payload) == framed, "a record is framed with different bytes");
  auto [payloads, tail] = storage::unframe(framed + framed);
  expect(tail == storage::Tail::clean && payloads == std::vector<std::string>{payload, payload},
         "a framed record cannot be read");
  for (auto& [name, bytes] : read_folder("data")) {
    auto [parts, end] = storage::unframe(bytes);
    expect(end == storage::Tail::clean && parts.size() >= 2, name + " cannot be read to its end");
    std::string again;
    for (auto& part : parts) again += storage::frame(part);
    expect(again == bytes, name + " has different bytes when framed again");
  }
}
}  // namespace

std::vector<Case> compatibility_cases() {
  return {{"compatibility: field numbers and types are those of old peers and disks", schema_is_the_same},
          {"compatibility: frames of old peers keep their bytes", peer_frames},
          {"compatibility: messages of old programs keep their bytes", single_messages},
          {"compatibility: the control API keeps the old field names", printed_names},
          {"compatibility: the framing of records", record_framing},
          {"compatibility: an old data folder is loaded", data_folder_is_loaded},
          {"compatibility: a replica on an old data folder votes as before", replica_votes},
          {"compatibility: values of old registers are read", register_values},
          {"compatibility: names of registers", register_names}};
}

}  // namespace dunlinwing::test
