// What a target of a soak answers to a request: usually a whole answer, at
// times a refusal, a part of an answer, or a second one that nobody asked for.
// The same request gets the same at the same target.
//
//   const SoakAnswer answer = DrawAnswer(seen, "v2");
#ifndef TESTING_SOAK_ANSWERS_H_
#define TESTING_SOAK_ANSWERS_H_

#include <string>

#include "testing/platform_world.h"
#include "testing/soak/promises.h"

namespace sparbend::testing {

struct SoakAnswer {
  TargetScript script;
  bool ran = true;    // else it says that it did not run the request
  bool whole = true;  // it is not broken off
};

// The kind of route, by the first part of the path.
auto RouteOf(const std::string& path) -> SoakRoute;

// `version`: of the target's software, stated in each event of a stream; with
// its pool, after an @, where that is judged too.
auto DrawAnswer(const SeenRequest& seen, const std::string& version)
    -> SoakAnswer;

// A whole answer that ends within its head: it is closed or reset there.
auto AnswerCutInHead(const SeenRequest& seen) -> TargetScript;

}  // namespace sparbend::testing

#endif  // TESTING_SOAK_ANSWERS_H_
