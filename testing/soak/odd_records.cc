#include "testing/soak/odd_records.h"

#include <vector>

namespace sparbend::testing {
namespace {

constexpr size_t kDepth = 200'000;

auto With(Json record, const char* name, const Json& value) -> std::string {
  record[name] = value;
  return record.dump();
}

// A number that JSON allows and no integer type holds.
auto WithNumber(Json record, const char* name, const std::string& number)
    -> std::string {
  record[name] = "the number";
  std::string text = record.dump();
  const std::string mark = "\"the number\"";
  return text.replace(text.find(mark), mark.size(), number);
}

}  // namespace

auto OddRecord(int number, const Json& sound) -> std::string {
  const std::string huge = "9" + std::string(40, '0');
  const std::vector<std::string> odd = {
      std::string(kDepth, '['),
      R"({"service":)" + std::string(kDepth, '[') + std::string(kDepth, ']') +
          "}",
      With(sound, "address", "127.0.0.1:0"),
      With(sound, "address", "127.0.0.1:65536"),
      With(sound, "address", "127.0.0.1:-1"),
      With(sound, "address", "127.0.0.1:99999999999"),
      With(sound, "born", -1),
      With(sound, "born", "yesterday"),
      WithNumber(sound, "born", huge),
      WithNumber(sound, "born", "1e999"),
      WithNumber(sound, "seq", huge),
      WithNumber(sound, "slots", huge),
      WithNumber(sound, "cold-left-ms", "-" + huge),
      std::string("\xff\xfe\0\x80", 4),
      "null",
      "[]",
  };
  return odd[static_cast<size_t>(number) % odd.size()];
}

}  // namespace sparbend::testing
