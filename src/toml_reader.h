#ifndef SRC_TOML_READER_H_
#define SRC_TOML_READER_H_

#include <toml++/toml.h>

#include <algorithm>
#include <concepts>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/document.h"

// Defines a reader of TOML tables that checks every value and collects all
// problems with their lines instead of stopping at the first.

namespace crocuslatch {

// Line of each value, used to check for duplicates and missing references.
using LineIndex = std::unordered_map<std::string, std::uint32_t>;

using DocumentProblems = std::vector<DocumentProblem>;

// Whether a key must be present.
enum class Presence { kRequired, kOptional };

// Maximum length in bytes of a name chosen by an operator.
inline constexpr std::size_t kMaxNameBytes = 128;

// True for 1 to 128 letters, digits and "._:@-", starting with a letter or
// digit: such a name needs no escaping in a URL, a header or a store key.
bool IsName(std::string_view text);

// Parses the text; a syntax error becomes a problem and an empty table.
toml::table ParseToml(std::string_view text, DocumentProblems& problems);

// Formats the problems in the given order, one per line.
std::string FormatProblems(const DocumentProblems& problems);

void SortByLine(DocumentProblems& problems);

// Reads the keys of one table. The target of an absent key is left unchanged.
// ReportUnknownKeys reports the keys that were not read.
class TomlReader {
 public:
  // `label` names the table in messages, for example "[[budget]]".
  TomlReader(const toml::table& table,
             std::string label,
             DocumentProblems& problems);

  void Read(std::string_view key, std::string& out, Presence presence);
  void Read(std::string_view key, bool& out);
  // A string that passes IsName.
  void ReadName(std::string_view key, std::string& out, Presence presence);
  void ReadNames(std::string_view key, std::vector<std::string>& out);
  void ReadNumber(std::string_view key, double& out, double min, double max);
  void ReadMillis(std::string_view key, Millis& out, Millis min, Millis max);

  template <std::integral T>
  void ReadInteger(std::string_view key,
                   T& out,
                   T min,
                   T max,
                   Presence presence) {
    std::int64_t value = 0;
    if (ReadInteger64(key, value, static_cast<std::int64_t>(min),
                      static_cast<std::int64_t>(max), presence)) {
      out = static_cast<T>(value);
    }
  }

  // Calls `read` for each table of the array of tables `key`.
  void ForEachTable(std::string_view key,
                    const std::function<void(const toml::table&)>& read);
  // Calls `read` if the table `key` is present.
  void ReadTable(std::string_view key,
                 Presence presence,
                 const std::function<void(const toml::table&)>& read);

  // Reports each key of the table that was not read.
  void ReportUnknownKeys();

  bool Has(std::string_view key) const { return table_.contains(key); }
  // Line of the key's value, or of the table if the key is absent.
  std::uint32_t LineOf(std::string_view key) const;
  std::uint32_t line() const { return table_.source().begin.line; }
  const std::string& label() const { return label_; }
  // Adds a problem.
  void Report(std::uint32_t line, std::string message, std::string remedy);
  // Reports the value as a duplicate if `index` contains it; adds it otherwise.
  // An empty value is ignored.
  void AddUnique(std::string_view key,
                 const std::string& value,
                 LineIndex& index);

 private:
  const toml::node* Find(std::string_view key, Presence presence);
  bool ReadInteger64(std::string_view key,
                     std::int64_t& out,
                     std::int64_t min,
                     std::int64_t max,
                     Presence presence);
  void ReportType(std::string_view key,
                  const toml::node& node,
                  std::string_view expected);

  const toml::table& table_;
  std::string label_;
  DocumentProblems& problems_;
  std::vector<std::string> read_keys_;
};

}  // namespace crocuslatch

#endif  // SRC_TOML_READER_H_
