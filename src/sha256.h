#ifndef SRC_SHA256_H_
#define SRC_SHA256_H_

#include <string>
#include <string_view>

// Defines the hash of API keys and configuration documents.

namespace crocuslatch {

// Returns the lower-case hex SHA-256 of the text.
std::string Sha256Hex(std::string_view text);

}  // namespace crocuslatch

#endif  // SRC_SHA256_H_
