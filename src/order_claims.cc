#include "src/order_claims.h"

#include <fmt/format.h>

#include <map>
#include <mutex>
#include <optional>

namespace crocuslatch {

struct OrderClaims::Core : std::enable_shared_from_this<OrderClaims::Core> {
  OrderClaimsOptions options;
  HolderId holder;
  EventLoop loop;
  ApplyToShard apply;
  std::function<std::uint64_t()> random;
  std::function<std::optional<Tokens>(const std::string&)> limit;

  mutable std::mutex mutex;
  std::size_t pending = 0;

  std::uint32_t ShardOf(const std::string& budget) const {
    return ShardOfBudget(budget, options.shard_count);
  }

  // Counts the write now, so that a planned stop cannot miss it.
  void Persist(const std::string& budget, ShardCommand command) {
    {
      const std::lock_guard lock(mutex);
      ++pending;
    }
    loop.post([weak = weak_from_this(), budget, command = std::move(command)] {
      if (const auto self = weak.lock()) {
        self->Write(budget, command);
      }
    });
  }

  void Write(const std::string& budget, const ShardCommand& command) {
    apply(ShardOf(budget), {command}, options.write_timeout,
          [weak = weak_from_this(), budget, command](
              LedgerStatus status, const std::vector<ShardReply>&) {
            if (const auto self = weak.lock()) {
              self->OnWritten(status, budget, command);
            }
          });
  }

  void OnWritten(LedgerStatus status,
                 const std::string& budget,
                 const ShardCommand& command) {
    if (status == LedgerStatus::kDurable) {
      const std::lock_guard lock(mutex);
      --pending;
      return;
    }
    loop.after(options.retry_delay, [weak = weak_from_this(), budget, command] {
      if (const auto self = weak.lock()) {
        self->Write(budget, command);
      }
    });
  }

  void SendClaim(const ClaimRequest& request,
                 const OrderAttempt& attempt,
                 std::function<void(const ClaimResult&)> callback) {
    const auto present = limit(request.budget);
    if (!present) {
      callback({.status = ClaimStatus::kUnknownBudget, .attempt = attempt});
      return;
    }
    apply(ShardOf(request.budget),
          {SetLimitCommand{.budget = request.budget, .limit = *present},
           ClaimCommand{.key = request.key,
                        .digest = request.digest,
                        .budget = request.budget,
                        .cost = request.cost,
                        .attempt = attempt.attempt,
                        .holder = holder}},
          request.timeout,
          [weak = weak_from_this(), attempt, callback = std::move(callback)](
              LedgerStatus status, const std::vector<ShardReply>& replies) {
            if (const auto self = weak.lock()) {
              callback(self->ResultOf(attempt, status, replies));
            }
          });
  }

  ClaimResult ResultOf(const OrderAttempt& attempt,
                       LedgerStatus status,
                       const std::vector<ShardReply>& replies) {
    ClaimResult result{.attempt = attempt};
    if (status != LedgerStatus::kDurable || replies.size() != 2) {
      // The claim may take effect even now; nothing was dispatched for it.
      Persist(attempt.budget, AbandonCommand{.key = attempt.key,
                                             .attempt = attempt.attempt,
                                             .budget = attempt.budget});
      return result;
    }
    result.record = replies[1].claim;
    switch (replies[1].status) {
      case ReplyStatus::kOk:
        result.status = ClaimStatus::kClaimed;
        break;
      case ReplyStatus::kInsufficient:
        result.status = ClaimStatus::kInsufficient;
        break;
      case ReplyStatus::kUnknownBudget:
        result.status = ClaimStatus::kUnknownBudget;
        break;
      case ReplyStatus::kKeyReused:
        result.status = ClaimStatus::kKeyReused;
        break;
      case ReplyStatus::kExists:
        result.status = ClaimStatus::kExists;
        break;
      case ReplyStatus::kNotHeld:
      case ReplyStatus::kBadSequence:
        // Never dispatched without a durable claim of this attempt.
        break;
    }
    return result;
  }
};

OrderClaims::OrderClaims(
    OrderClaimsOptions options,
    HolderId holder,
    EventLoop loop,
    ApplyToShard apply,
    std::function<std::uint64_t()> random,
    std::function<std::optional<Tokens>(const std::string&)> limit)
    : core_(std::make_shared<Core>()) {
  core_->options = options;
  core_->holder = std::move(holder);
  core_->loop = std::move(loop);
  core_->apply = std::move(apply);
  core_->random = std::move(random);
  core_->limit = std::move(limit);
}

OrderClaims::~OrderClaims() = default;

void OrderClaims::Claim(const ClaimRequest& request,
                        std::function<void(const ClaimResult&)> callback) {
  const OrderAttempt attempt{
      .key = request.key, .budget = request.budget, .attempt = core_->random()};
  core_->loop.post([weak = std::weak_ptr(core_), request, attempt,
                    callback = std::move(callback)] {
    if (const auto self = weak.lock()) {
      self->SendClaim(request, attempt, callback);
    }
  });
}

void OrderClaims::Finish(const OrderAttempt& attempt,
                         int status,
                         const std::string& body) {
  const auto stored =
      body.size() <= kMaxStoredBodyBytes
          ? body
          : fmt::format(
                R"({{"note":"the answer had {} bytes and is not kept for )"
                R"(retries; the order ran once with this status"}})",
                body.size());
  core_->Persist(attempt.budget, FinishCommand{.key = attempt.key,
                                               .attempt = attempt.attempt,
                                               .http_status = status,
                                               .body = stored});
}

void OrderClaims::Abandon(const OrderAttempt& attempt) {
  core_->Persist(attempt.budget, AbandonCommand{.key = attempt.key,
                                                .attempt = attempt.attempt,
                                                .budget = attempt.budget});
}

void OrderClaims::Doubt(const OrderAttempt& attempt) {
  core_->Persist(attempt.budget,
                 DoubtCommand{.key = attempt.key, .attempt = attempt.attempt});
}

std::size_t OrderClaims::pending() const {
  const std::lock_guard lock(core_->mutex);
  return core_->pending;
}

}  // namespace crocuslatch
