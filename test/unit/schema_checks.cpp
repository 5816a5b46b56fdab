#include "unit/schema_checks.hpp"

#include <fstream>
#include <functional>
#include <sstream>

#include "support/expect.hpp"

namespace dunlinwing::test {

std::string error_places(const std::vector<base::ValidationError>& errors) {
  std::string places;
  for (const auto& error : errors) places += error.pointer + ";";
  return places;
}

void expect_documented(std::string_view schema, const std::string& page) {
  std::ifstream file(std::string(DUNLINWING_DOCS) + "/" + page);
  std::stringstream buffer;
  buffer << file.rdbuf();
  auto text = buffer.str();
  expect(!text.empty(), page + " cannot be read");
  auto parsed = base::Json::parse(schema);
  int keys = 0;
  std::function<void(const base::Json&)> walk = [&](const base::Json& json) {
    for (auto& [key, value] : json.at("properties").members()) {
      ++keys;
      bool there = text.find("`" + key + "`") != std::string::npos ||
                   text.find("`" + key + ".") != std::string::npos ||
                   text.find("." + key + "`") != std::string::npos ||
                   text.find("\"" + key + "\"") != std::string::npos;
      expect(there, page + " does not document " + key);
      walk(value);
    }
    if (json.has("items")) walk(json.at("items"));
    if (!json.at("additionalProperties").members().empty()) walk(json.at("additionalProperties"));
  };
  walk(std::get<base::Json>(parsed));
  expect(keys >= 8, "fewer than 8 keys were found in the schema");
}

}  // namespace dunlinwing::test
