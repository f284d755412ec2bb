#ifndef SRC_CONFIG_KEEPER_H_
#define SRC_CONFIG_KEEPER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/document.h"
#include "src/event_loop.h"
#include "src/store.h"
#include "src/stored_document.h"
#include "src/types.h"

// Defines the keeper of the configuration document: it applies new versions
// by compare-and-swap on the platform store, and puts the newest version in
// force on this router. The version in force never decreases.

namespace crocuslatch {

struct DocumentInForce {
  std::uint64_t version = 0;
  // Lower-case hex SHA-256 of `toml`.
  std::string sha256;
  std::string toml;
  Document document;
};

using DocumentPointer = std::shared_ptr<const DocumentInForce>;

enum class ApplyStatus {
  kApplied,
  // Another version was applied to the base version first.
  kConflict,
  // The document has problems; nothing was written.
  kRejected,
  // The store did not answer; this submission was not written.
  kUnavailable,
  // The store did not answer; the submission may be or become applied.
  kUnknown,
};

struct ApplyRequest {
  std::string toml;
  // Version that the operator saw; 0 if there was none.
  std::uint64_t base_version = 0;
  // A repeated submission has the nonce of the first one, and gets its
  // result even at another router.
  std::string nonce;
};

struct ApplyResult {
  ApplyStatus status = ApplyStatus::kUnknown;
  // kApplied: the new version. kConflict: the present version.
  std::uint64_t version = 0;
  std::string sha256;
  std::vector<DocumentProblem> problems;
};

enum class ReadStatus { kOk, kNotFound, kUnavailable };

using ApplyCallback = std::function<void(const ApplyResult&)>;
using ReadVersionCallback =
    std::function<void(ReadStatus, const StoredDocument&)>;
// Receives an encoded StoredDocument, or an empty string on failure.
using PeerDocumentCallback = std::function<void(const std::string& encoded)>;

struct ConfigKeeperHooks {
  Store store;
  EventLoop loop;
  // Asks the peer for its version in force; the callback may come late or
  // never.
  std::function<void(const std::string& peer, PeerDocumentCallback)>
      fetch_from_peer;
  // Called on the loop's thread after Current() has changed.
  std::function<void(const DocumentPointer&)> on_in_force;
};

struct ConfigKeeperOptions {
  // Period of reading the head.
  Millis head_poll_period{2000};
  // Longest time that one submission is tried.
  Millis apply_timeout{8000};
};

// All functions but Current and EncodedCurrent belong to the loop's thread.
// Callbacks of a destroyed keeper are not called.
class ConfigKeeper {
 public:
  ConfigKeeper(const ConfigKeeperOptions& options, ConfigKeeperHooks hooks);
  ~ConfigKeeper();
  ConfigKeeper(const ConfigKeeper&) = delete;
  ConfigKeeper& operator=(const ConfigKeeper&) = delete;

  // Starts to read the store.
  void Start();

  // Version in force; null before the first one. Any thread.
  DocumentPointer Current() const;
  // Version in force in the form that peers fetch; empty before the first
  // one. Any thread.
  std::string EncodedCurrent() const;

  // Takes note of the version that a peer's heartbeat names.
  void OnPeerVersion(const std::string& peer,
                     std::uint64_t version,
                     const std::string& sha256);

  void Apply(ApplyRequest request, ApplyCallback callback);

  // Reads the version in force or an earlier one.
  void ReadVersion(std::uint64_t version, ReadVersionCallback callback);

 private:
  class State;
  class ApplyOperation;
  class ReadOperation;
  std::shared_ptr<State> state_;
};

}  // namespace crocuslatch

#endif  // SRC_CONFIG_KEEPER_H_
