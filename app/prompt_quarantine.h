#ifndef APP_PROMPT_QUARANTINE_H_
#define APP_PROMPT_QUARANTINE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/crash_evidence.h"
#include "src/event_loop.h"
#include "src/store.h"

// Defines the quarantine of prompts that crash backend servers, which all hosts
// share.
//
// A broken response is taken for a crash only if its server accepts no
// connections. Each host writes the crashes that it saw to a value of its own
// in the store and watches those of the others; crashes are rare, so that this
// costs one waiting call for each failure domain. Hosts without a path to the
// store go by what they see themselves.

namespace crocuslatch {

struct PromptQuarantineOptions {
  // Key prefix of the hosts' reports in the store.
  std::string prefix;
  std::string own_host;
  // Identifies this process.
  std::string incarnation;
  CrashEvidenceOptions evidence;
  // Time for which reports are gathered for one write.
  Millis batch_delay{30};
  Millis retry_delay{300};
  // Duration of one watch. Limits how long a connection that went silent can
  // hide a report.
  Millis watch_wait{2000};
  // Limit on the reports in this host's value.
  std::size_t max_reports = 16;
};

struct PromptQuarantineHooks {
  // Passes true if the server at the address accepts no connections.
  std::function<void(const std::string& address,
                     std::function<void(bool is_down)>)>
      probe;
  // Returns the wall-clock time since 1970.
  std::function<Millis()> wall_now;
};

class PromptQuarantine {
 public:
  // `store` must have `read_all` and `watch`.
  PromptQuarantine(PromptQuarantineOptions options,
                   Store store,
                   EventLoop loop,
                   PromptQuarantineHooks hooks);
  ~PromptQuarantine();

  // Starts to follow the reports of the other hosts.
  void Start();

  // The connection to the server broke before the response had an event;
  // `has_begun` tells whether it had a head.
  void OnBrokenResponse(const std::string& server_id,
                        const std::string& address,
                        const ModelWork& work,
                        bool has_begun);
  // A server has sent the first event of its response, or all of it.
  void OnServed(const ModelWork& work);

  struct Verdict {
    std::string part;
    // Time until the quarantine ends, if there is no further crash.
    Millis left{0};
  };
  // Returns nullopt unless the prompt has a quarantined part.
  std::optional<Verdict> Find(const ModelWork& work) const;

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace crocuslatch

#endif  // APP_PROMPT_QUARANTINE_H_
