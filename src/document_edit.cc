#include "src/document_edit.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <map>
#include <sstream>
#include <unordered_map>
#include <utility>

namespace crocuslatch {
namespace {

// Upper bound of a prepaid amount; equals the one that ParseDocument checks.
constexpr Tokens kMaxPrepaid = 1'000'000'000'000'000;

// Fields of one entry by key, as TOML values.
using Fields = std::map<std::string, std::string>;
// Entries by title, for example "budget maps-main".
using EntriesByTitle = std::map<std::string, Fields>;

std::string ValueText(const toml::node& node) {
  std::ostringstream text;
  node.visit([&text](const auto& it) { text << it; });
  return text.str();
}

Fields FieldsOf(const toml::table& table) {
  Fields fields;
  for (const auto& [key, node] : table) {
    fields.emplace(key.str(), ValueText(node));
  }
  return fields;
}

// API keys have no name and are identified by their hash.
std::string TitleOf(std::string_view section, const toml::table& table) {
  const auto name = table["name"].value<std::string>();
  const auto hash = table["sha256"].value_or<std::string>("");
  return fmt::format("{} {}", section, name.value_or(hash));
}

// Uses the TOML form, so that fields that are added to the document later are
// compared without a change here.
EntriesByTitle EntriesOf(const Document& document) {
  const auto table = toml::parse(FormatDocument(document));
  EntriesByTitle entries;
  for (const auto& [key, node] : table) {
    const std::string section(key.str());
    if (const auto* single = node.as_table()) {
      entries.emplace(section, FieldsOf(*single));
      continue;
    }
    for (const auto& it : *node.as_array()) {
      entries.emplace(TitleOf(section, *it.as_table()),
                      FieldsOf(*it.as_table()));
    }
  }
  return entries;
}

std::string FormatFields(const Fields& fields) {
  std::vector<std::string> texts;
  for (const auto& [key, value] : fields) {
    if (key != "name" && key != "sha256") {
      texts.push_back(fmt::format("{} = {}", key, value));
    }
  }
  return fmt::format("{}", fmt::join(texts, ", "));
}

std::string ValueOr(const Fields& fields, const std::string& key) {
  const auto it = fields.find(key);
  return it == fields.end() ? "(none)" : it->second;
}

std::string FormatChanges(const Fields& from, const Fields& to) {
  Fields all = from;
  all.insert(to.begin(), to.end());
  std::vector<std::string> texts;
  for (const auto& [key, value] : all) {
    if (ValueOr(from, key) != ValueOr(to, key)) {
      texts.push_back(fmt::format("{} {} -> {}", key, ValueOr(from, key),
                                  ValueOr(to, key)));
    }
  }
  return fmt::format("{}", fmt::join(texts, ", "));
}

std::string RankOrder(const Document& document) {
  std::vector<std::string_view> names;
  for (const auto& it : document.ranks) {
    names.push_back(it.name);
  }
  return fmt::format("{}", fmt::join(names, ", "));
}

BudgetConfig& FindBudget(Document& document, std::string_view name) {
  const auto it =
      std::ranges::find(document.budgets, name, &BudgetConfig::name);
  if (it == document.budgets.end()) {
    throw UserError("unknown_budget",
                    fmt::format("the budget \"{}\" does not exist", name),
                    "correct the name, or create it with `budget create`");
  }
  return *it;
}

void CheckAmount(bool is_valid, Tokens amount) {
  if (!is_valid) {
    throw UserError("bad_amount",
                    fmt::format("{} is not a valid amount here", amount),
                    fmt::format("give a positive number of tokens; the total "
                                "is at most {}",
                                kMaxPrepaid));
  }
}

void KeepClientAccount(const Document& current,
                       const std::string& name,
                       Document& next) {
  const auto* account = FindByName(current.client_accounts, name);
  if (account != nullptr && FindByName(next.client_accounts, name) == nullptr) {
    next.client_accounts.push_back(*account);
  }
}

}  // namespace

std::vector<std::string> DiffDocuments(const Document& from,
                                       const Document& to) {
  const auto before = EntriesOf(from);
  const auto after = EntriesOf(to);
  std::vector<std::string> lines;
  if (RankOrder(from) != RankOrder(to)) {
    lines.push_back(fmt::format("~ order of ranks: {} -> {}", RankOrder(from),
                                RankOrder(to)));
  }
  for (const auto& [title, fields] : before) {
    const auto it = after.find(title);
    if (it == after.end()) {
      lines.push_back(fmt::format("- {}: {}", title, FormatFields(fields)));
    } else if (it->second != fields) {
      lines.push_back(
          fmt::format("~ {}: {}", title, FormatChanges(fields, it->second)));
    }
  }
  for (const auto& [title, fields] : after) {
    if (!before.contains(title)) {
      lines.push_back(fmt::format("+ {}: {}", title, FormatFields(fields)));
    }
  }
  return lines;
}

void TopUpBudget(Document& document, std::string_view budget, Tokens amount) {
  auto& it = FindBudget(document, budget);
  CheckAmount(amount > 0 && amount <= kMaxPrepaid - it.prepaid, amount);
  it.prepaid += amount;
}

bool RaiseBudget(Document& document, std::string_view budget, Tokens total) {
  auto& it = FindBudget(document, budget);
  CheckAmount(total > 0 && total <= kMaxPrepaid, total);
  if (it.prepaid >= total) {
    return false;
  }
  it.prepaid = total;
  return true;
}

void CreateBudget(Document& document, const BudgetConfig& budget) {
  if (FindByName(document.budgets, budget.name) != nullptr) {
    throw UserError("budget_exists",
                    fmt::format("the budget \"{}\" exists", budget.name),
                    "choose another name, or raise it with `budget top-up`");
  }
  document.budgets.push_back(budget);
}

bool SetDrain(Document& document, std::string_view server, bool drain) {
  const auto it = std::ranges::find(document.backend_servers, server,
                                    &BackendServerConfig::name);
  if (it == document.backend_servers.end()) {
    throw UserError(
        "unknown_backend_server",
        fmt::format("the backend server \"{}\" does not exist", server),
        "correct the name; `show` lists the backend servers");
  }
  return std::exchange(it->drain, drain) != drain;
}

Document RollForward(const Document& current, const Document& earlier) {
  Document next = earlier;
  next.fleet.ledger_shards = current.fleet.ledger_shards;
  std::unordered_map<std::string, BudgetConfig*> budgets;
  for (auto& it : next.budgets) {
    budgets.emplace(it.name, &it);
  }
  std::vector<BudgetConfig> kept;
  for (const auto& it : current.budgets) {
    const auto found = budgets.find(it.name);
    if (found == budgets.end()) {
      kept.push_back(it);
      KeepClientAccount(current, it.client_account, next);
    } else {
      found->second->prepaid = std::max(found->second->prepaid, it.prepaid);
    }
  }
  next.budgets.insert(next.budgets.end(), kept.begin(), kept.end());
  return next;
}

}  // namespace crocuslatch
