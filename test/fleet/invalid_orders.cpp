#include "fleet/invalid_orders.hpp"

#include <fmt/format.h>

#include <functional>

namespace dunlinwing::test {
namespace {
constexpr size_t kLevels[] = {70, 400, 2000, 100'000};
constexpr size_t kManyEntries =
    30'000;  // few enough that a slow link carries them to the coordinator in time
constexpr size_t kLongKeyBytes = 200'000;
constexpr size_t kTooManyBytes = (8U << 20) + 1;  // beyond the body limit of the control API

std::string repeated(std::string_view text, size_t times) {
  std::string all;
  all.reserve(text.size() * times);
  for (size_t i = 0; i < times; ++i) all += text;
  return all;
}

std::string different_numbers() {
  std::string numbers = "0";
  for (size_t i = 1; i < kManyEntries; ++i) numbers += fmt::format(",{}", i);
  return numbers;
}

std::string different_members() {
  std::string members = "\"k\":0";
  for (size_t i = 1; i < kManyEntries; ++i) members += fmt::format(",\"k{}\":0", i);
  return members;
}

/// A JSON value that no reader may accept in any place, or a text that is none.
struct Form {
  std::string name;
  std::function<std::string(std::mt19937_64&)> value;
};

size_t draw_levels(std::mt19937_64& random) { return kLevels[random() % std::size(kLevels)]; }

const std::vector<Form>& value_forms() {
  static const std::vector<Form> forms = {
      {"arrays in arrays",
       [](auto& random) {
         const size_t levels = draw_levels(random);
         return std::string(levels, '[') + std::string(levels, ']');
       }},
      {"objects in objects",
       [](auto& random) {
         const size_t levels = draw_levels(random);
         return repeated("{\"a\":", levels) + "1" + std::string(levels, '}');
       }},
      {"arrays and objects by turns",
       [](auto& random) {
         const size_t levels = draw_levels(random) / 2;
         return repeated("[{\"a\":", levels) + "1" + repeated("}]", levels);
       }},
      {"brackets without an end", [](auto& random) { return std::string(draw_levels(random), '['); }},
      {"objects without an end", [](auto& random) { return repeated("{\"a\":", draw_levels(random)); }},
      {"a string without an end", [](auto&) { return std::string("\"a"); }},
      {"half an escape", [](auto&) { return std::string(R"("\u12")"); }},
      {"half a surrogate pair", [](auto&) { return std::string(R"("\ud800")"); }},
      {"bytes that are not UTF-8", [](auto&) { return std::string("\"\xff\xfe\""); }},
      {"a zero byte", [](auto&) { return std::string("1\0}", 3); }},
      {"a number too large", [](auto&) { return std::string("1e999"); }},
      {"a key that stands twice", [](auto&) { return std::string(R"({"a":1,"a":2})"); }},
      {"a long key",
       [](auto&) { return "{\"" + std::string(kLongKeyBytes, 'k') + "\":[" + different_numbers() + "]}"; }},
      {"many keys", [](auto&) { return "{" + different_members() + "}"; }},
      {"many numbers", [](auto&) { return "[" + different_numbers() + "]"; }},
      {"too many values", [](auto&) { return "[1" + repeated(",1", 1U << 20) + "]"; }},
      {"too many bytes", [](auto&) { return "\"" + std::string(kTooManyBytes, 'x') + "\""; }},
      {"nothing", [](auto&) { return std::string(); }},
  };
  return forms;
}

/// Contents of configurations that are JSON of the schema's shape, and wrong.
const std::vector<Form>& configuration_forms() {
  static const auto with_route = [](const std::string& route) {
    return [route](auto&) {
      return R"({"services":{"app":{"versions":["1"]}},"routes":[{"prefix":"/","service":"app"},)" + route +
             "]}";
    };
  };
  static const std::vector<Form> forms = {
      {"an unknown service", with_route(R"({"prefix":"/a/","service":"nobody"})")},
      {"two routes with one prefix", with_route(R"({"prefix":"/","service":"app"})")},
      {"a weight below 0", with_route(R"({"prefix":"/a/","split":[{"service":"app","weight":-1}]})")},
      {"a time limit of 0", with_route(R"({"prefix":"/a/","service":"app","timeout_ms":0})")},
      {"no attempts", with_route(R"({"prefix":"/a/","service":"app","shots":0})")},
      {"a prefix without a slash", with_route(R"({"prefix":"a/","service":"app"})")},
      {"no service", with_route(R"({"prefix":"/a/"})")},
      {"an unknown key", with_route(R"({"prefix":"/a/","service":"app","other":1})")},
      {"no routes",
       [](auto&) { return std::string(R"({"services":{"app":{"versions":["1"]}},"routes":[]})"); }},
      {"routes of another type", [](auto&) { return std::string(R"({"services":{},"routes":{}})"); }},
      {"different methods",
       [](auto&) {
         return R"({"services":{"app":{}},"routes":[{"prefix":"/","service":"app","methods":[)" +
                different_numbers() + "]}]}";
       }},
      {"many services", [](auto&) { return "{\"services\":{" + different_members() + "},\"routes\":[]}"; }},
      {"unknown keys below a long name",
       [](auto&) {
         return "{\"services\":{\"" + std::string(kLongKeyBytes, 'k') + "\":{" + different_members() +
                "}},\"routes\":[]}";
       }},
      {"cut short",
       [](auto& random) {
         const std::string whole = R"({"services":{"app":{"versions":["1"]}},"routes":[{"prefix":"/"}]})";
         return whole.substr(0, 1 + random() % (whole.size() - 1));
       }},
  };
  return forms;
}

struct Resource {
  const char* method;
  const char* target;  ///< a configuration's number stands for {}
  const char* before;  ///< of the value in the body
  const char* after;
};

constexpr Resource kResources[] = {
    {"PUT", "/v1/layouts/{}", "{\"stated\":\"x\",\"content\":", "}"},
    {"PUT", "/v1/layouts/{}", "", ""},
    {"POST", "/v1/purges", "{\"service\":\"kept\",\"kind\":\"path\",\"path\":", "}"},
    {"POST", "/v1/purges", "", ""},
    {"POST", "/v1/beats", "{\"service\":\"app\",\"version\":\"1\",\"instance\":\"i0\",\"zone\":", "}"},
    {"PUT", "/v1/moves/app", "{\"version\":\"2\",\"within_ms\":", "}"},
    {"PUT", "/v1/releases/layout/invalid", "{\"content\":", "}"},
    {"PUT", "/v1/releases/system/invalid", "{\"content\":{\"quiet_hours\":", "}}"},
    {"PUT", "/v1/drains/node/r1", "{\"drained\":", "}"},
};

const Form& draw_form(const std::vector<Form>& forms, std::mt19937_64& random) {
  return forms[random() % forms.size()];
}
}  // namespace

InvalidOrder draw_invalid_order(std::mt19937_64& random, uint64_t number) {
  const bool is_configuration = random() % 3 == 0;
  const Resource& resource = is_configuration ? kResources[0] : kResources[random() % std::size(kResources)];
  const Form& form =
      draw_form(is_configuration && random() % 2 ? configuration_forms() : value_forms(), random);
  base::Request request{"", resource.method, fmt::format(fmt::runtime(resource.target), number), "", {}};
  request.body = resource.before + form.value(random) + resource.after;
  return {fmt::format("{} {}: {}", resource.method, resource.target, form.name), std::move(request)};
}

std::string draw_invalid_settings(std::mt19937_64& random) {
  const Form& form = draw_form(value_forms(), random);
  switch (random() % 3) {
    case 0:
      return form.value(random);
    case 1:
      return "{\"name\":\"r\",\"system\":" + form.value(random) + "}";
    default:
      return R"({"system":{"quiet_hours":{"from":"ab:cd","to":"99:99"}}})";
  }
}

}  // namespace dunlinwing::test
