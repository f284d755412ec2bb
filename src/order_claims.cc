#include "src/order_claims.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <variant>

namespace crocuslatch {
namespace {

// Limits the size of one call: with 4 KB for each stored answer it stays below
// the 1.5 MB limit of a peer frame.
constexpr std::size_t kMaxBatchCommands = 256;

// Index of the claim's reply in the batches made below.
constexpr std::size_t kClaimReplyIndex = 1;

const RequestKey& KeyOf(const ShardCommand& command) {
  static const RequestKey kNone{};
  return std::visit(
      [](const auto& it) -> const RequestKey& {
        if constexpr (requires { it.key; }) {
          return it.key;
        } else {
          return kNone;
        }
      },
      command);
}

bool IsAbandonCommand(const ShardCommand& command) {
  return std::holds_alternative<AbandonCommand>(command);
}

// Binds the key of the order to the budget: a derived key gets a finished claim
// whose digest identifies the budget.
std::vector<ShardCommand> MakeBindCommands(const ClaimRequest& request,
                                           std::uint64_t attempt,
                                           const HolderId& holder) {
  const std::string budget(kOrderKeyBudget);
  const auto key = MakeRequestKey({"order-budget", ToString(request.key)});
  return {SetLimitCommand{.budget = budget, .limit = 0},
          ClaimCommand{.key = key,
                       .digest = MakeRequestKey({request.budget}),
                       .budget = budget,
                       .cost = 0,
                       .attempt = attempt,
                       .holder = holder},
          FinishCommand{.key = key, .attempt = attempt}};
}

std::vector<ShardCommand> MakeClaimCommands(const ClaimRequest& request,
                                            std::uint64_t attempt,
                                            const HolderId& holder,
                                            Tokens limit) {
  return {SetLimitCommand{.budget = request.budget, .limit = limit},
          ClaimCommand{.key = request.key,
                       .digest = request.digest,
                       .budget = request.budget,
                       .cost = request.cost,
                       .attempt = attempt,
                       .holder = holder}};
}

AbandonCommand MakeAbandonCommand(const OrderAttempt& attempt) {
  return {
      .key = attempt.key, .attempt = attempt.attempt, .budget = attempt.budget};
}

ClaimStatus ToClaimStatus(ReplyStatus status) {
  switch (status) {
    case ReplyStatus::kOk:
      return ClaimStatus::kClaimed;
    case ReplyStatus::kInsufficient:
      return ClaimStatus::kInsufficient;
    case ReplyStatus::kUnknownBudget:
      return ClaimStatus::kUnknownBudget;
    case ReplyStatus::kKeyReused:
      return ClaimStatus::kKeyReused;
    case ReplyStatus::kExists:
      return ClaimStatus::kExists;
    case ReplyStatus::kNotHeld:
    case ReplyStatus::kBadSequence:
      // This attempt has no durable claim, so it is never dispatched.
      break;
  }
  return ClaimStatus::kUnknown;
}

// A claim in progress through both steps, binding and claiming.
struct ClaimCall {
  ClaimRequest request;
  OrderAttempt attempt;
  // Current limit of the budget.
  Tokens limit = 0;
  Millis deadline{0};
  std::function<void(const ClaimResult&)> callback;

  void End(ClaimStatus status, const ClaimRecord& record = {}) const {
    callback({.status = status, .attempt = attempt, .record = record});
  }
};

using ClaimCallPtr = std::shared_ptr<const ClaimCall>;

// Writes of one shard that are not yet durable, the oldest first.
struct PendingWrites {
  std::vector<ShardCommand> commands;
  // A call is in flight or waits for its retry.
  bool busy = false;
  Millis retry_delay{0};
};

}  // namespace

struct OrderClaims::Core : std::enable_shared_from_this<OrderClaims::Core> {
  OrderClaimsOptions options;
  HolderId holder;
  EventLoop loop;
  ApplyToShard apply;
  std::function<std::uint64_t()> random;
  std::function<std::optional<Tokens>(const std::string&)> limit;
  // Accessed on the loop only.
  std::map<std::uint32_t, PendingWrites> writes_by_shard;

  mutable std::mutex mutex;
  std::size_t pending_writes = 0;
  // Claims confirmed here whose end is not yet durable.
  std::map<RequestKey, ClaimRecord> own_claims;

  std::uint32_t ShardOf(const std::string& budget) const {
    return ShardOfBudget(budget, options.shard_count);
  }

  // Counts the write at once, so that a planned stop waits for it.
  void Persist(const std::string& budget, ShardCommand command) {
    {
      const std::lock_guard lock(mutex);
      ++pending_writes;
    }
    loop.post([weak = weak_from_this(), shard = ShardOf(budget),
               command = std::move(command)] {
      if (const auto self = weak.lock()) {
        self->writes_by_shard[shard].commands.push_back(command);
        self->StartWrite(shard);
      }
    });
  }

  void StartWrite(std::uint32_t shard) {
    auto& queue = writes_by_shard[shard];
    if (queue.busy || queue.commands.empty()) {
      return;
    }
    queue.busy = true;
    const auto size = std::min(queue.commands.size(), kMaxBatchCommands);
    apply(shard,
          {queue.commands.begin(),
           queue.commands.begin() + static_cast<std::ptrdiff_t>(size)},
          options.write_timeout,
          [weak = weak_from_this(), shard, size](
              LedgerStatus status, const std::vector<ShardReply>&) {
            if (const auto self = weak.lock()) {
              self->OnWritten(shard, size, status);
            }
          });
  }

  void OnWritten(std::uint32_t shard, std::size_t size, LedgerStatus status) {
    auto& queue = writes_by_shard[shard];
    if (status == LedgerStatus::kDurable) {
      queue.retry_delay = Millis{0};
      queue.busy = false;
      RemoveDurable(queue.commands, size);
      StartWrite(shard);
      return;
    }
    queue.retry_delay =
        std::clamp(2 * queue.retry_delay, options.retry_delay,
                   std::max(options.retry_delay, options.max_retry_delay));
    loop.after(queue.retry_delay, [weak = weak_from_this(), shard] {
      if (const auto self = weak.lock()) {
        self->writes_by_shard[shard].busy = false;
        self->StartWrite(shard);
      }
    });
  }

  // Removes the first `size` commands, which are durable. The ledger now knows
  // how these orders ended, so their claims need not be kept here.
  void RemoveDurable(std::vector<ShardCommand>& commands, std::size_t size) {
    const auto end = commands.begin() + static_cast<std::ptrdiff_t>(size);
    const std::lock_guard lock(mutex);
    pending_writes -= size;
    for (auto it = commands.begin(); it != end; ++it) {
      // An AbandonCommand may belong to another attempt of a key that is
      // claimed here.
      if (!IsAbandonCommand(*it)) {
        own_claims.erase(KeyOf(*it));
      }
    }
    commands.erase(commands.begin(), end);
  }

  void RememberClaim(const ClaimCall& call) {
    const std::lock_guard lock(mutex);
    own_claims[call.request.key] = {.digest = call.request.digest,
                                    .budget = call.request.budget,
                                    .cost = call.request.cost,
                                    .attempt = call.attempt.attempt,
                                    .holder = holder};
  }

  void RememberEnd(const OrderAttempt& attempt,
                   ClaimState state,
                   int status = 0,
                   const std::string& body = {}) {
    const std::lock_guard lock(mutex);
    const auto it = own_claims.find(attempt.key);
    if (it == own_claims.end() || it->second.attempt != attempt.attempt) {
      return;
    }
    it->second.state = state;
    it->second.http_status = status;
    it->second.body = body;
  }

  void ForgetClaim(const OrderAttempt& attempt) {
    const std::lock_guard lock(mutex);
    const auto it = own_claims.find(attempt.key);
    if (it != own_claims.end() && it->second.attempt == attempt.attempt) {
      own_claims.erase(it);
    }
  }

  std::optional<ClaimRecord> FindOwnClaim(const RequestKey& key) const {
    const std::lock_guard lock(mutex);
    const auto it = own_claims.find(key);
    return it == own_claims.end() ? std::nullopt : std::optional(it->second);
  }

  void Start(ClaimCall call) {
    if (const auto own = FindOwnClaim(call.request.key)) {
      EndWithOwnClaim(call, *own);
      return;
    }
    const auto current_limit = limit(call.request.budget);
    if (!current_limit) {
      call.End(ClaimStatus::kUnknownBudget);
      return;
    }
    call.limit = *current_limit;
    Bind(std::make_shared<const ClaimCall>(std::move(call)));
  }

  static void EndWithOwnClaim(const ClaimCall& call, const ClaimRecord& own) {
    if (own.budget != call.request.budget) {
      call.End(ClaimStatus::kOtherBudget);
    } else if (own.digest != call.request.digest) {
      call.End(ClaimStatus::kKeyReused);
    } else {
      call.End(ClaimStatus::kExists, own);
    }
  }

  // Binds the key to the budget. A claim is found only in the shard of its
  // budget, so every retry of the key must use the same budget.
  void Bind(const ClaimCallPtr& call) {
    Apply(*call, ShardOf(ToString(call->request.key)),
          MakeBindCommands(call->request, call->attempt.attempt, holder),
          [call](Core& self, const auto& replies) {
            if (!replies) {
              call->End(ClaimStatus::kUnknown);
            } else {
              self.OnBound(call, replies->at(kClaimReplyIndex).status);
            }
          });
  }

  void OnBound(const ClaimCallPtr& call, ReplyStatus status) {
    const bool is_bound =
        status == ReplyStatus::kOk || status == ReplyStatus::kExists;
    if (status == ReplyStatus::kKeyReused) {
      call->End(ClaimStatus::kOtherBudget);
    } else if (!is_bound || call->deadline <= loop.now()) {
      // The claim was not sent.
      call->End(ClaimStatus::kUnknown);
    } else {
      SendClaim(call);
    }
  }

  void SendClaim(const ClaimCallPtr& call) {
    Apply(*call, ShardOf(call->request.budget),
          MakeClaimCommands(call->request, call->attempt.attempt, holder,
                            call->limit),
          [call](Core& self, const auto& replies) {
            if (!replies) {
              // The claim may still take effect later, but nothing was
              // dispatched for it.
              self.Persist(call->attempt.budget,
                           MakeAbandonCommand(call->attempt));
              call->End(ClaimStatus::kUnknown);
            } else {
              self.OnClaimReply(*call, replies->at(kClaimReplyIndex));
            }
          });
  }

  void OnClaimReply(const ClaimCall& call, const ShardReply& reply) {
    const auto status = ToClaimStatus(reply.status);
    if (status == ClaimStatus::kClaimed) {
      RememberClaim(call);
    } else if (MustAbandonClaim(reply, call.attempt.attempt)) {
      Persist(call.attempt.budget, MakeAbandonCommand(call.attempt));
    }
    call.End(status, reply.claim);
  }

  // Sends the commands with the remaining time as timeout. `done` gets the
  // replies, or nullopt if the result is unknown.
  void Apply(
      const ClaimCall& call,
      std::uint32_t shard,
      const std::vector<ShardCommand>& commands,
      std::function<void(Core&, const std::optional<std::vector<ShardReply>>&)>
          done) {
    apply(shard, commands, call.deadline - loop.now(),
          [weak = weak_from_this(), count = commands.size(),
           done = std::move(done)](LedgerStatus status,
                                   const std::vector<ShardReply>& replies) {
            const auto self = weak.lock();
            if (!self) {
              return;
            }
            const bool has_result =
                status == LedgerStatus::kDurable && replies.size() == count;
            done(*self, has_result ? std::optional(replies) : std::nullopt);
          });
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
  const ClaimCall call{.request = request,
                       .attempt = {.key = request.key,
                                   .budget = request.budget,
                                   .attempt = core_->random()},
                       .deadline = core_->loop.now() + request.timeout,
                       .callback = std::move(callback)};
  core_->loop.post([weak = std::weak_ptr(core_), call] {
    if (const auto self = weak.lock()) {
      self->Start(call);
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
  core_->RememberEnd(attempt, ClaimState::kFinished, status, stored);
  core_->Persist(attempt.budget, FinishCommand{.key = attempt.key,
                                               .attempt = attempt.attempt,
                                               .http_status = status,
                                               .body = stored});
}

void OrderClaims::Abandon(const OrderAttempt& attempt) {
  core_->ForgetClaim(attempt);
  core_->Persist(attempt.budget, MakeAbandonCommand(attempt));
}

void OrderClaims::MarkInDoubt(const OrderAttempt& attempt) {
  core_->RememberEnd(attempt, ClaimState::kInDoubt);
  core_->Persist(attempt.budget,
                 DoubtCommand{.key = attempt.key, .attempt = attempt.attempt});
}

std::size_t OrderClaims::pending_writes() const {
  const std::lock_guard lock(core_->mutex);
  return core_->pending_writes;
}

}  // namespace crocuslatch
