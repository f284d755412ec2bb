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

// Defines the configuration keeper, which writes new versions of the
// configuration document to the platform store by compare-and-swap and puts the
// newest version in force on this router. The version in force never decreases.

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
  // Another version was applied on top of the base version first.
  kConflict,
  // The document failed its checks; nothing was written.
  kRejected,
  // The store did not answer; this submission was not written.
  kUnavailable,
  // The store did not answer; the submission may have been applied or may still
  // be applied later.
  kUnknown,
};

struct ApplyRequest {
  std::string toml;
  // Version that the change is based on; 0 for the first document.
  std::uint64_t base_version = 0;
  // Identifies the submission; generated if empty. A retry with the same nonce,
  // also at another router, returns the result of the first attempt.
  std::string nonce;
};

struct ApplyResult {
  ApplyStatus status = ApplyStatus::kUnknown;
  // kApplied: the new version. kConflict: the current version.
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
  // Fetches the peer's version in force. The callback may be called late or
  // never.
  std::function<void(const std::string& peer, PeerDocumentCallback)>
      fetch_from_peer;
  // Called on the loop's thread after Current() has changed.
  std::function<void(const DocumentPointer&)> on_activated;
};

struct ConfigKeeperOptions {
  // How often config/head is read.
  Millis head_poll_period{2000};
  // Time limit of one submission, retries included.
  Millis apply_timeout{8000};
};

// Use only on the loop's thread, except for Current and EncodedCurrent.
// Callbacks are not called after the keeper is destroyed.
class ConfigKeeper {
 public:
  ConfigKeeper(const ConfigKeeperOptions& options, ConfigKeeperHooks hooks);
  ~ConfigKeeper();
  ConfigKeeper(const ConfigKeeper&) = delete;
  ConfigKeeper& operator=(const ConfigKeeper&) = delete;

  // Starts to poll the store.
  void Start();

  // Version in force; null before the first one. Any thread.
  DocumentPointer Current() const;
  // Version in force, encoded as peers fetch it; empty before the first one.
  // Any thread.
  std::string EncodedCurrent() const;

  // Fetches the version that a peer's heartbeat announces, if it is newer than
  // the version in force.
  void OnPeerVersion(const std::string& peer,
                     std::uint64_t version,
                     const std::string& sha256);

  // Checks and writes a new version, and retries while the store is
  // unavailable. Calls `callback` once.
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
