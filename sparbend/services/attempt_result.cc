#include "sparbend/services/attempt_result.h"

namespace sparbend {
namespace {

// Whether `error` means that the target closed the connection.
auto ClosedByTarget(const boost::system::error_code& error) -> bool {
  return error == http::error::partial_message ||
         error == http::error::end_of_stream || error == asio::error::eof ||
         error == asio::error::connection_reset ||
         error == asio::error::connection_aborted ||
         error == asio::error::broken_pipe;
}

}  // namespace

auto Failed(Verdict verdict, std::string problem, TargetOutcome outcome)
    -> AttemptResult {
  return {false, verdict, std::move(problem), true, outcome};
}

auto Interrupted(const std::string& what,
                 const boost::system::error_code& error,
                 TargetOutcome outcome) -> AttemptResult {
  AttemptResult result =
      Failed(Verdict::kMayHaveRun, what + ": " + error.message(), outcome);
  result.interrupted = ClosedByTarget(error);
  return result;
}

}  // namespace sparbend
