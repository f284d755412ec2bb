#ifndef SRC_TOOL_COMMANDS_H_
#define SRC_TOOL_COMMANDS_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "io/http_client.h"
#include "src/error.h"
#include "src/load_generator.h"
#include "src/types.h"

// Defines the commands of the command-line tool. I/O goes through ToolPorts, so
// tests can run the commands without a process.

namespace crocuslatch {

// Exit codes of the tool.
inline constexpr int kToolDone = 0;
// Rejected by validation or by the router, or lost a conflict with another
// operator.
inline constexpr int kToolRefused = 1;
inline constexpr int kToolUsage = 2;
// The router is unreachable or failed, or the outcome is unknown.
inline constexpr int kToolUnknown = 3;

struct ToolOptions {
  // Command and its arguments, for example {"budget", "top-up", "main"}.
  std::vector<std::string> words;
  // apply: version that the document is based on; 0 for the first document.
  std::string base = "0";
  // apply: idempotency key of an earlier attempt; empty generates a new key.
  std::string key;
  // budget top-up: tokens to add, or the new total.
  std::optional<Tokens> by;
  std::optional<Tokens> to;
  // budget create: prepaid amount and owner.
  std::optional<Tokens> prepaid;
  std::string client_account;
  // validate: also validate on the router.
  bool ask_router = false;
  // load: paths of the plan and of the JSON report, and the schedule's seed.
  std::string plan;
  std::string json;
  std::uint64_t seed = 1;
};

// Response to a request to the administration interface. Read the
// other fields only if `end` is kComplete.
struct ToolReply {
  HttpResult end = HttpResult::kBroken;
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

// The I/O that the commands need.
struct ToolPorts {
  // Sends a request to the administration interface and blocks until the
  // response is complete or fails; `path` is relative to the base URL.
  std::function<ToolReply(const std::string& method,
                          const std::string& path,
                          const HttpHeaders& headers,
                          const std::string& body)>
      send;
  // Blocks for the given time.
  std::function<void(Millis)> wait;
  // Returns nullopt if the file cannot be read.
  std::function<std::optional<std::string>(const std::string& path)> read_file;
  std::function<void(std::string_view)> print;
  std::function<void(std::string_view)> print_error;
  // Returns false if the file cannot be written.
  std::function<bool(const std::string& path, std::string_view)> write_file;
  // Runs a load plan to its end, see RunLoad.
  std::function<LoadRun(const LoadPlan&, std::uint64_t seed)> run_load;
};

// Runs one command, prints its result or error, and returns the exit code.
int RunTool(const ToolOptions& options, const ToolPorts& ports);

// Returns the commands, their arguments and the exit codes, for --help.
std::string ToolUsage();

}  // namespace crocuslatch

#endif  // SRC_TOOL_COMMANDS_H_
