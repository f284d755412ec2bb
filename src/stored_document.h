#ifndef SRC_STORED_DOCUMENT_H_
#define SRC_STORED_DOCUMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Defines the form in which the store and the peers carry one version of the
// configuration document, and the head that names the newest version.

namespace crocuslatch {

struct StoredDocument {
  std::uint64_t version = 0;
  // Lower-case hex SHA-256 of `toml`.
  std::string sha256;
  // Identifies the submission, so that it can be found again after a lost
  // answer; see IsNonce.
  std::string nonce;
  std::string toml;
  bool operator==(const StoredDocument&) const = default;
};

// Text header, then the document compressed by zlib.
std::string EncodeStoredDocument(const StoredDocument& document);
// Nothing if the value is damaged or its hash does not match.
std::optional<StoredDocument> DecodeStoredDocument(std::string_view value);

// Names the newest version. `store_version` is the store's version of the
// value that contains it, so that a reader can tell whether the head is
// behind without reading that value.
struct StoredHead {
  std::uint64_t version = 0;
  std::string sha256;
  std::uint64_t store_version = 0;
  bool operator==(const StoredHead&) const = default;
};

std::string EncodeHead(const StoredHead& head);
// Nothing if the value is damaged.
std::optional<StoredHead> DecodeHead(std::string_view value);

// 32 random hex digits.
std::string MakeNonce();
// True for 1 to 64 letters, digits and hyphens.
bool IsValidNonce(std::string_view text);

}  // namespace crocuslatch

#endif  // SRC_STORED_DOCUMENT_H_
