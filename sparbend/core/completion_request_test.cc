// Against a document of the same body.
#include "sparbend/core/completion_request.h"

#include <vector>

#include "sparbend/core/json.h"
#include "testing/properties.h"

namespace sparbend {
namespace {

TEST_GROUP(CompletionRequest){};

TEST(CompletionRequest, IsReadFromTheTopLevelAlone) {
  const std::string long_prompt(1'000, 'p');
  struct Row {
    std::string body;
    std::optional<CompletionRequest> request;
  };
  const Row rows[] = {
      {R"({"model":"m","prompt":"p","stream":true})", {{"m", true, "p"}}},
      {R"({"model":"m"})", {{"m", false, ""}}},
      {R"({})", {{std::nullopt, false, ""}}},
      {R"({"model":7,"stream":1})", {{std::nullopt, false, ""}}},
      {R"({"model":["m"],"x":{"model":"n","stream":true}})",
       {{std::nullopt, false, ""}}},
      {R"({"model":"a","model":"b","stream":true,"stream":0})",
       {{"b", false, ""}}},
      {R"({"messages":[{"role":"user"}],"prompt":"p"})",
       {{std::nullopt, false, "p"}}},
      {R"({"prompt":[1,2],"messages":[]})", {{std::nullopt, false, "[]"}}},
      {R"({"prompt":")" + long_prompt + "\"}",
       {{std::nullopt, false, std::string(kMaxPromptStartBytes, 'p')}}},
      {"[]", std::nullopt},
      {"[[[[", std::nullopt},
      {"\"m\"", std::nullopt},
      {"7", std::nullopt},
      {"", std::nullopt},
      {R"({"model":"m"} x)", std::nullopt},
      {"{\"model\":\"\xff\"}", std::nullopt},
      {R"({"model":"m")", std::nullopt},
  };
  for (const Row& row : rows)
    CHECK_TEXT(ReadCompletionRequest(row.body) == row.request,
               row.body.c_str());
}

// Messages that begin alike are told apart only by what follows.
TEST(CompletionRequest, MessagesAreToldApart) {
  const auto start = [](const std::string& messages) {
    return ReadCompletionRequest(R"({"messages":)" + messages + "}")
        .value()
        .prompt_start;
  };
  const std::string messages[] = {"[]",           "[1]",
                                  "[[1]]",        R"(["1"])",
                                  R"([{"a":1}])", R"([{"a":1},{"b":1}])",
                                  R"([{"b":1}])", "[1,2]",
                                  "[12]",         "[true]"};
  for (const std::string& one : messages) {
    for (const std::string& other : messages)
      CHECK_EQUAL(one == other, start(one) == start(other));
  }
}

TEST(CompletionRequest, AgreesWithADocument) {
  testing::CheckHolds("model and stream as in a document", [] {
    const auto pieces = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("{", "}", "[", "]", ",", ":", "\"model\"",
                                      "\"stream\"", "true", "\"m\"", "1",
                                      "\"prompt\"", "\"messages\""));
    std::string body = "{";
    for (const std::string& piece : pieces)
      body += piece;
    body += "}";
    const Result<Json> document = ParseJson(body, SIZE_MAX);
    const auto request = ReadCompletionRequest(body);
    RC_ASSERT(request.has_value() == (document && document->is_object()));
    if (!request)
      return;
    const auto model = document->find("model");
    const bool has_model = model != document->end() && model->is_string();
    RC_ASSERT(request->model.has_value() == has_model);
    if (has_model)
      RC_ASSERT(*request->model == model->get<std::string>());
    const auto stream = document->find("stream");
    const bool streams = stream != document->end() && *stream == true;
    RC_ASSERT(request->stream == streams);
  });
}

}  // namespace
}  // namespace sparbend
