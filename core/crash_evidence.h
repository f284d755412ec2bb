#ifndef CORE_CRASH_EVIDENCE_H_
#define CORE_CRASH_EVIDENCE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/model_work.h"
#include "src/types.h"

// Defines which parts of prompts are held to crash backend servers (queries of
// death).
//
// Load pattern: requests with one part in their prompts, at any host and no two
// of them alike, each crash the server that begins to respond to them. A server
// that crashes breaks off many other requests, and servers crash for other
// reasons, too. A part is quarantined when several crashes in a row, at
// different moments, had a request with it whose response had not begun, and no
// response to a request with it has begun since the first of them. Parts that
// sound requests share are cleared by the next response to one of them.

namespace crocuslatch {

struct CrashEvidenceOptions {
  // Weight of a crash as evidence against a part: of a request whose response
  // had a head and no event, and of a request that had no response. The first
  // was at the server's turn; the second may still have been queued.
  int begun_weight = 2;
  int waiting_weight = 1;
  // Weight at which a part is quarantined: three crashes.
  int quarantine_weight = 6;
  // Weight from which other hosts are told that a part has been served.
  int notice_weight = 3;
  // Servers that crash within this time have a common cause, such as the loss
  // of a rack, and count as one crash.
  Millis common_cause_window{250};
  // Reports about one server within this time are about one crash.
  Millis same_crash_window{2000};
  // A quarantine ends when this time has passed since the last crash; one more
  // crash renews it.
  Millis quarantine_time{std::chrono::minutes(10)};
  Millis evidence_ttl{std::chrono::hours(1)};
  // Limits on the state; the oldest parts are dropped.
  std::size_t max_parts = 4096;
  std::size_t max_crashes_per_part = 8;
};

// The prompt parts of the requests that one host had at a server which crashed.
struct ServerCrash {
  std::string server_id;
  // Of requests whose response had begun and had no event.
  std::set<std::string> begun_parts;
  // Of requests without a response.
  std::set<std::string> waiting_parts;
  bool operator==(const ServerCrash&) const = default;
};

// Returns the parts that several requests can share. The last one belongs to
// the request itself.
std::vector<std::string> SharedPartIds(const ModelWork& work);

class CrashEvidence {
 public:
  explicit CrashEvidence(CrashEvidenceOptions options);

  // A server crashed at `at`, according to this host or another. Returns the
  // parts that are quarantined now and were not before.
  std::vector<std::string> OnCrash(const ServerCrash& crash,
                                   Millis at,
                                   Millis now);

  // A response to a request of this host has begun, so its parts crash no
  // server. Returns those of which other hosts must be told.
  std::vector<std::string> OnServed(const ModelWork& work);

  // Another host has served requests with these parts. Returns those that were
  // quarantined.
  std::vector<std::string> OnCleared(const std::vector<std::string>& parts,
                                     Millis now);

  // Returns a quarantined part of the prompt, or nullopt.
  std::optional<std::string> FindQuarantined(const ModelWork& work,
                                             Millis now) const;
  // Time until the part's quarantine ends; zero if it is not quarantined.
  Millis QuarantineLeft(const std::string& part, Millis now) const;

  std::size_t size() const { return parts_.size(); }

 private:
  // Crashes of one or more servers with one cause.
  struct Crash {
    std::set<std::string> server_ids;
    Millis at{0};
    int weight = 0;
    // This host has served a request with the part since.
    bool is_cleared_here = false;
  };
  using Crashes = std::vector<Crash>;

  void Add(const std::string& part,
           const std::string& server_id,
           int weight,
           Millis at);
  void DropOld(Millis now);

  static Millis LastCrash(const Crashes& crashes);

  const CrashEvidenceOptions options_;
  // Crashes by part, in the order in which they became known.
  std::map<std::string, Crashes> parts_;
};

}  // namespace crocuslatch

#endif  // CORE_CRASH_EVIDENCE_H_
