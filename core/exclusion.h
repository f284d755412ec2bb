#ifndef CORE_EXCLUSION_H_
#define CORE_EXCLUSION_H_

#include "src/types.h"

// Defines the hysteresis of leaving and returning: once something is excluded,
// it stays so for a minimum time, which doubles with each exclusion.

namespace crocuslatch {

struct ExclusionOptions {
  Millis initial_time{8000};
  Millis max_time{60000};
};

class Exclusion {
 public:
  explicit Exclusion(ExclusionOptions options);

  // Updates and returns the state: excluded from when `must_leave` holds until
  // `may_return` holds and the minimum time is over.
  bool Update(bool must_leave, bool may_return, Millis now);

 private:
  const ExclusionOptions options_;
  bool is_excluded_ = false;
  Millis excluded_at_{0};
  // Minimum time of the current or next exclusion.
  Millis time_;
};

}  // namespace crocuslatch

#endif  // CORE_EXCLUSION_H_
