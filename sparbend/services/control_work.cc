#include "sparbend/services/control_work.h"

#include <array>

namespace sparbend {

auto ToString(ControlWork work) -> std::string_view {
  constexpr std::array<std::string_view, kControlWorkCount> kNames = {
      "load-report",    "hall-aggregate", "fleet-aggregate",
      "stream-origins", "schedule",       "report",
      "send",           "list-read",      "list-from-peer",
      "list-for-peer",  "configuration"};
  return kNames[static_cast<size_t>(work)];
}

}  // namespace sparbend
