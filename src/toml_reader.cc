#include "src/toml_reader.h"

#include <fmt/format.h>

namespace crocuslatch {
namespace {

bool IsAlphanumeric(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

std::string_view TypeName(const toml::node& node) {
  switch (node.type()) {
    case toml::node_type::table:
      return "a table";
    case toml::node_type::array:
      return "an array";
    case toml::node_type::string:
      return "a string";
    case toml::node_type::integer:
      return "an integer";
    case toml::node_type::floating_point:
      return "a number with a decimal point";
    case toml::node_type::boolean:
      return "a boolean";
    default:
      return "a date or time";
  }
}

}  // namespace

bool IsName(std::string_view text) {
  const auto allowed = [](char c) {
    return IsAlphanumeric(c) ||
           std::string_view("._:@-").find(c) != std::string_view::npos;
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         IsAlphanumeric(text.front()) && std::ranges::all_of(text, allowed);
}

toml::table ParseToml(std::string_view text, DocumentProblems& problems) {
  try {
    return toml::parse(text);
  } catch (const toml::parse_error& error) {
    problems.push_back(
        {error.source().begin.line,
         fmt::format("syntax error: {}", error.description()),
         "correct the TOML syntax of this line; the rest is checked then"});
  }
  return {};
}

void SortByLine(DocumentProblems& problems) {
  std::ranges::stable_sort(problems, {}, &DocumentProblem::line);
}

std::string FormatProblems(const DocumentProblems& problems) {
  std::string text;
  for (const auto& it : problems) {
    const std::string line =
        it.line == 0 ? std::string() : fmt::format("line {}: ", it.line);
    text += fmt::format("{}{}{} ({})", text.empty() ? "" : "\n", line,
                        it.message, it.remedy);
  }
  return text;
}

TomlReader::TomlReader(const toml::table& table,
                       std::string label,
                       DocumentProblems& problems)
    : table_(table), label_(std::move(label)), problems_(problems) {}

std::uint32_t TomlReader::LineOf(std::string_view key) const {
  const auto* node = table_.get(key);
  return node == nullptr ? line() : node->source().begin.line;
}

void TomlReader::Report(std::uint32_t line,
                        std::string message,
                        std::string remedy) {
  problems_.push_back({line, std::move(message), std::move(remedy)});
}

void TomlReader::AddUnique(std::string_view key,
                           const std::string& value,
                           LineIndex& index) {
  if (value.empty()) {
    return;
  }
  const auto [it, added] = index.emplace(value, LineOf(key));
  if (!added) {
    Report(LineOf(key),
           fmt::format("duplicate {} \"{}\" of {}; the first is on line {}",
                       key, value, label(), it->second),
           "remove or rename one of the two");
  }
}

void TomlReader::ReportType(std::string_view key,
                            const toml::node& node,
                            std::string_view expected) {
  Report(node.source().begin.line,
         fmt::format("\"{}\" of {} is {}, not {}", key, label_, TypeName(node),
                     expected),
         fmt::format("give {}", expected));
}

const toml::node* TomlReader::Find(std::string_view key, Presence presence) {
  known_.emplace_back(key);
  const auto* node = table_.get(key);
  if (node == nullptr && presence == Presence::kRequired) {
    Report(line(), fmt::format("{} has no \"{}\"", label_, key),
           fmt::format("add \"{}\"", key));
  }
  return node;
}

void TomlReader::Read(std::string_view key,
                      std::string& out,
                      Presence presence) {
  const auto* node = Find(key, presence);
  if (node == nullptr) {
    return;
  }
  if (const auto* text = node->as_string()) {
    out = text->get();
  } else {
    ReportType(key, *node, "a string");
  }
}

void TomlReader::Read(std::string_view key, bool& out) {
  const auto* node = Find(key, Presence::kOptional);
  if (node == nullptr) {
    return;
  }
  if (const auto* flag = node->as_boolean()) {
    out = flag->get();
  } else {
    ReportType(key, *node, "a boolean");
  }
}

void TomlReader::ReadName(std::string_view key,
                          std::string& out,
                          Presence presence) {
  Read(key, out, presence);
  const auto* node = table_.get(key);
  if (node != nullptr && node->is_string() && !IsName(out)) {
    Report(LineOf(key),
           fmt::format("\"{}\" of {} is not a valid name", key, label_),
           "use 1 to 128 letters, digits and . _ : @ -, starting with a "
           "letter or digit");
  }
}

void TomlReader::ReadNames(std::string_view key,
                           std::vector<std::string>& out) {
  const auto* node = Find(key, Presence::kOptional);
  if (node == nullptr) {
    return;
  }
  const auto* array = node->as_array();
  if (array == nullptr) {
    ReportType(key, *node, "an array of strings");
    return;
  }
  for (const auto& it : *array) {
    if (const auto* text = it.as_string()) {
      out.push_back(text->get());
    } else {
      ReportType(key, it, "an array of strings");
    }
  }
}

void TomlReader::ReadNumber(std::string_view key,
                            double& out,
                            double least,
                            double most) {
  const auto* node = Find(key, Presence::kOptional);
  if (node == nullptr) {
    return;
  }
  if (!node->is_number()) {
    ReportType(key, *node, "a number");
    return;
  }
  const double value = node->value<double>().value_or(least);
  // The negated form also refuses nan.
  if (!(value >= least && value <= most)) {
    Report(LineOf(key),
           fmt::format("\"{}\" of {} is {}, outside {} to {}", key, label_,
                       value, least, most),
           fmt::format("give a number from {} to {}", least, most));
    return;
  }
  out = value;
}

void TomlReader::ReadMillis(std::string_view key,
                            Millis& out,
                            Millis least,
                            Millis most) {
  std::int64_t value = 0;
  if (ReadInteger64(key, value, least.count(), most.count(),
                    Presence::kOptional)) {
    out = Millis(value);
  }
}

bool TomlReader::ReadInteger64(std::string_view key,
                               std::int64_t& out,
                               std::int64_t least,
                               std::int64_t most,
                               Presence presence) {
  const auto* node = Find(key, presence);
  if (node == nullptr) {
    return false;
  }
  const auto* number = node->as_integer();
  if (number == nullptr) {
    ReportType(key, *node, "an integer");
    return false;
  }
  if (number->get() < least || number->get() > most) {
    Report(LineOf(key),
           fmt::format("\"{}\" of {} is {}, outside {} to {}", key, label_,
                       number->get(), least, most),
           fmt::format("give an integer from {} to {}", least, most));
    return false;
  }
  out = number->get();
  return true;
}

void TomlReader::ForEachTable(
    std::string_view key,
    const std::function<void(const toml::table&)>& read) {
  const auto* node = Find(key, Presence::kOptional);
  if (node == nullptr) {
    return;
  }
  const std::string expected = fmt::format("an array of tables [[{}]]", key);
  const auto* array = node->as_array();
  if (array == nullptr) {
    ReportType(key, *node, expected);
    return;
  }
  for (const auto& it : *array) {
    if (const auto* table = it.as_table()) {
      read(*table);
    } else {
      ReportType(key, it, expected);
    }
  }
}

void TomlReader::ReadTable(
    std::string_view key,
    Presence presence,
    const std::function<void(const toml::table&)>& read) {
  const auto* node = Find(key, presence);
  if (node == nullptr) {
    return;
  }
  if (const auto* table = node->as_table()) {
    read(*table);
  } else {
    ReportType(key, *node, fmt::format("a table [{}]", key));
  }
}

void TomlReader::ReportUnknownKeys() {
  for (const auto& [key, node] : table_) {
    if (std::ranges::find(known_, key.str()) != known_.end()) {
      continue;
    }
    Report(key.source().begin.line,
           fmt::format("{} has the unknown key \"{}\"", label_, key.str()),
           fmt::format("remove it or correct it to one of: {}",
                       fmt::join(known_, ", ")));
  }
}

}  // namespace crocuslatch
