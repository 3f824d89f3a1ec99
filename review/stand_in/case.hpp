// What the programs of the cases have in common.
#ifndef REVIEW_STAND_IN_CASE_HPP_
#define REVIEW_STAND_IN_CASE_HPP_

#include <cstdlib>
#include <iostream>
#include <string>

#include "box.hpp"
#include "client.hpp"
#include "engine.hpp"
#include "record.hpp"
#include "store.hpp"

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;
constexpr char kKey[] = "asnmgkcuyj8pjbvk9m68";

// Whether the disruption takes place.
inline auto Trouble() -> bool {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

// Ends the program without destructors: threads of stand-ins still run.
[[noreturn]] inline void Finish(Record* record,
                                int code,
                                const std::string& verdict) {
  record->Line(verdict);
  std::cout << verdict << "\n" << std::flush;
  std::_Exit(code);
}

}  // namespace review

#endif  // REVIEW_STAND_IN_CASE_HPP_
