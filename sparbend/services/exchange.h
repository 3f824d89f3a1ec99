// One caller's request on its way through the box: what was asked, by whom,
// under which rules, and what is known of its fate so far.
#ifndef SPARBEND_SERVICES_EXCHANGE_H_
#define SPARBEND_SERVICES_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>

#include "sparbend/core/catalog.h"
#include "sparbend/core/queue.h"
#include "sparbend/core/usage_meter.h"
#include "sparbend/core/verdict.h"
#include "sparbend/services/caller.h"

namespace sparbend {

struct Exchange {
  // Asked; fixed once accepted.
  RequestId id = 0;
  std::string request_id;  // for people and targets
  std::shared_ptr<const Catalog> catalog;
  const Workspace* workspace = nullptr;  // in catalog
  const Pool* pool = nullptr;            // in catalog
  StringRequest request;
  std::string model;
  std::string idempotency_key;
  bool once = false;  // may run at most once
  bool streaming = false;
  uint64_t prefix = 0;
  Millis received;
  Millis deadline;

  // Known so far.
  Caller* caller = nullptr;
  Verdict verdict = Verdict::kNotRun;
  int attempts = 0;
  int64_t tokens = 0;            // service charged
  std::function<void()> cancel;  // ends the attempt under way
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_EXCHANGE_H_
