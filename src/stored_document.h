#ifndef SRC_STORED_DOCUMENT_H_
#define SRC_STORED_DOCUMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Defines the encoding of one version of the configuration document in the
// store and between peers, and of the head, which names the newest version.

namespace crocuslatch {

struct StoredDocument {
  std::uint64_t version = 0;
  // Lower-case hex SHA-256 of `toml`.
  std::string sha256;
  // Identifies the submission, so that the operator can find it after a lost
  // answer; see IsValidNonce.
  std::string nonce;
  std::string toml;
  bool operator==(const StoredDocument&) const = default;
};

// Encodes a text header, followed by the document compressed with zlib.
std::string EncodeStoredDocument(const StoredDocument& document);
// Returns nullopt if the value is damaged or its hash does not match.
std::optional<StoredDocument> DecodeStoredDocument(std::string_view value);

// Names the newest version. `store_version` is the store's version of the value
// that contains the document, so that a reader can tell whether the head is
// outdated without reading that value.
struct StoredHead {
  std::uint64_t version = 0;
  std::string sha256;
  std::uint64_t store_version = 0;
  bool operator==(const StoredHead&) const = default;
};

std::string EncodeHead(const StoredHead& head);
// Returns nullopt if the value is damaged.
std::optional<StoredHead> DecodeHead(std::string_view value);

// Returns 32 random hex digits.
std::string MakeNonce();
// True for 1 to 64 letters, digits and hyphens.
bool IsValidNonce(std::string_view text);

}  // namespace crocuslatch

#endif  // SRC_STORED_DOCUMENT_H_
