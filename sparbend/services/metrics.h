// The daemon's Prometheus metrics. Names and meanings stand in
// docs/OPERATIONS.md.
#ifndef SPARBEND_SERVICES_METRICS_H_
#define SPARBEND_SERVICES_METRICS_H_

#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "sparbend/kernel/kernel.h"

namespace sparbend {

class Metrics : public Service {
 public:
  Metrics();

  // Text exposition of everything.
  auto Render() const -> std::string;

  // A caller's request ended with `status`; `verdict` as sent.
  void CountAnswer(int status, std::string_view verdict);

  prometheus::Counter& retries;
  prometheus::Counter& resumes;
  prometheus::Counter& retries_denied;
  prometheus::Counter& connections;  // opened to targets
  prometheus::Counter& foreign_answers;
  prometheus::Counter& ejections;
  prometheus::Counter& runs_ended_with_target;
  prometheus::Counter& quarantine_refusals;
  prometheus::Counter& list_refusals;
  prometheus::Counter& backoffs_asked;
  prometheus::Counter& store_calls;
  prometheus::Counter& store_failures;
  prometheus::Counter& caller_left;
  prometheus::Counter& connections_refused;  // of callers, closed unread
  prometheus::Counter& tokens;
  prometheus::Counter& peer_bytes_sent;  // IP and UDP headers included
  prometheus::Counter& peer_datagrams_sent;
  prometheus::Counter& peer_datagrams_refused;
  prometheus::Counter& control_cpu_us;  // time spent deciding and telling
  prometheus::Counter& platform_bytes;
  prometheus::Counter& claims_won;
  prometheus::Counter& claims_lost;
  prometheus::Counter& claim_appends;
  prometheus::Gauge& callers_waiting;  // connected and not read yet
  prometheus::Gauge& queued;
  prometheus::Gauge& in_flight;
  prometheus::Gauge& config_offset;
  prometheus::Gauge& evacuated_halls;
  prometheus::Gauge& quarantined;
  prometheus::Gauge& live_boxes;
  prometheus::Gauge& fleet_sum_age;
  prometheus::Gauge& log_lines_dropped;
  prometheus::Histogram& queue_seconds;
  prometheus::Histogram& first_byte_seconds;
  // From the last list that named a target as usable to the one that does not:
  // the most by which its withdrawal can be late.
  prometheus::Histogram& withdrawal_seconds;
  // From a target's first refusal with Retry-After to the last one within the
  // time that it asked for: how late a request still reached it.
  prometheus::Histogram& backoff_last_refusal_seconds;

 private:
  explicit Metrics(std::shared_ptr<prometheus::Registry> registry);

  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& answers_;
};

}  // namespace sparbend

#endif  // SPARBEND_SERVICES_METRICS_H_
