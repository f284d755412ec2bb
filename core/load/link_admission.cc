#include "core/load/link_admission.h"

#include <algorithm>

namespace crocuslatch {
namespace {

constexpr double kMillisPerSecond = 1000;

Millis Interpolate(Millis from, Millis to, double position) {
  const auto difference = static_cast<double>((to - from).count());
  return from + Millis{static_cast<Millis::rep>(difference * position)};
}

}  // namespace

LinkAdmission::LinkAdmission(LinkAdmissionOptions options,
                             double link_bytes_per_s)
    : options_(options),
      usable_bytes_per_ms_(link_bytes_per_s * options.usable_fraction /
                           kMillisPerSecond) {}

LinkDecision LinkAdmission::Decide(const LinkRequest& request,
                                   double random,
                                   Millis now) {
  const std::size_t body =
      std::min(request.body_bytes, options_.max_stated_bytes);
  const std::size_t bytes = request.head_bytes + body;
  const double weight =
      1 + options_.priority_weight * std::max(0, request.priority);
  LinkDecision decision{.backlog = Backlog(now),
                        .limit = LimitOf(static_cast<double>(bytes) * weight),
                        .counted_body_bytes = body};
  // The request's own bytes do not count towards its backlog, so that an idle
  // link admits a request of any size. They count for the next one.
  decision.is_admitted =
      usable_bytes_per_ms_ <= 0 || decision.backlog < decision.limit;
  if (decision.is_admitted) {
    OnBytes(bytes, bytes, now);
  } else {
    decision.retry_after =
        Interpolate(options_.min_retry_after, options_.max_retry_after, random);
    OnBytes(request.head_bytes, 0, now);
  }
  return decision;
}

void LinkAdmission::OnBytes(std::size_t received,
                            std::size_t sent,
                            Millis now) {
  Drain(now);
  Add(received_backlog_ms_, received);
  Add(sent_backlog_ms_, sent);
}

Millis LinkAdmission::Backlog(Millis now) {
  Drain(now);
  return Millis{static_cast<Millis::rep>(
      std::max(received_backlog_ms_, sent_backlog_ms_))};
}

void LinkAdmission::Drain(Millis now) {
  const auto elapsed =
      static_cast<double>(std::max(Millis{0}, now - drained_at_).count());
  drained_at_ = std::max(drained_at_, now);
  received_backlog_ms_ = std::max(0.0, received_backlog_ms_ - elapsed);
  sent_backlog_ms_ = std::max(0.0, sent_backlog_ms_ - elapsed);
}

Millis LinkAdmission::LimitOf(double weighted_bytes) const {
  return Interpolate(options_.small_limit, options_.large_limit,
                     std::min(1.0, weighted_bytes / options_.large_bytes));
}

void LinkAdmission::Add(double& backlog_ms, std::size_t bytes) const {
  if (usable_bytes_per_ms_ > 0) {
    backlog_ms = std::min(
        static_cast<double>(options_.max_backlog.count()),
        backlog_ms + static_cast<double>(bytes) / usable_bytes_per_ms_);
  }
}

}  // namespace crocuslatch
