#include "sparbend/kernel/rpc.h"

#include <CppUTest/TestHarness.h>

#include "sparbend/core/json.h"

namespace sparbend {
namespace {

TEST_GROUP(Rpc) {
  RpcServer server;

  void setup() override {
    server.Add("echo", [](const std::string& params) { return params; });
    server.Add("text", [](const std::string&) {
      return Json("\"result\":\"result-0\"").dump();
    });
  }
};

// Guards against an answer with the result of another call, or with a text of
// the caller taken for the place of a result.
TEST(Rpc, EachCallGetsItsOwnResult) {
  struct Case {
    const char* request;
    const char* answer;
  };
  const Case cases[] = {
      {R"({"jsonrpc":"2.0","id":1,"method":"echo","params":{"a":[1,"b"]}})",
       R"({"id":1,"jsonrpc":"2.0","result":{"a":[1,"b"]}})"},
      {R"({"jsonrpc":"2.0","id":"\"result\":\"result-0\"","method":"echo",
           "params":{}})",
       R"({"id":"\"result\":\"result-0\"","jsonrpc":"2.0","result":{}})"},
      {R"([{"jsonrpc":"2.0","id":1,"method":"text","params":{}},
           {"jsonrpc":"2.0","id":2,"method":"echo","params":{"c":2}}])",
       R"([{"id":1,"jsonrpc":"2.0","result":"\"result\":\"result-0\""},
           {"id":2,"jsonrpc":"2.0","result":{"c":2}}])"},
  };
  for (const Case& one : cases)
    CHECK_TEXT(
        Json::parse(server.Handle(one.request)) == Json::parse(one.answer),
        server.Handle(one.request).c_str());
}

TEST(Rpc, UnknownMethodIsAnError) {
  const Json answer = Json::parse(
      server.Handle(R"({"jsonrpc":"2.0","id":1,"method":"no","params":{}})"));
  CHECK(answer.contains("error") && !answer.contains("result"));
}

}  // namespace
}  // namespace sparbend
