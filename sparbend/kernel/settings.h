// The daemon's settings: TOML, checked strictly. Every problem is reported
// with file, line, field and a hint; nothing unknown is accepted.
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

// A TOML file as JSON, with the line of each field by its dotted path.
struct TomlFile {
  Json root;
  std::map<std::string, int> lines;
};

// kUnreachable if it can't be read; kMalformed with file and line if it does
// not parse.
auto ReadToml(const std::string& path) -> Result<TomlFile>;

// "file:line: field: message (hint)", with the line of the field or of the
// closest table around it.
auto FormatProblem(const std::string& path,
                   const TomlFile& file,
                   const Problem& problem) -> std::string;

struct Settings {
  std::string path;  // of the file it was read from
  std::string name;
  std::string hall;
  std::string caller_address;
  std::string admin_address;
  std::string peer_address;
  // Where boxes call this one, if not at the admin address.
  std::string peer_rpc_address;
  std::vector<std::string> seeds;  // peer RPC addresses of some boxes
  std::string log_address;         // the own interface's log
  std::string list_address;        // and its list
  std::string store_address;       // the platform's store, instead of both
  std::string peer_key;            // secret
  std::string admin_token;         // secret
  std::string log_level;
  Policy policy = Policy::kHybrid;
  // Thousandths of a processor core that the box may use; zero: not told.
  int processor = 0;
  int64_t connections = 0;
  int64_t header_bytes = 0;
  int64_t body_bytes = 0;
  Millis idle_time;     // a caller's connection without a request
  Millis receive_time;  // a caller's request, first byte to last
  Millis send_time;     // one write to a caller that does not read
  Millis request_time;  // a request, from receipt to the answer's end
  Millis connect_time;  // to a target
  // A target serves on so long once it leaves; zero: not told.
  Millis target_drain;
  Millis silence_time;  // a target's answer without a byte
  // Rest after which a connection to a target is not used again; the second
  // for what may run only once, zero: it always gets a fresh one.
  Millis rest_time;
  Millis once_rest_time;
  Millis drain_notice;  // a planned stop, before connections are refused
  Millis drain_time;    // a planned stop, before it gives up
  QueueLimits queue;
  // The fleet's limit on repeats; a window of zero: a limit a workspace.
  FleetRetryBudget::Limits retry_limits;
};

// Reads and checks; the error's detail holds all problems, a line each.
auto LoadSettings(const std::string& path) -> Result<Settings>;

}  // namespace sparbend

#endif  // SPARBEND_KERNEL_SETTINGS_H_
