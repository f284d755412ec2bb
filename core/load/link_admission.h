#ifndef CORE_LOAD_LINK_ADMISSION_H_
#define CORE_LOAD_LINK_ADMISSION_H_

#include <cstddef>

#include "src/types.h"

// Defines which requests a host refuses at their heads because its own link is
// near its capacity.
//
// Load pattern: the balancer distributes connections by a hash of the caller,
// so an account that sends several times its usual load sends it to one host.
// Its bodies and their copies on the way to the servers fill the host's link of
// 10 Mbit/s within a second. Messages to other hosts then wait behind them for
// longer than their timeouts, and nearly nothing is answered, while the other
// hosts are idle. RotationPolicy takes two seconds to stop that.
//
// Each direction of the link has a backlog: the known bytes in excess of what
// the usable part of the link has carried since. The larger and the less urgent
// a request is, the smaller is the backlog at which it is refused.

namespace crocuslatch {

struct LinkAdmissionOptions {
  // Fraction of the link that known bytes may use. The rest is for what is not
  // counted: messages between hosts, calls to the store and packet headers.
  double usable_fraction = 0.6;
  // Backlogs at which the smallest and the largest requests are refused.
  Millis small_limit{400};
  Millis large_limit{100};
  // Weighted size from which a request has `large_limit`.
  double large_bytes = 32 << 10;
  // A request's size is multiplied by 1 + `priority_weight` * priority.
  double priority_weight = 0.5;
  // A backlog does not grow beyond this, so that refusals end soon after a
  // flood.
  Millis max_backlog{500};
  // Limit on what one stated length counts. The largest prompts have 100 KB; a
  // caller that states more and sends nothing must not block the others.
  std::size_t max_stated_bytes = 128 << 10;
  // Range of the Retry-After of refused requests. Callers retry on a new
  // connection, which usually reaches another host, so it only spreads them.
  Millis min_retry_after{20};
  Millis max_retry_after{100};
};

// A request whose head has arrived.
struct LinkRequest {
  std::size_t head_bytes = 0;
  // Stated length; 0 if it is unknown.
  std::size_t body_bytes = 0;
  // 0 is the highest priority.
  int priority = 0;
};

struct LinkDecision {
  bool is_admitted = true;
  // Backlog that the request found, and the limit that applied to it.
  Millis backlog{0};
  Millis limit{0};
  // Size of the body as far as it is counted.
  std::size_t counted_body_bytes = 0;
  Millis retry_after{0};
};

class LinkAdmission {
 public:
  // A `link_bytes_per_s` of 0 means that the bandwidth is unknown; every
  // request is then admitted.
  LinkAdmission(LinkAdmissionOptions options, double link_bytes_per_s);

  // Decides on a request. The bytes of an admitted one are counted at once in
  // both directions, since its body is still arriving and will be sent on.
  // `random` is uniform in [0, 1).
  LinkDecision Decide(const LinkRequest& request, double random, Millis now);
  // Counts bytes that Decide did not: responses, and bodies without a stated
  // length or sent again.
  void OnBytes(std::size_t received, std::size_t sent, Millis now);
  // The larger backlog of the two directions.
  Millis Backlog(Millis now);

 private:
  // Removes what the link has carried since the last call.
  void Drain(Millis now);
  Millis LimitOf(double weighted_bytes) const;
  void Add(double& backlog_ms, std::size_t bytes) const;

  const LinkAdmissionOptions options_;
  const double usable_bytes_per_ms_;
  Millis drained_at_{0};
  double received_backlog_ms_ = 0;
  double sent_backlog_ms_ = 0;
};

}  // namespace crocuslatch

#endif  // CORE_LOAD_LINK_ADMISSION_H_
