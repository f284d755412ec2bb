#include "core/exclusion.h"

#include <algorithm>

namespace crocuslatch {

Exclusion::Exclusion(ExclusionOptions options)
    : options_(options), time_(options.initial_time) {}

bool Exclusion::Update(bool must_leave, bool may_return, Millis now) {
  if (!is_excluded_) {
    is_excluded_ = must_leave;
    excluded_at_ = now;
  } else if (may_return && now >= excluded_at_ + time_) {
    is_excluded_ = false;
    time_ = std::min(2 * time_, options_.max_time);
  }
  return is_excluded_;
}

}  // namespace crocuslatch
