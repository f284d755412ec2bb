#include "src/document.h"

#include <fmt/format.h>

#include <iterator>
#include <unordered_map>

#include "src/ip_endpoint.h"
#include "src/toml_reader.h"

namespace crocuslatch {
namespace {

// A shard is one store value of at most 1 MB, so a large fleet needs many;
// more than this would only add reads at each start.
constexpr std::uint32_t kMaxLedgerShards = 4096;
// Stays exact in JSON numbers and leaves room for sums in 64 bits.
constexpr Tokens kMaxTokens = 1'000'000'000'000'000;
constexpr Tokens kMaxOutputTokens = 10'000'000;
constexpr std::uint32_t kMaxQueued = 1'000'000;
constexpr std::uint32_t kMaxSlots = 65536;
// A token of a byte-level vocabulary covers at least one byte; the rest is
// room for templates that the engine adds.
constexpr double kMaxTokensPerByte = 16;
constexpr double kMinTokensPerByte = 0.001;
constexpr double kMaxWeight = 1e6;
constexpr double kMinWeight = 1e-6;
constexpr std::uint32_t kMinBodyBytes = 1024;
constexpr std::uint32_t kMaxBodyBytes = 64 << 20;
constexpr Millis kMinTime{1};
constexpr Millis kMaxTime = std::chrono::hours(1);
constexpr Millis kMinStallTimeout{50};
constexpr Millis kMinRetention = std::chrono::minutes(1);
constexpr Millis kMaxRetention = std::chrono::hours(24 * 30);
// Shares are decimal fractions, whose sum may miss 1 by rounding.
constexpr double kShareTolerance = 1e-9;
constexpr std::size_t kSha256HexDigits = 64;

void CheckReference(TomlReader& reader,
                    std::string_view key,
                    const std::string& value,
                    std::string_view section,
                    const LineIndex& index) {
  if (!reader.Has(key) || value.empty() || index.contains(value)) {
    return;
  }
  reader.Report(
      reader.LineOf(key),
      fmt::format("\"{}\" of {} names the {} \"{}\", which does not exist", key,
                  reader.label(), section, value),
      fmt::format("correct the name or add a [[{}]] with it", section));
}

bool IsSha256(std::string_view text) {
  const auto is_lower_hex = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  };
  return text.size() == kSha256HexDigits &&
         std::ranges::all_of(text, is_lower_hex);
}

// Reads the sections in the order of their references, so that each section
// is complete before another one refers to it.
class DocumentReader {
 public:
  DocumentReader(const toml::table& table, DocumentProblems& problems)
      : top_(table, "the document", problems), problems_(problems) {}

  Document Read() {
    ReadFleet();
    ReadLimits();
    ReadEach("rank", &DocumentReader::ReadRank);
    CheckRanks();
    ReadEach("client_account", &DocumentReader::ReadClientAccount);
    ReadEach("budget", &DocumentReader::ReadBudget);
    ReadEach("api_key", &DocumentReader::ReadApiKey);
    ReadEach("model", &DocumentReader::ReadModel);
    ReadEach("service", &DocumentReader::ReadService);
    ReadEach("backend_server", &DocumentReader::ReadBackendServer);
    top_.ReportUnknownKeys();
    return std::move(out_);
  }

 private:
  using ReadEntry = void (DocumentReader::*)(TomlReader&);

  void ReadEach(const std::string& name, ReadEntry read) {
    const std::string label = "[[" + name + "]]";
    top_.ForEachTable(name, [&](const toml::table& table) {
      TomlReader reader(table, label, problems_);
      (this->*read)(reader);
      reader.ReportUnknownKeys();
    });
  }

  void ReadFleet() {
    top_.ReadTable("fleet", Presence::kRequired, [&](const toml::table& table) {
      TomlReader it(table, "[fleet]", problems_);
      it.ReadName("name", out_.fleet.name, Presence::kRequired);
      it.ReadInteger<std::uint32_t>("ledger_shards", out_.fleet.ledger_shards,
                                    1, kMaxLedgerShards, Presence::kOptional);
      it.ReportUnknownKeys();
    });
  }

  void ReadLimits() {
    top_.ReadTable(
        "limits", Presence::kOptional, [&](const toml::table& table) {
          TomlReader it(table, "[limits]", problems_);
          auto& limits = out_.limits;
          it.ReadInteger<std::uint32_t>("max_body_bytes", limits.max_body_bytes,
                                        kMinBodyBytes, kMaxBodyBytes,
                                        Presence::kOptional);
          it.ReadMillis("default_deadline_ms", limits.default_deadline,
                        kMinTime, kMaxTime);
          it.ReadMillis("stall_timeout_ms", limits.stall_timeout,
                        kMinStallTimeout, kMaxTime);
          it.ReadNumber("retry_budget", limits.retry_budget, 0, 1);
          it.ReadMillis("order_retention_ms", limits.order_retention,
                        kMinRetention, kMaxRetention);
          it.ReadMillis("bill_retention_ms", limits.bill_retention,
                        kMinRetention, kMaxRetention);
          it.ReportUnknownKeys();
        });
  }

  void ReadRank(TomlReader& it) {
    RankConfig rank;
    it.ReadName("name", rank.name, Presence::kRequired);
    it.ReadMillis("first_token_ms", rank.first_token, kMinTime, kMaxTime);
    it.ReadMillis("between_tokens_ms", rank.between_tokens, kMinTime, kMaxTime);
    it.ReadNumber("share", rank.share, 0, 1);
    it.ReadInteger<std::uint32_t>("max_queued", rank.max_queued, 1, kMaxQueued,
                                  Presence::kOptional);
    it.AddUnique("name", rank.name, ranks_);
    share_sum_ += rank.share;
    if (share_sum_ > 1 + kShareTolerance && share_line_ == 0) {
      share_line_ = it.LineOf("share");
    }
    out_.ranks.push_back(std::move(rank));
  }

  void CheckRanks() {
    if (!top_.Has("rank")) {
      top_.Report(0, "the document has no [[rank]]", "add at least one rank");
    }
    if (share_line_ != 0) {
      top_.Report(share_line_,
                  fmt::format("the shares of all ranks add up to {}, above 1",
                              share_sum_),
                  "lower the shares so that their sum is at most 1");
    }
  }

  void ReadClientAccount(TomlReader& it) {
    ClientAccountConfig account;
    it.ReadName("name", account.name, Presence::kRequired);
    it.ReadNumber("weight", account.weight, kMinWeight, kMaxWeight);
    it.Read("default_rank", account.default_rank, Presence::kRequired);
    it.ReadNames("ranks", account.ranks);
    it.AddUnique("name", account.name, client_accounts_);
    CheckReference(it, "default_rank", account.default_rank, "rank", ranks_);
    for (const auto& rank : account.ranks) {
      CheckReference(it, "ranks", rank, "rank", ranks_);
    }
    CheckDefaultRank(it, account);
    out_.client_accounts.push_back(std::move(account));
  }

  static void CheckDefaultRank(TomlReader& it,
                               const ClientAccountConfig& account) {
    const auto& ranks = account.ranks;
    if (ranks.empty() ||
        std::ranges::find(ranks, account.default_rank) != ranks.end()) {
      return;
    }
    it.Report(it.LineOf("default_rank"),
              fmt::format("the default rank \"{}\" is not among \"ranks\" of "
                          "the client account \"{}\"",
                          account.default_rank, account.name),
              "add it to \"ranks\" or choose another default rank");
  }

  void ReadBudget(TomlReader& it) {
    BudgetConfig budget;
    it.ReadName("name", budget.name, Presence::kRequired);
    it.Read("client_account", budget.client_account, Presence::kRequired);
    it.ReadInteger<Tokens>("prepaid", budget.prepaid, 0, kMaxTokens,
                           Presence::kRequired);
    it.AddUnique("name", budget.name, budgets_);
    CheckReference(it, "client_account", budget.client_account,
                   "client_account", client_accounts_);
    budget_owners_.emplace(budget.name, budget.client_account);
    out_.budgets.push_back(std::move(budget));
  }

  void ReadApiKey(TomlReader& it) {
    ApiKeyConfig key;
    it.Read("sha256", key.sha256, Presence::kRequired);
    it.Read("client_account", key.client_account, Presence::kRequired);
    it.Read("budget", key.budget, Presence::kRequired);
    if (it.Has("sha256") && !IsSha256(key.sha256)) {
      it.Report(it.LineOf("sha256"),
                "\"sha256\" of [[api_key]] is not a SHA-256",
                "give the 64 lower-case hex digits that `printf %s KEY | "
                "sha256sum` prints; never the key itself");
    }
    it.AddUnique("sha256", key.sha256, api_keys_);
    CheckReference(it, "client_account", key.client_account, "client_account",
                   client_accounts_);
    CheckReference(it, "budget", key.budget, "budget", budgets_);
    CheckBudgetOwner(it, key);
    out_.api_keys.push_back(std::move(key));
  }

  // A key may spend only the tokens of its own client account.
  void CheckBudgetOwner(TomlReader& it, const ApiKeyConfig& key) {
    const auto owner = budget_owners_.find(key.budget);
    if (owner == budget_owners_.end() || owner->second == key.client_account) {
      return;
    }
    it.Report(it.LineOf("budget"),
              fmt::format("the budget \"{}\" belongs to the client account "
                          "\"{}\", not to \"{}\"",
                          key.budget, owner->second, key.client_account),
              "name a budget of the key's client account");
  }

  void ReadModel(TomlReader& it) {
    ModelConfig model;
    it.ReadName("name", model.name, Presence::kRequired);
    it.ReadNumber("max_tokens_per_byte", model.max_tokens_per_byte,
                  kMinTokensPerByte, kMaxTokensPerByte);
    it.ReadInteger<Tokens>("max_output_tokens", model.max_output_tokens, 1,
                           kMaxOutputTokens, Presence::kOptional);
    it.AddUnique("name", model.name, models_);
    out_.models.push_back(std::move(model));
  }

  void ReadService(TomlReader& it) {
    ServiceConfig service;
    it.ReadName("name", service.name, Presence::kRequired);
    it.Read("repeatable", service.repeatable);
    it.ReadInteger<Tokens>("cost", service.cost, 0, kMaxTokens,
                           Presence::kOptional);
    it.ReadMillis("timeout_ms", service.timeout, kMinTime, kMaxTime);
    it.AddUnique("name", service.name, services_);
    out_.services.push_back(std::move(service));
  }

  void ReadBackendServer(TomlReader& it) {
    BackendServerConfig server;
    it.ReadName("name", server.name, Presence::kRequired);
    it.Read("address", server.address, Presence::kRequired);
    it.ReadName("failure_domain", server.failure_domain, Presence::kRequired);
    it.Read("model", server.model, Presence::kOptional);
    it.Read("service", server.service, Presence::kOptional);
    it.ReadInteger<std::uint32_t>("slots", server.slots, 1, kMaxSlots,
                                  Presence::kOptional);
    it.Read("drain", server.drain);
    it.Read("checks_fence", server.checks_fence);
    it.AddUnique("name", server.name, backend_servers_);
    CheckAddress(it, server);
    CheckModelOrService(it, server);
    out_.backend_servers.push_back(std::move(server));
  }

  // Two entries for one server would count its slots twice.
  void CheckAddress(TomlReader& it, const BackendServerConfig& server) {
    if (!it.Has("address")) {
      return;
    }
    if (!ParseIpEndpoint(server.address)) {
      it.Report(
          it.LineOf("address"),
          fmt::format("\"{}\" is not an IP number with a port", server.address),
          "give <IP number>:<port>, for example 10.0.0.5:8000");
    }
    it.AddUnique("address", server.address, addresses_);
  }

  void CheckModelOrService(TomlReader& it, const BackendServerConfig& server) {
    if (server.model.empty() == server.service.empty()) {
      it.Report(it.line(),
                fmt::format("the backend server \"{}\" needs exactly one of "
                            "\"model\" and \"service\"",
                            server.name),
                "set the one that it serves and remove the other");
    }
    CheckReference(it, "model", server.model, "model", models_);
    CheckReference(it, "service", server.service, "service", services_);
  }

  TomlReader top_;
  DocumentProblems& problems_;
  Document out_;
  LineIndex ranks_;
  LineIndex client_accounts_;
  LineIndex budgets_;
  LineIndex api_keys_;
  LineIndex models_;
  LineIndex services_;
  LineIndex backend_servers_;
  LineIndex addresses_;
  std::unordered_map<std::string, std::string> budget_owners_;
  double share_sum_ = 0;
  std::uint32_t share_line_ = 0;
};

std::string Quoted(std::string_view text) {
  std::string quoted = "\"";
  for (const char it : text) {
    if (it == '"' || it == '\\') {
      quoted += '\\';
      quoted += it;
    } else if (static_cast<unsigned char>(it) < 0x20 || it == 0x7F) {
      quoted += fmt::format("\\u{:04X}", static_cast<unsigned>(it));
    } else {
      quoted += it;
    }
  }
  return quoted + '"';
}

// Writes one document as TOML text.
class DocumentWriter {
 public:
  std::string Write(const Document& document) {
    WriteFleet(document.fleet);
    WriteLimits(document.limits);
    const auto write = [this](const auto& it) { WriteEntry(it); };
    std::ranges::for_each(document.ranks, write);
    std::ranges::for_each(document.client_accounts, write);
    std::ranges::for_each(document.api_keys, write);
    std::ranges::for_each(document.budgets, write);
    std::ranges::for_each(document.models, write);
    std::ranges::for_each(document.services, write);
    std::ranges::for_each(document.backend_servers, write);
    return fmt::to_string(buf_);
  }

 private:
  void Header(std::string_view header) {
    fmt::format_to(std::back_inserter(buf_), "{}{}\n",
                   buf_.size() == 0 ? "" : "\n", header);
  }

  void Field(std::string_view key, const std::string& value) {
    fmt::format_to(std::back_inserter(buf_), "{} = {}\n", key, Quoted(value));
  }

  void Field(std::string_view key, Millis value) { Field(key, value.count()); }

  template <typename T>
  requires std::is_arithmetic_v<T>
  void Field(std::string_view key, T value) {
    fmt::format_to(std::back_inserter(buf_), "{} = {}\n", key, value);
  }

  void WriteFleet(const FleetConfig& it) {
    Header("[fleet]");
    Field("name", it.name);
    Field("ledger_shards", it.ledger_shards);
  }

  void WriteLimits(const LimitsConfig& it) {
    Header("[limits]");
    Field("max_body_bytes", it.max_body_bytes);
    Field("default_deadline_ms", it.default_deadline);
    Field("stall_timeout_ms", it.stall_timeout);
    Field("retry_budget", it.retry_budget);
    Field("order_retention_ms", it.order_retention);
    Field("bill_retention_ms", it.bill_retention);
  }

  void WriteEntry(const RankConfig& it) {
    Header("[[rank]]");
    Field("name", it.name);
    Field("first_token_ms", it.first_token);
    Field("between_tokens_ms", it.between_tokens);
    Field("share", it.share);
    Field("max_queued", it.max_queued);
  }

  void WriteEntry(const ClientAccountConfig& it) {
    Header("[[client_account]]");
    Field("name", it.name);
    Field("weight", it.weight);
    Field("default_rank", it.default_rank);
    if (it.ranks.empty()) {
      return;
    }
    std::vector<std::string> quoted(it.ranks.size());
    std::ranges::transform(it.ranks, quoted.begin(), Quoted);
    fmt::format_to(std::back_inserter(buf_), "ranks = [{}]\n",
                   fmt::join(quoted, ", "));
  }

  void WriteEntry(const ApiKeyConfig& it) {
    Header("[[api_key]]");
    Field("sha256", it.sha256);
    Field("client_account", it.client_account);
    Field("budget", it.budget);
  }

  void WriteEntry(const BudgetConfig& it) {
    Header("[[budget]]");
    Field("name", it.name);
    Field("client_account", it.client_account);
    Field("prepaid", it.prepaid);
  }

  void WriteEntry(const ModelConfig& it) {
    Header("[[model]]");
    Field("name", it.name);
    Field("max_tokens_per_byte", it.max_tokens_per_byte);
    Field("max_output_tokens", it.max_output_tokens);
  }

  void WriteEntry(const ServiceConfig& it) {
    Header("[[service]]");
    Field("name", it.name);
    Field("repeatable", it.repeatable);
    Field("cost", it.cost);
    Field("timeout_ms", it.timeout);
  }

  void WriteEntry(const BackendServerConfig& it) {
    Header("[[backend_server]]");
    Field("name", it.name);
    Field("address", it.address);
    Field("failure_domain", it.failure_domain);
    if (it.service.empty()) {
      Field("model", it.model);
    } else {
      Field("service", it.service);
    }
    Field("slots", it.slots);
    Field("drain", it.drain);
    Field("checks_fence", it.checks_fence);
  }

  fmt::memory_buffer buf_;
};

void CheckBudgetReplacement(const BudgetConfig& current,
                            const BudgetConfig* next,
                            DocumentProblems& problems) {
  if (next == nullptr) {
    problems.push_back(
        {0, fmt::format("the budget \"{}\" was removed", current.name),
         "keep the budget; remove its API keys to stop its use"});
  } else if (next->prepaid < current.prepaid) {
    problems.push_back(
        {0,
         fmt::format("\"prepaid\" of the budget \"{}\" was lowered from {} "
                     "to {}",
                     current.name, current.prepaid, next->prepaid),
         fmt::format("give {} or more; tokens paid for are never taken back",
                     current.prepaid)});
  }
}

}  // namespace

DocumentError::DocumentError(DocumentProblems problems)
    : UserError("document_rejected",
                FormatProblems(problems),
                "correct the listed lines and submit the document again"),
      problems_(std::move(problems)) {}

Document ParseDocument(std::string_view toml) {
  DocumentProblems problems;
  const auto table = ParseToml(toml, problems);
  if (!problems.empty()) {
    throw DocumentError(std::move(problems));
  }
  auto document = DocumentReader(table, problems).Read();
  if (!problems.empty()) {
    SortByLine(problems);
    throw DocumentError(std::move(problems));
  }
  return document;
}

std::vector<DocumentProblem> CheckReplacement(const Document& current,
                                              const Document& next) {
  DocumentProblems problems;
  if (current.fleet.ledger_shards != next.fleet.ledger_shards) {
    problems.push_back(
        {0,
         fmt::format("\"ledger_shards\" was changed from {} to {}",
                     current.fleet.ledger_shards, next.fleet.ledger_shards),
         fmt::format("keep {}; the first document fixes it",
                     current.fleet.ledger_shards)});
  }
  std::unordered_map<std::string_view, const BudgetConfig*> budgets;
  for (const auto& it : next.budgets) {
    budgets.emplace(it.name, &it);
  }
  for (const auto& it : current.budgets) {
    const auto found = budgets.find(it.name);
    CheckBudgetReplacement(it, found == budgets.end() ? nullptr : found->second,
                           problems);
  }
  return problems;
}

std::string FormatDocument(const Document& document) {
  return DocumentWriter().Write(document);
}

}  // namespace crocuslatch
