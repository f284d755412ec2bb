#ifndef CORE_LEDGER_WRITERS_H_
#define CORE_LEDGER_WRITERS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "src/types.h"

// Defines which host writes which part of the shared state.
//
// Load pattern: all hosts settle and refill the same budgets several times a
// second. If each wrote for itself, the writes would grow with the number of
// hosts and would lose against one another; one writer for a group of shards
// sends the changes of all hosts in one transaction.
//
// Hosts differ in their links by a factor of twenty, and a writer answers no
// faster than its link lets it, so that large hosts write for small ones.
//
// Hosts need not agree: every write has a condition, so that two writers of
// one shard only cost writes.

namespace crocuslatch {

struct LedgerWritersOptions {
  // Hosts for each writer, at least. Stored shards grow with the number of
  // their holders, so that one writer for all hosts would fill its link.
  std::size_t hosts_per_writer = 8;
  // A writer that did not answer is passed over for this time, which doubles
  // with each further failure. Hosts that pass over a writer become writers
  // themselves, so that after a cut of 55 of 64 hosts, 8 s of it gave 20,000
  // lost writes in 20 s.
  Millis first_avoidance{1000};
  Millis longest_avoidance{2000};
  // A writer is waited for this multiple of a usual answer, within these
  // bounds: answers take some hundred milliseconds while the store is slow or
  // the own link is full.
  double timeout_factor = 4;
  Millis least_timeout{250};
  Millis longest_timeout{800};
};

struct WriterCandidate {
  std::string host;
  // 0 if it is not known.
  std::int64_t link_mbps = 0;
  auto operator<=>(const WriterCandidate&) const = default;
};

class LedgerWriters {
 public:
  LedgerWriters(LedgerWritersOptions options, WriterCandidate own);

  // Hosts to ask for writing the shard, best first, ending with the own host
  // if others are better. `others` are the live hosts without the own one.
  std::vector<std::string> RankWriters(
      std::uint32_t shard,
      const std::vector<WriterCandidate>& others,
      Millis now) const;

  // A writer answered, or did not in time, after `took`. True if it is passed
  // over from now on, or no longer.
  bool OnCallDone(const std::string& host,
                  bool is_answered,
                  Millis took,
                  Millis now);
  // The own host was cut off and is back: that others did not answer says
  // nothing about them.
  void ClearBackoffs() { avoided_.clear(); }
  // How long to wait for a writer.
  Millis Timeout() const;

 private:
  struct Avoidance {
    Millis time{0};
    Millis until{0};
  };

  const LedgerWritersOptions options_;
  const WriterCandidate own_;
  // Mean time of an answer.
  double usual_ms_ = 0;
  std::map<std::string, Avoidance, std::less<>> avoided_;
};

}  // namespace crocuslatch

#endif  // CORE_LEDGER_WRITERS_H_
