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

// Defines a checked reader of TOML tables that collects every problem with
// its line instead of stopping at the first.

namespace crocuslatch {

// Lines on which values stand, for checks of duplicates and references.
using LineIndex = std::unordered_map<std::string, std::uint32_t>;

using DocumentProblems = std::vector<DocumentProblem>;

enum class Presence { kRequired, kOptional };

// Longest name of anything that an operator names.
inline constexpr std::size_t kMaxNameBytes = 128;

// True for 1 to 128 letters, digits and "._:@-", starting with a letter or
// digit: such a name needs no escaping in a URL, a header or a store key.
bool IsName(std::string_view text);

// Parses the text; a syntax error becomes a problem and an empty table.
toml::table ParseToml(std::string_view text, DocumentProblems& problems);

// One line for each problem, in the order of lines.
std::string FormatProblems(const DocumentProblems& problems);

void SortByLine(DocumentProblems& problems);

// Reads the keys of one table. A key that is absent leaves its target as it
// is. FinishKeys reports the keys that nobody read.
class TomlReader {
 public:
  // `place` is how messages call the table, for example "[[budget]]".
  TomlReader(const toml::table& table,
             std::string label,
             DocumentProblems& problems);

  void Read(std::string_view key, std::string& out, Presence presence);
  void Read(std::string_view key, bool& out);
  // A string that passes IsName.
  void ReadName(std::string_view key, std::string& out, Presence presence);
  void ReadNames(std::string_view key, std::vector<std::string>& out);
  void ReadNumber(std::string_view key, double& out, double least, double most);
  void ReadMillis(std::string_view key, Millis& out, Millis least, Millis most);

  template <std::integral T>
  void ReadInteger(std::string_view key,
                   T& out,
                   T least,
                   T most,
                   Presence presence) {
    std::int64_t value = 0;
    if (ReadInteger64(key, value, static_cast<std::int64_t>(least),
                      static_cast<std::int64_t>(most), presence)) {
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

  void ReportUnknownKeys();

  bool Has(std::string_view key) const { return table_.contains(key); }
  // Line of the key's value, or of the table if the key is absent.
  std::uint32_t LineOf(std::string_view key) const;
  std::uint32_t line() const { return table_.source().begin.line; }
  const std::string& label() const { return label_; }
  void Report(std::uint32_t line, std::string message, std::string remedy);
  // Reports a value that `index` has already; adds it otherwise. An empty
  // value is ignored.
  void AddUnique(std::string_view key,
                 const std::string& value,
                 LineIndex& index);

 private:
  const toml::node* Find(std::string_view key, Presence presence);
  bool ReadInteger64(std::string_view key,
                     std::int64_t& out,
                     std::int64_t least,
                     std::int64_t most,
                     Presence presence);
  void ReportType(std::string_view key,
                  const toml::node& node,
                  std::string_view expected);

  const toml::table& table_;
  std::string label_;
  DocumentProblems& problems_;
  std::vector<std::string> known_;
};

}  // namespace crocuslatch

#endif  // SRC_TOML_READER_H_
