#include "core/rotation.h"

namespace crocuslatch {

RotationPolicy::RotationPolicy(RotationOptions options, double link_bytes_per_s)
    : options_(options),
      link_bytes_per_s_(link_bytes_per_s),
      exclusion_(options.exclusion) {}

void RotationPolicy::OnRequest(std::size_t bytes, Millis now) {
  arrivals_.push_back({now, bytes});
  window_bytes_ += bytes;
  BytesPerSecond(now);
}

double RotationPolicy::BytesPerSecond(Millis now) {
  constexpr double kMillisPerSecond = 1000;
  while (!arrivals_.empty() && arrivals_.front().at + options_.window <= now) {
    window_bytes_ -= arrivals_.front().bytes;
    arrivals_.pop_front();
  }
  return static_cast<double>(window_bytes_) * kMillisPerSecond /
         static_cast<double>(options_.window.count());
}

bool RotationPolicy::IsLinkFull(Millis now) {
  if (link_bytes_per_s_ <= 0) {
    return false;
  }
  const double utilization = BytesPerSecond(now) / link_bytes_per_s_;
  return exclusion_.Update(utilization > options_.leave_utilization,
                           utilization < options_.return_utilization, now);
}

}  // namespace crocuslatch
