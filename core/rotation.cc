#include "core/rotation.h"

#include <algorithm>

namespace crocuslatch {

RotationPolicy::RotationPolicy(RotationOptions options, double link_bytes_per_s)
    : options_(options),
      link_(link_bytes_per_s),
      time_out_(options.first_time) {}

void RotationPolicy::OnRequest(std::size_t bytes, Millis now) {
  arrivals_.push_back({now, bytes});
  sum_ += bytes;
  BytesPerSecond(now);
}

double RotationPolicy::BytesPerSecond(Millis now) {
  constexpr double kMillisPerSecond = 1000;
  while (!arrivals_.empty() && arrivals_.front().at + options_.window <= now) {
    sum_ -= arrivals_.front().bytes;
    arrivals_.pop_front();
  }
  return static_cast<double>(sum_) * kMillisPerSecond /
         static_cast<double>(options_.window.count());
}

bool RotationPolicy::IsLinkFull(Millis now) {
  if (link_ <= 0) {
    return false;
  }
  const double part = BytesPerSecond(now) / link_;
  const bool is_full =
      is_full_ ? part >= options_.return_part || now < changed_at_ + time_out_
               : part > options_.leave_part;
  if (is_full != is_full_) {
    is_full_ = is_full;
    changed_at_ = now;
    if (!is_full) {
      time_out_ = std::min(2 * time_out_, options_.longest_time);
    }
  }
  return is_full_;
}

}  // namespace crocuslatch
