// RapidJSON behind the Json and Schema faces. Its validator stops at the first
// defect, so a schema is taken apart into levels, each checked on its own, and what
// is missing or unknown is told by hand: a document hears of all that is wrong.
#include "base/json.hpp"

#define RAPIDJSON_HAS_STDSTRING 1
#include <fmt/format.h>
#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/schema.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <stdexcept>

namespace dunlinwing::base {
namespace rj = rapidjson;

struct Json::Impl {
  std::shared_ptr<rj::Document> doc;
  const rj::Value* v = nullptr;
};

Json::Json() {
  static const auto none = [] {
    auto i = std::make_shared<Impl>();
    i->doc = std::make_shared<rj::Document>();
    i->v = i->doc.get();
    return i;
  }();
  impl_ = none;
}

namespace {
// RapidJSON keeps the last of two members of one name; an operator who wrote
// a key twice should be told instead.
std::optional<ValidationError> twice(const rj::Value& v, const std::string& at) {
  if (v.IsObject()) {
    std::map<std::string, int> n;
    for (auto& m : v.GetObject()) {
      std::string k = m.name.GetString();
      if (++n[k] > 1) return ValidationError{at + "/" + k, "the key stands twice"};
      if (auto d = twice(m.value, at + "/" + k)) return d;
    }
  } else if (v.IsArray()) {
    for (rj::SizeType i = 0; i < v.Size(); ++i)
      if (auto d = twice(v[i], fmt::format("{}/{}", at, i))) return d;
  }
  return {};
}
}  // namespace

std::variant<Json, ValidationError> Json::parse(std::string_view t) {
  auto d = std::make_shared<rj::Document>();
  d->Parse<rj::kParseIterativeFlag | rj::kParseValidateEncodingFlag>(t.data(), t.size());
  if (d->HasParseError())
    return ValidationError{"", fmt::format("not JSON at byte {}: {}", d->GetErrorOffset(),
                                           rj::GetParseError_En(d->GetParseError()))};
  if (auto w = twice(*d, "")) return *w;
  auto i = std::make_shared<Impl>();
  i->doc = d;
  i->v = d.get();
  Json json;
  json.impl_ = i;
  return json;
}

bool Json::has(const char* k) const { return impl_->v->IsObject() && impl_->v->HasMember(k); }

Json Json::at(const char* k) const {
  if (!has(k)) return {};
  auto i = std::make_shared<Impl>(*impl_);
  i->v = &(*impl_->v)[k];
  Json json;
  json.impl_ = i;
  return json;
}

std::vector<std::pair<std::string, Json>> Json::members() const {
  std::vector<std::pair<std::string, Json>> out;
  if (impl_->v->IsObject())
    for (auto& m : impl_->v->GetObject()) out.emplace_back(m.name.GetString(), at(m.name.GetString()));
  return out;
}

std::vector<Json> Json::items() const {
  std::vector<Json> out;
  if (!impl_->v->IsArray()) return out;
  for (auto& e : impl_->v->GetArray()) {
    auto i = std::make_shared<Impl>(*impl_);
    i->v = &e;
    Json json;
    json.impl_ = i;
    out.push_back(json);
  }
  return out;
}

std::string Json::string_or(const std::string& def) const {
  return impl_->v->IsString() ? std::string(impl_->v->GetString(), impl_->v->GetStringLength()) : def;
}
int64_t Json::integer_or(int64_t def) const { return impl_->v->IsInt64() ? impl_->v->GetInt64() : def; }
double Json::real_or(double def) const { return impl_->v->IsNumber() ? impl_->v->GetDouble() : def; }
bool Json::bool_or(bool def) const { return impl_->v->IsBool() ? impl_->v->GetBool() : def; }

std::vector<std::string> Json::strings() const {
  std::vector<std::string> out;
  for (auto& i : items()) out.push_back(i.string_or());
  return out;
}

std::string Json::text() const {
  rj::StringBuffer b;
  rj::Writer<rj::StringBuffer> w(b);
  impl_->v->Accept(w);
  return b.GetString();
}

struct Schema::Impl {
  struct Node {
    std::unique_ptr<rj::Document> text;  // this level alone, its children left open
    std::unique_ptr<rj::SchemaDocument> doc;
    std::map<std::string, std::unique_ptr<Node>> named;
    std::unique_ptr<Node> others, items;
    bool closed = false;
    std::vector<std::string> required;
  };
  Node root;
};

namespace {
void build(const rj::Value& s, Schema::Impl::Node& n) {
  n.text = std::make_unique<rj::Document>();
  n.text->CopyFrom(s, n.text->GetAllocator());
  auto child = [](const rj::Value& v) {
    auto c = std::make_unique<Schema::Impl::Node>();
    build(v, *c);
    return c;
  };
  auto& t = *n.text;
  if (s.HasMember("properties"))
    for (auto& m : s["properties"].GetObject()) {
      n.named[m.name.GetString()] = child(m.value);
      t["properties"][m.name.GetString()].SetObject();
    }
  if (s.HasMember("additionalProperties")) {
    if (s["additionalProperties"].IsObject()) {
      n.others = child(s["additionalProperties"]);
      t["additionalProperties"].SetObject();
    } else {
      n.closed = !s["additionalProperties"].GetBool();
      t.RemoveMember("additionalProperties");
    }
  }
  if (s.HasMember("items")) {
    n.items = child(s["items"]);
    t["items"].SetObject();
  }
  if (s.HasMember("required"))
    for (auto& r : s["required"].GetArray()) n.required.push_back(r.GetString());
  t.RemoveMember("required");
  n.doc = std::make_unique<rj::SchemaDocument>(t);
}

void walk(const rj::Value& v, const Schema::Impl::Node& n, const std::string& at,
          std::vector<ValidationError>& out) {
  rj::SchemaValidator val(*n.doc);
  if (!v.Accept(val)) {
    std::string k = val.GetInvalidSchemaKeyword() ? val.GetInvalidSchemaKeyword() : "schema";
    rj::StringBuffer b;
    rj::Writer<rj::StringBuffer> w(b);
    if (n.text->HasMember(k)) (*n.text)[k].Accept(w);
    out.push_back({at, fmt::format("breaks {} {}", k, b.GetString())});
  }
  if (v.IsObject())
    for (auto& r : n.required)
      if (!v.HasMember(r)) out.push_back({at + "/" + r, "is missing"});
  if (v.IsObject())
    for (auto& m : v.GetObject()) {
      std::string k = m.name.GetString(), here = at + "/" + k;
      if (auto f = n.named.find(k); f != n.named.end())
        walk(m.value, *f->second, here, out);
      else if (n.others)
        walk(m.value, *n.others, here, out);
      else if (n.closed)
        out.push_back({here, "is not a known key"});
    }
  if (v.IsArray() && n.items)
    for (rj::SizeType i = 0; i < v.Size(); ++i) walk(v[i], *n.items, fmt::format("{}/{}", at, i), out);
}
}  // namespace

Schema::Schema(std::string_view t) {
  auto p = std::make_shared<Impl>();
  rj::Document d;
  d.Parse(t.data(), t.size());
  if (d.HasParseError()) throw std::logic_error("a built-in schema is not JSON");
  build(d, p->root);
  impl_ = p;
}

std::vector<ValidationError> Schema::check(const Json& json) const {
  std::vector<ValidationError> out;
  walk(*json.impl_->v, impl_->root, "", out);
  return out;
}

std::string quote(std::string_view s) {
  rj::StringBuffer b;
  rj::Writer<rj::StringBuffer> w(b);
  w.String(s.data(), static_cast<rj::SizeType>(s.size()));
  return b.GetString();
}

}  // namespace dunlinwing::base
