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

// Defines the commands of the command-line tool over ports, so that tests run
// them without a process.

namespace crocuslatch {

// Exit codes of the tool.
inline constexpr int kToolDone = 0;
// Refused by the checks, or another operator was first.
inline constexpr int kToolRefused = 1;
inline constexpr int kToolUsage = 2;
// The router cannot be reached, or the outcome is unknown.
inline constexpr int kToolUnknown = 3;

struct ToolOptions {
  // Command and its arguments.
  std::vector<std::string> words;
  // Version that the applied document is based on; 0 for the first document.
  std::string base = "0";
  // Idempotency key of a repeated apply; empty for a new one.
  std::string key;
  std::optional<Tokens> by;
  std::optional<Tokens> to;
  std::optional<Tokens> prepaid;
  std::string client_account;
  // True if `validate` also asks the router.
  bool ask_router = false;
  // load: files of the plan and of the report, and the schedule's seed.
  std::string plan;
  std::string json;
  std::uint64_t seed = 1;
};

struct ToolReply {
  HttpResult end = HttpResult::kBroken;
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

struct ToolPorts {
  // Sends to the administration interface and waits for the answer; `path`
  // is without the base URL.
  std::function<ToolReply(const std::string& method,
                          const std::string& path,
                          const HttpHeaders& headers,
                          const std::string& body)>
      send;
  std::function<void(Millis)> wait;
  // Nothing if the file cannot be read.
  std::function<std::optional<std::string>(const std::string& path)> read_file;
  std::function<void(std::string_view)> print;
  std::function<void(std::string_view)> print_error;
  // False if the file cannot be written.
  std::function<bool(const std::string& path, std::string_view)> write_file;
  std::function<LoadRun(const LoadPlan&, std::uint64_t seed)> run_load;
};

// Runs one command and returns the exit code.
int RunTool(const ToolOptions& options, const ToolPorts& ports);

// Commands and their arguments, for --help.
std::string ToolUsage();

}  // namespace crocuslatch

#endif  // SRC_TOOL_COMMANDS_H_
