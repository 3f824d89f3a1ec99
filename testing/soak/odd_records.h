// Records that some other writer leaves among those of targets and boxes.
//
//   world.Put(topic, key, OddRecord(number, target_record));
#ifndef TESTING_SOAK_ODD_RECORDS_H_
#define TESTING_SOAK_ODD_RECORDS_H_

#include <string>

#include "sparbend/core/json.h"

namespace sparbend::testing {

// One of several that can't be decoded, or that hold values out of range in
// the place of those of `sound`.
auto OddRecord(int number, const Json& sound) -> std::string;

}  // namespace sparbend::testing

#endif  // TESTING_SOAK_ODD_RECORDS_H_
