#ifndef TESTS_FIXTURE_DOCUMENT_H_
#define TESTS_FIXTURE_DOCUMENT_H_

#include <fstream>
#include <iterator>
#include <string>

// Defines small valid inputs, which tests modify in one place.

namespace crocuslatch {

inline std::string ReadSourceFile(const std::string& path) {
  std::ifstream file(std::string(CROCUSLATCH_SOURCE_DIR) + "/" + path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// The error tests depend on the line numbers.
inline std::string SmallDocument() {
  return R"([fleet]
name = "test"
ledger_shards = 4
[[rank]]
name = "urgent"
share = 0.5
[[rank]]
name = "bulk"
share = 0.25
[[client_account]]
name = "one"
default_rank = "urgent"
[[budget]]
name = "one-main"
client_account = "one"
prepaid = 1000
[[api_key]]
sha256 = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"
client_account = "one"
budget = "one-main"
[[model]]
name = "m"
[[service]]
name = "booking"
[[backend_server]]
name = "engine-1"
address = "127.0.0.1:8000"
failure_domain = "domain-a"
model = "m"
)";
}

inline std::string Replaced(std::string text,
                            const std::string& from,
                            const std::string& to) {
  const auto at = text.find(from);
  return at == std::string::npos ? std::string()
                                 : text.replace(at, from.size(), to);
}

}  // namespace crocuslatch

#endif  // TESTS_FIXTURE_DOCUMENT_H_
