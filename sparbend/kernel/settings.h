// The settings of the daemon, read from a TOML file. They are checked strictly:
// unknown fields are rejected, and each problem is reported with file, line,
// field and a hint.
//
//   Result<Settings> settings = LoadSettings("/etc/sparbend/settings.toml");
#ifndef SPARBEND_KERNEL_SETTINGS_H_
#define SPARBEND_KERNEL_SETTINGS_H_

#include <map>
#include <string>
#include <vector>

#include "sparbend/core/ingress_scheduler.h"
#include "sparbend/core/json.h"
#include "sparbend/core/millis.h"
#include "sparbend/core/retry.h"

namespace sparbend {

// A TOML file as JSON, and the line of each field by its dotted path.
struct TomlFile {
  Json root;
  std::map<std::string, int> lines;
};

// Reads a TOML file. Fails with kUnreachable if it can't be read, and with
// kMalformed, file and line if it can't be parsed.
auto ReadToml(const std::string& path) -> Result<TomlFile>;

// Formats a problem as "file:line: field message (hint)", with the line of the
// field or else of the innermost table around it.
auto FormatProblem(const std::string& path,
                   const TomlFile& file,
                   const Problem& problem) -> std::string;

struct Settings {
  std::string path;  // of the file that the settings were read from
  std::string name;  // of this box
  std::string hall;  // of this box
  std::string client_address;
  std::string admin_address;
  std::string peer_address;
  // Address for RPC calls of other boxes; empty: the admin address.
  std::string peer_rpc_address;
  std::vector<std::string> seeds;  // peer RPC addresses of some boxes
  // Either the platform's store, or a separate configuration log and target
  // list.
  std::string log_address;
  std::string list_address;
  std::string store_address;
  std::string peer_key;     // secret
  std::string admin_token;  // secret
  std::string log_level;
  Policy policy = Policy::kHybrid;
  // Processor share of the box in thousandths of a core; 0: not specified.
  int processor = 0;
  // Maximum number of client connections, within the memory of the process.
  int64_t connections = 0;
  int64_t memory_mb = 0;     // memory of the process; 0: not specified
  int64_t max_fds = 0;       // file descriptors of the process; 0: no limit
  int64_t header_bytes = 0;  // maximum size of a request's header
  int64_t body_bytes = 0;    // maximum size of a request's body
  // Time limits.
  Millis idle_time;     // a client's connection without a request
  Millis receive_time;  // from the first to the last byte of a client's request
  Millis send_time;     // one write to a client that does not read
  Millis request_time;  // from receipt of a request to the end of its answer
  Millis connect_time;  // connecting to a target
  // How long a leaving target continues to serve; 0: not specified.
  Millis target_drain;
  Millis response_stall_timeout;  // between two bytes of a target's answer
  // Connections to targets that have been idle for longer are not used again.
  // The second limit applies to requests that must run at most once; 0: these
  // always use a new connection.
  Millis target_idle_time;
  Millis once_target_idle_time;
  // A planned stop: the delay before new connections are refused, and the time
  // after which it no longer waits for running requests.
  Millis drain_notice;
  Millis drain_time;
  QueueLimits queue;  // of all queues of the box together
  // The retry budget of the fleet; if its window is zero, each workspace has a
  // budget of its own instead.
  FleetRetryBudget::Limits retry_limits;
};

// Reads and checks the settings. The detail of an error holds all problems, one
// per line.
auto LoadSettings(const std::string& path) -> Result<Settings>;

}  // namespace sparbend

#endif  // SPARBEND_KERNEL_SETTINGS_H_
