// Tests lookups from a table of cases, and random ones against a linear scan
// over all rules.
#include "sparbend/core/route_table.h"

#include "testing/properties.h"

namespace sparbend {
namespace {

auto Rule(std::string name, std::string host, std::string prefix) -> RouteRule {
  RouteRule rule;
  rule.name = std::move(name);
  rule.host = std::move(host);
  rule.path_prefix = std::move(prefix);
  rule.pools = {{"pool", 1}};
  return rule;
}

auto NameOf(const RouteRule* rule) -> std::string {
  return rule == nullptr ? "" : rule->name;
}

TEST_GROUP(RouteTable){};

TEST(RouteTable, FindsTheLongestPrefixOfTheHost) {
  const RouteTable table({Rule("root", "a.example", "/"),
                          Rule("orders", "a.example", "/orders/"),
                          Rule("old", "a.example", "/orders/old/"),
                          Rule("other", "b.example", "/orders/")});
  struct Case {
    const char* host;
    const char* path;
    const char* name;
  };
  const Case cases[] = {
      {"a.example", "/", "root"},
      {"a.example", "/x", "root"},
      {"a.example", "/orders", "root"},
      {"a.example", "/orders/", "orders"},
      {"a.example", "/orders/17?next=/orders/old/", "orders"},
      {"a.example", "/orders/old/1", "old"},
      {"A.Example:8080", "/orders/old/1", "old"},
      {"b.example", "/", ""},
      {"b.example", "/orders/1", "other"},
      {"c.example", "/orders/1", ""},
      {"a.example", "", ""},
      {"a.example", "*", ""},
  };
  for (const Case& row : cases)
    STRCMP_EQUAL(row.name, NameOf(table.Find(row.host, row.path)).c_str());
}

TEST(RouteTable, AgreesWithALinearScan) {
  testing::CheckHolds("longest prefix", [] {
    const auto segment = rc::gen::element<std::string>("a", "b", "ab");
    const auto path =
        rc::gen::map(rc::gen::container<std::vector<std::string>>(segment),
                     [](const std::vector<std::string>& segments) {
                       std::string text = "/";
                       for (const std::string& name : segments)
                         text += name + "/";
                       return text;
                     });
    std::vector<RouteRule> rules;
    for (const std::string& prefix :
         *rc::gen::container<std::vector<std::string>>(path))
      rules.push_back(Rule(std::to_string(rules.size()), "h", prefix));
    const RouteTable table(rules);
    const std::string wanted = *path + "end";
    const RouteRule* best = nullptr;
    for (const RouteRule& rule : rules) {
      const bool longer =
          best == nullptr || rule.path_prefix.size() > best->path_prefix.size();
      if (wanted.starts_with(rule.path_prefix) && longer)
        best = &rule;
    }
    RC_ASSERT(NameOf(table.Find("h", wanted)) == NameOf(best));
  });
}

TEST(RouteTable, PicksPoolsByWeight) {
  RouteRule rule = Rule("r", "h", "/");
  rule.pools = {{"none", 0}, {"few", 1}, {"many", 9}};
  int many = 0;
  for (uint64_t random = 0; random < 1'000; ++random) {
    const std::string& pool = rule.PickPool(random);
    CHECK(pool != "none");
    many += pool == "many" ? 1 : 0;
  }
  LONGS_EQUAL(900, many);
}

}  // namespace
}  // namespace sparbend
