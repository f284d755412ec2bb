#include "src/load_plan.h"

#include <fmt/format.h>

#include <QHostAddress>
#include <set>
#include <unordered_map>

#include "src/error.h"
#include "src/ip_endpoint.h"
#include "src/toml_reader.h"

namespace crocuslatch {
namespace {

// The generator is a test tool for one machine: the bounds keep a mistyped
// plan from taking the machine's processors, ports or memory.
constexpr Millis kMaxDuration = std::chrono::minutes(10);
constexpr std::uint32_t kMaxRequests = 100'000;
// Each request in flight holds a connection to a router and one to an engine.
constexpr std::uint32_t kMaxInFlight = 4000;
constexpr std::uint32_t kMaxAttempts = 10;
constexpr double kMaxRate = 1000;
constexpr double kMinRate = 0.01;
constexpr std::uint32_t kMaxWords = 10'000;
constexpr std::uint32_t kMaxPrefixes = 1000;
constexpr Tokens kMaxTokens = 8192;
constexpr Millis kMinTime{1};
constexpr double kMaxWeight = 1e6;
constexpr double kMinWeight = 1e-6;

bool IsLoopback(const std::string& address) {
  const auto endpoint = ParseIpEndpoint(address);
  return endpoint &&
         QHostAddress(QString::fromStdString(endpoint->address)).isLoopback();
}

// Reads the sections in the order of their references.
class PlanReader {
 public:
  PlanReader(const toml::table& table, DocumentProblems& problems)
      : top_(table, "the plan", problems), problems_(problems) {}

  LoadPlan Read() {
    top_.ReadTable("load", Presence::kRequired,
                   [this](const toml::table& table) {
                     TomlReader it(table, "[load]", problems_);
                     ReadLoad(it);
                     it.ReportUnknownKeys();
                   });
    ReadEach("target", &PlanReader::ReadTarget);
    ReadEach("client_account", &PlanReader::ReadAccount);
    ReadEach("stream", &PlanReader::ReadStream);
    ReadEach("phase", &PlanReader::ReadPhase);
    CheckSections();
    CheckBounds();
    top_.ReportUnknownKeys();
    return std::move(out_);
  }

 private:
  using ReadEntry = void (PlanReader::*)(TomlReader&);

  void ReadEach(const std::string& name, ReadEntry read) {
    const std::string label = "[[" + name + "]]";
    top_.ForEachTable(name, [&](const toml::table& table) {
      TomlReader reader(table, label, problems_);
      (this->*read)(reader);
      reader.ReportUnknownKeys();
    });
  }

  static void CheckReference(TomlReader& it,
                             std::string_view key,
                             const std::string& value,
                             std::string_view section,
                             const LineIndex& index) {
    if (value.empty() || index.contains(value)) {
      return;
    }
    it.Report(it.LineOf(key),
              fmt::format("\"{}\" of {} names the {} \"{}\", which does not "
                          "exist",
                          key, it.label(), section, value),
              fmt::format("correct the name or add a [[{}]] with it before",
                          section));
  }

  static void ReadAddresses(TomlReader& it,
                            std::string_view key,
                            std::vector<std::string>& out) {
    it.ReadNames(key, out);
    for (const auto& address : out) {
      if (!IsLoopback(address)) {
        it.Report(it.LineOf(key),
                  fmt::format("\"{}\" is not a loopback IP number with a port",
                              address),
                  "give <loopback IP number>:<port>, for example "
                  "127.0.0.1:7100; load is sent to this machine only");
      }
    }
  }

  void ReadLoad(TomlReader& it) {
    ReadAddresses(it, "routers", out_.routers);
    ReadAddresses(it, "engines", out_.engines);
    ReadAddresses(it, "services", out_.services);
    if (out_.routers.empty()) {
      it.Report(it.LineOf("routers"), "[load] has no router",
                "add \"routers\" with at least one address");
    }
    std::int64_t duration = 0;
    it.ReadInteger<std::int64_t>("duration_ms", duration, kMinTime.count(),
                                 kMaxDuration.count(), Presence::kRequired);
    out_.duration = Millis{duration};
    duration_line_ = it.LineOf("duration_ms");
    it.ReadMillis("drain_ms", out_.drain, Millis{0}, kMaxDuration);
    it.ReadInteger<std::uint32_t>("max_requests", out_.max_requests, 1,
                                  kMaxRequests, Presence::kOptional);
    requests_line_ = it.LineOf("max_requests");
    it.ReadInteger<std::uint32_t>("max_in_flight", out_.max_in_flight, 1,
                                  kMaxInFlight, Presence::kOptional);
    it.ReadInteger<std::uint32_t>("max_attempts", out_.max_attempts, 1,
                                  kMaxAttempts, Presence::kOptional);
    it.Read("check_standin_answers", out_.check_standin_answers);
  }

  void ReadTarget(TomlReader& it) {
    LoadTarget target;
    it.ReadName("rank", target.rank, Presence::kRequired);
    it.ReadMillis("first_token_ms", target.first_token, kMinTime, kMaxDuration);
    it.ReadMillis("between_tokens_ms", target.between_tokens, kMinTime,
                  kMaxDuration);
    it.AddUnique("rank", target.rank, ranks_);
    out_.targets.push_back(std::move(target));
  }

  void ReadAccount(TomlReader& it) {
    LoadAccount account;
    it.ReadName("name", account.name, Presence::kRequired);
    it.Read("api_key", account.api_key, Presence::kRequired);
    it.ReadNumber("weight", account.weight, kMinWeight, kMaxWeight);
    it.Read("budget_covers", account.budget_covers);
    it.AddUnique("name", account.name, accounts_);
    out_.client_accounts.push_back(std::move(account));
  }

  void ReadStream(TomlReader& it) {
    LoadStream stream;
    it.ReadName("name", stream.name, Presence::kRequired);
    it.ReadName("client_account", stream.client_account, Presence::kRequired);
    it.ReadName("rank", stream.rank, Presence::kRequired);
    it.ReadName("model", stream.model, Presence::kOptional);
    it.ReadNumber("rate", stream.rate, kMinRate, kMaxRate);
    it.ReadInteger<std::uint32_t>("min_prompt_words", stream.min_prompt_words,
                                  1, kMaxWords, Presence::kOptional);
    it.ReadInteger<std::uint32_t>("max_prompt_words", stream.max_prompt_words,
                                  1, kMaxWords, Presence::kOptional);
    it.ReadInteger<std::uint32_t>("shared_prefixes", stream.shared_prefixes, 0,
                                  kMaxPrefixes, Presence::kOptional);
    it.ReadInteger<std::uint32_t>("prefix_words", stream.prefix_words, 0,
                                  kMaxWords, Presence::kOptional);
    it.ReadInteger<Tokens>("max_tokens", stream.max_tokens, 1, kMaxTokens,
                           Presence::kOptional);
    it.ReadNumber("order_fraction", stream.order_fraction, 0, 1);
    it.Read("service", stream.service, Presence::kOptional);
    it.ReadMillis("deadline_ms", stream.deadline, kMinTime, kMaxDuration);
    it.AddUnique("name", stream.name, streams_);
    CheckReference(it, "client_account", stream.client_account,
                   "client_account", accounts_);
    CheckReference(it, "rank", stream.rank, "target", ranks_);
    CheckStream(it, stream);
    out_.streams.push_back(std::move(stream));
  }

  static void CheckStream(TomlReader& it, const LoadStream& stream) {
    if (!it.Has("rate")) {
      it.Report(it.line(), "[[stream]] has no \"rate\"",
                "add the requests a second");
    }
    if (stream.min_prompt_words > stream.max_prompt_words) {
      it.Report(it.LineOf("min_prompt_words"),
                "\"min_prompt_words\" is above \"max_prompt_words\"",
                "lower it, or raise \"max_prompt_words\"");
    }
    if ((stream.shared_prefixes == 0) != (stream.prefix_words == 0)) {
      it.Report(it.line(),
                "[[stream]] has only one of \"shared_prefixes\" and "
                "\"prefix_words\"",
                "set both, or neither");
    }
    if (stream.order_fraction < 1 && stream.model.empty()) {
      it.Report(it.line(), "[[stream]] sends model requests without a model",
                "add \"model\", or set \"order_fraction\" to 1");
    }
    const auto slash = stream.service.find('/');
    const bool has_path = slash != std::string::npos && slash > 0 &&
                          slash + 1 < stream.service.size();
    if (stream.order_fraction > 0 && !has_path) {
      it.Report(it.LineOf("service"),
                "[[stream]] sends orders without \"<service>/<path>\"",
                "add \"service\", for example \"booking/orders\"");
    }
  }

  void ReadPhase(TomlReader& it) {
    LoadPhase phase;
    it.ReadName("name", phase.name, Presence::kRequired);
    std::int64_t duration = 0;
    it.ReadInteger<std::int64_t>("duration_ms", duration, kMinTime.count(),
                                 kMaxDuration.count(), Presence::kRequired);
    phase.duration = Millis{duration};
    it.ReadNames("streams", phase.streams);
    it.Read("compare_to", phase.compare_to, Presence::kOptional);
    for (const auto& stream : phase.streams) {
      CheckReference(it, "streams", stream, "stream", streams_);
    }
    CheckOnceEach(it, phase.streams);
    CheckReference(it, "compare_to", phase.compare_to, "phase", phases_);
    it.AddUnique("name", phase.name, phases_);
    out_.phases.push_back(std::move(phase));
  }

  static void CheckOnceEach(TomlReader& it,
                            const std::vector<std::string>& streams) {
    if (std::set(streams.begin(), streams.end()).size() != streams.size()) {
      it.Report(it.LineOf("streams"),
                "\"streams\" of [[phase]] names a stream twice",
                "name each stream once; raise its rate instead");
    }
  }

  void CheckSections() {
    for (const auto* it : {"target", "client_account", "stream", "phase"}) {
      if (!top_.Has(it)) {
        top_.Report(0, fmt::format("the plan has no [[{}]]", it),
                    "add at least one");
      }
    }
  }

  void CheckBounds() {
    Millis sum{0};
    double requests = 0;
    for (const auto& phase : out_.phases) {
      sum += phase.duration;
      for (const auto& stream : out_.streams) {
        if (std::ranges::find(phase.streams, stream.name) !=
            phase.streams.end()) {
          requests += stream.rate *
                      std::chrono::duration<double>(phase.duration).count();
        }
      }
    }
    if (out_.duration > Millis{0} && sum > out_.duration) {
      top_.Report(duration_line_,
                  fmt::format("the phases last {} ms, longer than "
                              "\"duration_ms\"",
                              sum.count()),
                  "shorten the phases or raise \"duration_ms\"");
    }
    if (requests > out_.max_requests) {
      top_.Report(requests_line_,
                  fmt::format("the streams send about {:.0f} requests, more "
                              "than \"max_requests\" ({})",
                              requests, out_.max_requests),
                  "lower the rates or raise \"max_requests\"");
    }
  }

  TomlReader top_;
  DocumentProblems& problems_;
  LoadPlan out_;
  LineIndex ranks_;
  LineIndex accounts_;
  LineIndex streams_;
  LineIndex phases_;
  std::uint32_t duration_line_ = 0;
  std::uint32_t requests_line_ = 0;
};

void ThrowIfAny(DocumentProblems& problems) {
  if (!problems.empty()) {
    SortByLine(problems);
    throw UserError("plan_rejected", FormatProblems(problems),
                    "correct the listed lines and run the command again");
  }
}

}  // namespace

LoadPlan ParseLoadPlan(std::string_view toml) {
  DocumentProblems problems;
  const auto table = ParseToml(toml, problems);
  ThrowIfAny(problems);
  auto plan = PlanReader(table, problems).Read();
  ThrowIfAny(problems);
  return plan;
}

}  // namespace crocuslatch
