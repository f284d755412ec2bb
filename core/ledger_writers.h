#ifndef CORE_LEDGER_WRITERS_H_
#define CORE_LEDGER_WRITERS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "src/types.h"

// Defines which host writes which shards of the ledger.
//
// Load pattern: all hosts settle and refill the same budgets several times a
// second. If each host wrote its own changes, the number of writes would grow
// with the number of hosts, and concurrent writes would conflict. Instead, one
// writer for a group of shards sends the changes of all hosts in one
// transaction.
//
// The bandwidth of the hosts' links differs by a factor of twenty, and a
// writer's link limits how fast it replies, so hosts with fast links write for
// those with slow ones.
//
// The hosts need not agree on the writer. Every write is conditional, so two
// writers of one shard only cause additional writes.

namespace crocuslatch {

struct LedgerWritersOptions {
  // Minimum number of hosts per writer. The size of a stored shard grows with
  // the number of its holders, so a single writer for all hosts would saturate
  // its link.
  std::size_t hosts_per_writer = 8;
  // Maximum number of writers. Each makes some tens of calls a second at most,
  // however many hosts it writes for.
  std::size_t max_writers = 8;
  // A writer that did not reply is skipped for this time, which doubles with
  // each further failure. Hosts that skip their writer write for themselves,
  // so the backoff must stay short: with 8 s, a partition of 55 of 64 hosts was
  // followed by 20,000 conflicting writes in 20 s.
  Millis initial_backoff{1000};
  Millis max_backoff{2000};
  // The timeout is this multiple of the mean reply time, within the bounds
  // below. Replies take some hundred milliseconds while the store is slow or
  // this host's link is saturated.
  double timeout_factor = 4;
  Millis min_timeout{250};
  Millis max_timeout{800};
};

struct WriterCandidate {
  std::string host;
  // Bandwidth of the host's link; 0 if unknown.
  std::int64_t link_mbps = 0;
  auto operator<=>(const WriterCandidate&) const = default;
};

// Weighted rendezvous hashing; the candidate with the lowest score is preferred
// for the key. The weight is the square of the bandwidth, so that six hosts
// with 200 Mbit/s are preferred to sixty hosts with 10 Mbit/s.
double RendezvousScore(const WriterCandidate& candidate, std::uint64_t key);

class LedgerWriters {
 public:
  LedgerWriters(LedgerWritersOptions options, WriterCandidate own);

  // Returns the hosts to ask to write the shard, in order of preference, up to
  // and including this host. `others` are the live hosts except this one.
  std::vector<std::string> RankWriters(
      std::uint32_t shard,
      const std::vector<WriterCandidate>& others,
      Millis now) const;

  // Records the result of a call to a writer: it answered, or timed out, after
  // `took`. Returns true if the writer starts or stops being skipped.
  bool OnCallDone(const std::string& host,
                  bool has_answered,
                  Millis took,
                  Millis now);
  // To be called when this host is connected again after a partition, in which
  // timeouts say nothing about the other hosts.
  void ClearBackoffs() { backoffs_.clear(); }
  // Time to wait for a writer's reply.
  Millis Timeout() const;

 private:
  struct Backoff {
    Millis duration{0};
    Millis until{0};
  };

  const LedgerWritersOptions options_;
  const WriterCandidate own_;
  // Moving average of the reply time.
  double mean_reply_ms_ = 0;
  std::map<std::string, Backoff, std::less<>> backoffs_;
};

}  // namespace crocuslatch

#endif  // CORE_LEDGER_WRITERS_H_
