// sparbendctl: the operators' command-line tool. Each call runs one command.
// The exit codes are listed in ctl/session.h and docs/OPERATIONS.md.
#include <fstream>
#include <iostream>

#include <tclap/CmdLine.h>

#include "ctl/apply.h"
#include "ctl/declarations.h"
#include "ctl/session.h"
#include "ctl/shares.h"
#include "ctl/show.h"
#include "ctl/trace.h"

namespace sparbend::ctl {
namespace {

constexpr const char* kCommands =
    "validate, diff, apply, get, history, status, explain, lift, drain, "
    "trace, shares, completion";

constexpr const char* kCompletionScript =
    "complete -W \"validate diff apply get history status explain lift drain "
    "trace shares completion --log --box --token-file --author --reason "
    "--change "
    "--dry-run --prune --wait --json\" sparbendctl\n";

// The options and arguments of the command line; TCLAP parses them.
struct Arguments {
  TCLAP::CmdLine line{
      "sparbendctl COMMAND [ARGUMENT...]: operate a sparbend fleet. "
      "Commands: " +
          std::string(kCommands),
      ' ', SPARBEND_VERSION};
  TCLAP::UnlabeledValueArg<std::string> command{"command", kCommands, true,
                                                "",        "COMMAND", line};
  TCLAP::ValueArg<std::string> log{
      "l", "log", "Address of the platform's log", false, "", "IP:PORT", line};
  TCLAP::ValueArg<std::string> box{
      "b", "box", "Admin address of any box", false, "", "IP:PORT", line};
  TCLAP::ValueArg<std::string> token_file{
      "t",    "token-file", "File that holds the admin token", false, "",
      "FILE", line};
  TCLAP::ValueArg<std::string> author{
      "a", "author", "Who makes the change", false, "", "NAME", line};
  TCLAP::ValueArg<std::string> reason{
      "r", "reason", "Why the change is made", false, "", "TEXT", line};
  TCLAP::ValueArg<std::string> change{
      "", "change", "Show only this change id", false, "", "ID", line};
  TCLAP::ValueArg<int64_t> wait_seconds{
      "", "wait-seconds", "Timeout of --wait in seconds", false, 30, "N", line};
  TCLAP::SwitchArg dry_run{"", "dry-run", "Only print what apply would change",
                           line};
  TCLAP::SwitchArg prune{"", "prune",
                         "Also remove documents that are not declared", line};
  TCLAP::SwitchArg wait{
      "w", "wait", "Wait until active on every live box (needs --box)", line};
  TCLAP::SwitchArg json{"j", "json", "Print JSON", line};
  TCLAP::UnlabeledMultiArg<std::string> operands{
      "argument", "Files, directories, a document or a workspace", false,
      "ARGUMENT", line};
};

auto ReadToken(const std::string& path) -> std::string {
  std::ifstream file(path);
  std::string token;
  std::getline(file, token);
  return token;
}

auto DefaultAuthor() -> std::string {
  const char* user = std::getenv("USER");
  return user == nullptr || *user == 0 ? "unknown" : user;
}

auto PrintProblems(const std::vector<std::string>& problems) -> int {
  for (const std::string& problem : problems)
    std::cerr << problem << "\n";
  return problems.empty() ? kExitOk : kExitInvalid;
}

// Runs the commands that take declarations: validate, diff and apply.
auto RunDeclarationCommand(Arguments& arguments, Session* session) -> int {
  const std::string& command = arguments.command.getValue();
  std::vector<std::string> problems;
  const Declarations declarations =
      LoadDeclarations(arguments.operands.getValue(), &problems);
  if (arguments.operands.getValue().empty())
    problems.push_back("sparbendctl: " + command +
                       " needs files or directories");
  const std::vector<std::string> invalid = CheckDeclarations(declarations);
  problems.insert(problems.end(), invalid.begin(), invalid.end());
  if (const int code = PrintProblems(problems); code != kExitOk)
    return code;
  if (command == "validate") {
    std::cout << declarations.documents.size() << " documents are valid\n";
    return kExitOk;
  }
  if (command == "diff")
    return Diff(session, declarations, arguments.prune.getValue(),
                arguments.json.getValue());
  ApplyOptions options;
  options.author = arguments.author.getValue().empty()
                       ? DefaultAuthor()
                       : arguments.author.getValue();
  options.reason = arguments.reason.getValue();
  options.dry_run = arguments.dry_run.getValue();
  options.prune = arguments.prune.getValue();
  options.wait = arguments.wait.getValue();
  options.wait_seconds = arguments.wait_seconds.getValue();
  options.json = arguments.json.getValue();
  return Apply(session, declarations, options);
}

auto Run(Arguments& arguments) -> int {
  const std::string& command = arguments.command.getValue();
  const std::string first = arguments.operands.getValue().empty()
                                ? ""
                                : arguments.operands.getValue().front();
  const bool json = arguments.json.getValue();
  if (command == "trace") {
    const std::vector<std::string>& operands = arguments.operands.getValue();
    if (operands.empty()) {
      std::cerr
          << "sparbendctl: trace needs a request id, and optionally log files "
             "or - for standard input\n";
      return kExitInvalid;
    }
    const std::vector<std::string> files(operands.begin() + 1, operands.end());
    return ShowTrace(first,
                     files.empty() ? std::vector<std::string>{"-"} : files);
  }
  if (command == "shares") {
    const std::vector<std::string>& files = arguments.operands.getValue();
    return ShowShares(files.empty() ? std::vector<std::string>{"-"} : files);
  }
  Session session(arguments.log.getValue(), arguments.box.getValue(),
                  ReadToken(arguments.token_file.getValue()));
  if (command == "validate" || command == "diff" || command == "apply")
    return RunDeclarationCommand(arguments, &session);
  if (command == "get")
    return ShowDocuments(&session, first, json);
  if (command == "history")
    return ShowHistory(&session, arguments.change.getValue(), json);
  if (command == "status")
    return ShowStatus(&session, json);
  if (command == "explain")
    return ShowExplanation(&session, first);
  if (command == "lift")
    return LiftQuarantine(&session, first);
  if (command == "drain")
    return Drain(&session);
  if (command == "completion") {
    std::cout << kCompletionScript;
    return kExitOk;
  }
  std::cerr << "sparbendctl: unknown command " << command
            << "; expected one of " << kCommands << "\n";
  return kExitInvalid;
}

}  // namespace
}  // namespace sparbend::ctl

auto main(int argc, char** argv) -> int {
  sparbend::ctl::Arguments arguments;
  arguments.line.parse(argc, argv);
  return sparbend::ctl::Run(arguments);
}
