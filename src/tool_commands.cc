#include "src/tool_commands.h"

#include <fmt/format.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <charconv>

#include "src/document.h"
#include "src/document_edit.h"
#include "src/load_plan.h"
#include "src/load_report.h"
#include "src/stored_document.h"

namespace crocuslatch {
namespace {

// A repeat has the same idempotency key, so it cannot apply twice; more tries
// only bridge a longer outage.
constexpr int kMaxSends = 5;
// Each conflict means that another operator succeeded, so a busy fleet needs
// several tries; without a bound two tools could keep each other busy.
constexpr int kMaxEdits = 8;
constexpr Millis kSendBackoff{500};
constexpr Millis kEditBackoff{100};

constexpr char kDocumentPath[] = "/admin/v1/document";

// Ends the command with an exit code and a message.
class ToolError : public UserError {
 public:
  ToolError(int exit_code, const std::string& message, std::string remedy)
      : UserError("tool_error", message, std::move(remedy)),
        exit_code_(exit_code) {}
  int exit_code() const { return exit_code_; }

 private:
  int exit_code_;
};

ToolError UsageError(const std::string& message) {
  return {kToolUsage, message, "see crocuslatch --help"};
}

struct Version {
  std::uint64_t number = 0;
  std::string toml;
};

std::uint64_t ParseVersion(std::string_view text) {
  std::uint64_t version = 0;
  const auto* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, version);
  if (ec != std::errc() || rest != end) {
    throw UsageError(fmt::format("\"{}\" is no version", text));
  }
  return version;
}

bool IsVersion(std::string_view text) {
  return !text.empty() &&
         std::ranges::all_of(text, [](char c) { return c >= '0' && c <= '9'; });
}

QJsonObject ErrorObject(const std::string& body) {
  return QJsonDocument::fromJson(QByteArray::fromStdString(body))
      .object()["error"]
      .toObject();
}

std::string Field(const QJsonObject& object, const char* key) {
  return object[QLatin1String(key)].toString().toStdString();
}

// Message of an error answer, with a line for each problem of a document.
std::string MessageOf(const ToolReply& reply) {
  const auto error = ErrorObject(reply.body);
  if (error.isEmpty()) {
    return fmt::format("the router answered with status {}", reply.status);
  }
  return fmt::format("{}: {}", Field(error, "code"), Field(error, "message"));
}

ToolError ErrorOf(const ToolReply& reply) {
  if (reply.end == HttpResult::kNotSent) {
    return {kToolUnknown, "the router refuses the connection",
            "check --admin, or use another router"};
  }
  if (reply.end != HttpResult::kComplete) {
    return {kToolUnknown, "the router does not answer",
            "try again, or use another router"};
  }
  const bool is_refusal = reply.status >= 400 && reply.status < 500;
  return {is_refusal ? kToolRefused : kToolUnknown, MessageOf(reply),
          Field(ErrorObject(reply.body), "remedy")};
}

bool IsOk(const ToolReply& reply) {
  return reply.end == HttpResult::kComplete && reply.status == 200;
}

std::string ReadFile(const ToolPorts& ports, const std::string& path) {
  auto text = ports.read_file(path);
  if (!text) {
    throw ToolError(kToolUsage, fmt::format("\"{}\" cannot be read", path),
                    "correct the path or the file's permissions");
  }
  return std::move(*text);
}

std::string Get(const ToolPorts& ports, const std::string& path) {
  const auto reply = ports.send("GET", path, {}, {});
  if (!IsOk(reply)) {
    throw ErrorOf(reply);
  }
  return reply.body;
}

Version GetVersion(const ToolPorts& ports, const std::string& path) {
  const auto reply = ports.send("GET", path, {}, {});
  if (!IsOk(reply)) {
    throw ErrorOf(reply);
  }
  return {ParseVersion(FindHeader(reply.headers, "X-Version")), reply.body};
}

Version GetCurrent(const ToolPorts& ports) {
  return GetVersion(ports, kDocumentPath);
}

Version GetHistory(const ToolPorts& ports, const std::string& version) {
  return GetVersion(
      ports, "/admin/v1/history/" + std::to_string(ParseVersion(version)));
}

struct Submission {
  std::string toml;
  std::uint64_t base = 0;
  std::string key;
};

enum class SubmitStatus { kApplied, kConflict, kRefused, kUnreached, kUnknown };

struct SubmitResult {
  SubmitStatus status = SubmitStatus::kUnknown;
  ToolReply reply;
};

// Nothing if the answer leaves the result open. A 503 says that this sending
// was not written.
std::optional<SubmitStatus> FinalStatus(const ToolReply& reply) {
  if (reply.end != HttpResult::kComplete || reply.status >= 500) {
    return std::nullopt;
  }
  if (reply.status == 200) {
    return SubmitStatus::kApplied;
  }
  return reply.status == 409 ? SubmitStatus::kConflict : SubmitStatus::kRefused;
}

bool MayBeApplied(const ToolReply& reply) {
  return reply.end == HttpResult::kComplete ? reply.status != 503
                                            : reply.end != HttpResult::kNotSent;
}

// Sends the submission until its result is known, with the same key each
// time.
SubmitResult Submit(const ToolPorts& ports, const Submission& it) {
  const HttpHeaders headers{{"If-Version", std::to_string(it.base)},
                            {"Idempotency-Key", it.key},
                            {"Content-Type", "application/toml"}};
  bool may_be_applied = false;
  ToolReply reply;
  for (int n = 0; n < kMaxSends; ++n) {
    if (n > 0) {
      ports.wait(kSendBackoff);
    }
    reply = ports.send("PUT", kDocumentPath, headers, it.toml);
    // A refusal of a repeat, such as a wrong token, says nothing about the
    // sending before it.
    const auto status = FinalStatus(reply);
    if (status && !(may_be_applied && *status == SubmitStatus::kRefused)) {
      return {*status, reply};
    }
    may_be_applied = may_be_applied || MayBeApplied(reply);
  }
  return {may_be_applied ? SubmitStatus::kUnknown : SubmitStatus::kUnreached,
          reply};
}

std::uint64_t PrintApplied(const ToolPorts& ports, const ToolReply& reply) {
  const auto version = ParseVersion(FindHeader(reply.headers, "X-Version"));
  ports.print(fmt::format("version {} is applied\n", version));
  return version;
}

// A change of the document in force: returns false if there is nothing to do.
using Edit = std::function<bool(Document&)>;

// Applies the change to the newest version. After a conflict the document is
// read again and the change is made anew; after an uncertain answer only the
// same submission is repeated, so the change never takes effect twice.
int EditDocument(const ToolPorts& ports,
                 const Edit& edit,
                 const std::string& unknown_remedy) {
  for (int n = 0; n < kMaxEdits; ++n) {
    const auto current = GetCurrent(ports);
    auto document = ParseDocument(current.toml);
    if (!edit(document)) {
      ports.print(fmt::format("nothing to do in version {}\n", current.number));
      return kToolDone;
    }
    const auto result =
        Submit(ports, {FormatDocument(document), current.number, MakeNonce()});
    switch (result.status) {
      case SubmitStatus::kApplied:
        PrintApplied(ports, result.reply);
        return kToolDone;
      case SubmitStatus::kConflict:
        ports.wait(kEditBackoff);
        continue;
      case SubmitStatus::kUnknown:
        throw ToolError(kToolUnknown, "the change may be applied",
                        unknown_remedy);
      case SubmitStatus::kRefused:
      case SubmitStatus::kUnreached:
        throw ErrorOf(result.reply);
    }
  }
  throw ToolError(kToolRefused,
                  fmt::format("other operators were first {} times; nothing "
                              "was applied",
                              kMaxEdits),
                  "try again");
}

std::string RepeatRemedy(const Submission& it) {
  return fmt::format(
      "repeat the command with --base {} --key {} to learn the "
      "result",
      it.base, it.key);
}

int Validate(const ToolOptions& options, const ToolPorts& ports) {
  const auto& path = options.words[1];
  const auto toml = ReadFile(ports, path);
  ParseDocument(toml);
  if (options.ask_router) {
    const auto reply =
        ports.send("POST", "/admin/v1/document/validate", {}, toml);
    if (!IsOk(reply)) {
      throw ErrorOf(reply);
    }
  }
  ports.print(fmt::format("{} is valid\n", path));
  return kToolDone;
}

int ApplyFile(const ToolOptions& options, const ToolPorts& ports) {
  const Submission it{ReadFile(ports, options.words[1]),
                      ParseVersion(options.base),
                      options.key.empty() ? MakeNonce() : options.key};
  ParseDocument(it.toml);
  const auto result = Submit(ports, it);
  if (result.status == SubmitStatus::kApplied) {
    PrintApplied(ports, result.reply);
    return kToolDone;
  }
  if (result.status == SubmitStatus::kUnknown) {
    throw ToolError(kToolUnknown, "the document may be applied",
                    RepeatRemedy(it));
  }
  throw ErrorOf(result.reply);
}

int Show(const ToolOptions& options, const ToolPorts& ports) {
  const auto version = options.words.size() > 1
                           ? GetHistory(ports, options.words[1])
                           : GetCurrent(ports);
  // On standard error, so that the output is the document alone.
  ports.print_error(fmt::format("version {}\n", version.number));
  ports.print(version.toml);
  return kToolDone;
}

int Diff(const ToolOptions& options, const ToolPorts& ports) {
  const auto& words = options.words;
  const bool is_versions = words.size() == 3;
  const auto from =
      is_versions ? GetHistory(ports, words[1]).toml : GetCurrent(ports).toml;
  const auto to = is_versions           ? GetHistory(ports, words[2]).toml
                  : IsVersion(words[1]) ? GetHistory(ports, words[1]).toml
                                        : ReadFile(ports, words[1]);
  for (const auto& it : DiffDocuments(ParseDocument(from), ParseDocument(to))) {
    ports.print(it + "\n");
  }
  return kToolDone;
}

int RollForwardTo(const ToolOptions& options, const ToolPorts& ports) {
  const auto earlier = ParseDocument(GetHistory(ports, options.words[1]).toml);
  return EditDocument(
      ports,
      [&](Document& document) {
        const auto next = RollForward(document, earlier);
        const bool changes = next != document;
        document = next;
        return changes;
      },
      "repeat the command; it does nothing if the content is in force");
}

int TopUp(const ToolOptions& options, const ToolPorts& ports) {
  const auto& budget = options.words[2];
  if (options.by.has_value() == options.to.has_value()) {
    throw UsageError("budget top-up needs exactly one of --by and --to");
  }
  Tokens total = 0;
  const auto edit = [&](Document& document) {
    bool changes = true;
    if (options.by) {
      TopUpBudget(document, budget, *options.by);
    } else {
      changes = RaiseBudget(document, budget, *options.to);
    }
    total = FindByName(document.budgets, budget)->prepaid;
    return changes;
  };
  try {
    return EditDocument(ports, edit, "");
  } catch (const ToolError& error) {
    if (error.exit_code() != kToolUnknown || total == 0) {
      throw;
    }
    throw ToolError(kToolUnknown, error.what(),
                    fmt::format("run `budget top-up {} --to {}`, which never "
                                "tops up twice",
                                budget, total));
  }
}

int CreateBudgetFrom(const ToolOptions& options, const ToolPorts& ports) {
  if (options.client_account.empty() || !options.prepaid) {
    throw UsageError("budget create needs --account and --prepaid");
  }
  const BudgetConfig budget{options.words[2], options.client_account,
                            *options.prepaid};
  return EditDocument(
      ports,
      [&](Document& document) {
        CreateBudget(document, budget);
        return true;
      },
      "run `show` to see whether the budget exists");
}

int Drain(const ToolOptions& options, const ToolPorts& ports) {
  const bool drain = options.words[0] == "drain";
  return EditDocument(
      ports,
      [&](Document& document) {
        return SetDrain(document, options.words[1], drain);
      },
      "repeat the command; it does nothing if it took effect");
}

int PrintJson(const ToolPorts& ports, const std::string& path) {
  const auto body = Get(ports, path);
  const auto json = QJsonDocument::fromJson(QByteArray::fromStdString(body));
  ports.print(json.isNull()
                  ? body
                  : json.toJson(QJsonDocument::Indented).toStdString());
  return kToolDone;
}

int Ledger(const ToolOptions& options, const ToolPorts& ports) {
  return PrintJson(ports, "/admin/v1/ledger/" + options.words[1]);
}

int Status(const ToolOptions& /*options*/, const ToolPorts& ports) {
  return PrintJson(ports, "/admin/v1/status");
}

int Histograms(const ToolOptions& /*options*/, const ToolPorts& ports) {
  return PrintJson(ports, "/admin/v1/histograms");
}

int Load(const ToolOptions& options, const ToolPorts& ports) {
  if (options.plan.empty()) {
    throw UsageError("load needs --plan");
  }
  const auto plan = ParseLoadPlan(ReadFile(ports, options.plan));
  const auto run = ports.run_load(plan, options.seed);
  const auto report =
      Summarize(plan, run.transcripts, run.counts, options.seed);
  ports.print(FormatTable(report));
  if (!options.json.empty() &&
      !ports.write_file(options.json, ToJson(report))) {
    throw ToolError(kToolUsage,
                    fmt::format("\"{}\" cannot be written", options.json),
                    "correct the path of --json");
  }
  return IsSound(report) ? kToolDone : kToolRefused;
}

struct Command {
  std::vector<std::string> words;
  std::size_t least_arguments;
  std::size_t most_arguments;
  std::string_view usage;
  std::string_view help;
  int (*run)(const ToolOptions&, const ToolPorts&);
};

const std::vector<Command>& Commands() {
  static const std::vector<Command> kCommands{
      {{"validate"},
       1,
       1,
       "validate FILE",
       "check a document; with --admin also against the version in force",
       Validate},
      {{"apply"},
       1,
       1,
       "apply FILE [--base VERSION] [--key KEY]",
       "apply a document that was made from VERSION (default 0: the first)",
       ApplyFile},
      {{"show"},
       0,
       1,
       "show [VERSION]",
       "print a version of the document (default: in force)",
       Show},
      {{"diff"},
       1,
       2,
       "diff FILE | diff VERSION [VERSION]",
       "compare entries of the version in force, a file or versions",
       Diff},
      {{"roll-forward"},
       1,
       1,
       "roll-forward VERSION",
       "apply the content of an earlier version as a new one; prepaid amounts "
       "and budgets stay",
       RollForwardTo},
      {{"budget", "top-up"},
       1,
       1,
       "budget top-up NAME --by N | --to N",
       "raise a prepaid amount by N tokens or to N tokens",
       TopUp},
      {{"budget", "create"},
       1,
       1,
       "budget create NAME --account ACCOUNT --prepaid N",
       "add a budget",
       CreateBudgetFrom},
      {{"ledger"},
       1,
       1,
       "ledger BUDGET",
       "print the ledger of a budget",
       Ledger},
      {{"drain"},
       1,
       1,
       "drain SERVER",
       "stop new work for a backend server",
       Drain},
      {{"undrain"},
       1,
       1,
       "undrain SERVER",
       "allow new work for a backend server",
       Drain},
      {{"status"}, 0, 0, "status", "print the status of the router", Status},
      {{"histograms"},
       0,
       0,
       "histograms",
       "print the histograms of the router",
       Histograms},
      {{"load"},
       0,
       0,
       "load --plan FILE [--json FILE] [--seed N]",
       "send the plan's requests to routers on this machine and report what "
       "their callers saw; exit code 1 if a count that must be 0 is not",
       Load},
  };
  return kCommands;
}

const Command& FindCommand(const std::vector<std::string>& words) {
  const auto it = std::ranges::find_if(Commands(), [&](const Command& command) {
    const auto n = command.words.size();
    return words.size() >= n &&
           std::equal(command.words.begin(), command.words.end(),
                      words.begin()) &&
           words.size() - n >= command.least_arguments &&
           words.size() - n <= command.most_arguments;
  });
  if (it == Commands().end()) {
    throw UsageError(words.empty()
                         ? "no command"
                         : fmt::format("the command \"{}\" does not exist or "
                                       "has other arguments",
                                       fmt::join(words, " ")));
  }
  return *it;
}

void PrintError(const ToolPorts& ports, const UserError& error) {
  ports.print_error(fmt::format("crocuslatch: {}\n", error.what()));
  if (!error.remedy().empty()) {
    ports.print_error(fmt::format("remedy: {}\n", error.remedy()));
  }
}

}  // namespace

int RunTool(const ToolOptions& options, const ToolPorts& ports) {
  try {
    return FindCommand(options.words).run(options, ports);
  } catch (const ToolError& error) {
    PrintError(ports, error);
    return error.exit_code();
  } catch (const UserError& error) {
    PrintError(ports, error);
    return kToolRefused;
  }
}

std::string ToolUsage() {
  std::string text = "Commands:\n";
  for (const auto& it : Commands()) {
    text += fmt::format("  {}\n      {}\n", it.usage, it.help);
  }
  return text +
         "Exit codes: 0 done, 1 refused or conflict, 2 usage, 3 unreachable or "
         "outcome unknown.\n";
}

}  // namespace crocuslatch
