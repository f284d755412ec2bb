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

// Bounds one call: at 4 KB for each stored answer it stays below the 1.5 MB
// of a peer's frame.
constexpr std::size_t kMaxBatch = 256;

// Place of the claim reply in the batches below.
constexpr std::size_t kClaimReply = 1;

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

bool IsAbandon(const ShardCommand& command) {
  return std::holds_alternative<AbandonCommand>(command);
}

// The key of the order is bound to the budget by a finished claim of a key
// made from it, whose digest stands for the budget.
std::vector<ShardCommand> BindCommands(const ClaimRequest& request,
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

std::vector<ShardCommand> ClaimCommands(const ClaimRequest& request,
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

AbandonCommand AbandonOf(const OrderAttempt& attempt) {
  return {
      .key = attempt.key, .attempt = attempt.attempt, .budget = attempt.budget};
}

ClaimStatus StatusOf(ReplyStatus status) {
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
      // Never dispatched without a durable claim of this attempt.
      break;
  }
  return ClaimStatus::kUnknown;
}

// One claim on its way through both steps.
struct ClaimCall {
  ClaimRequest request;
  OrderAttempt attempt;
  // Present limit of the budget.
  Tokens limit = 0;
  Millis deadline{0};
  std::function<void(const ClaimResult&)> callback;

  void End(ClaimStatus status, const ClaimRecord& record = {}) const {
    callback({.status = status, .attempt = attempt, .record = record});
  }
};

using ClaimCallPtr = std::shared_ptr<const ClaimCall>;

// Writes of one shard that are not yet durable, oldest first.
struct PendingWrites {
  std::vector<ShardCommand> commands;
  // A call is on its way or waits for its next try.
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
  // Used on the loop only.
  std::map<std::uint32_t, PendingWrites> writes;

  mutable std::mutex mutex;
  std::size_t pending_writes = 0;
  // Claims confirmed here whose end is not durable yet.
  std::map<RequestKey, ClaimRecord> own_claims;

  std::uint32_t ShardOf(const std::string& budget) const {
    return ShardOfBudget(budget, options.shard_count);
  }

  // Counts the write now, so that a planned stop cannot miss it.
  void Persist(const std::string& budget, ShardCommand command) {
    {
      const std::lock_guard lock(mutex);
      ++pending_writes;
    }
    loop.post([weak = weak_from_this(), shard = ShardOf(budget),
               command = std::move(command)] {
      if (const auto self = weak.lock()) {
        self->writes[shard].commands.push_back(command);
        self->StartWrite(shard);
      }
    });
  }

  void StartWrite(std::uint32_t shard) {
    auto& queue = writes[shard];
    if (queue.busy || queue.commands.empty()) {
      return;
    }
    queue.busy = true;
    const auto size = std::min(queue.commands.size(), kMaxBatch);
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
    auto& queue = writes[shard];
    if (status == LedgerStatus::kDurable) {
      queue.retry_delay = Millis{0};
      queue.busy = false;
      TakeDurable(queue.commands, size);
      StartWrite(shard);
      return;
    }
    queue.retry_delay =
        std::clamp(2 * queue.retry_delay, options.retry_delay,
                   std::max(options.retry_delay, options.max_retry_delay));
    loop.after(queue.retry_delay, [weak = weak_from_this(), shard] {
      if (const auto self = weak.lock()) {
        self->writes[shard].busy = false;
        self->StartWrite(shard);
      }
    });
  }

  // The ledger now answers for the orders that ended.
  void TakeDurable(std::vector<ShardCommand>& commands, std::size_t size) {
    const auto end = commands.begin() + static_cast<std::ptrdiff_t>(size);
    const std::lock_guard lock(mutex);
    pending_writes -= size;
    for (auto it = commands.begin(); it != end; ++it) {
      // An Abandon may belong to another attempt of a key claimed here.
      if (!IsAbandon(*it)) {
        own_claims.erase(KeyOf(*it));
      }
    }
    commands.erase(commands.begin(), end);
  }

  void Remember(const ClaimCall& call) {
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

  void Forget(const OrderAttempt& attempt) {
    const std::lock_guard lock(mutex);
    const auto it = own_claims.find(attempt.key);
    if (it != own_claims.end() && it->second.attempt == attempt.attempt) {
      own_claims.erase(it);
    }
  }

  std::optional<ClaimRecord> FindOwn(const RequestKey& key) const {
    const std::lock_guard lock(mutex);
    const auto it = own_claims.find(key);
    return it == own_claims.end() ? std::nullopt : std::optional(it->second);
  }

  void Start(ClaimCall call) {
    if (const auto own = FindOwn(call.request.key)) {
      EndByOwn(call, *own);
      return;
    }
    const auto present = limit(call.request.budget);
    if (!present) {
      call.End(ClaimStatus::kUnknownBudget);
      return;
    }
    call.limit = *present;
    Bind(std::make_shared<const ClaimCall>(std::move(call)));
  }

  static void EndByOwn(const ClaimCall& call, const ClaimRecord& own) {
    if (own.budget != call.request.budget) {
      call.End(ClaimStatus::kOtherBudget);
    } else if (own.digest != call.request.digest) {
      call.End(ClaimStatus::kKeyReused);
    } else {
      call.End(ClaimStatus::kExists, own);
    }
  }

  // A claim is found only in the shard of its budget, so the key must lead
  // every retry to the same budget.
  void Bind(const ClaimCallPtr& call) {
    Apply(*call, ShardOf(ToString(call->request.key)),
          BindCommands(call->request, call->attempt.attempt, holder),
          [call](Core& self, const auto& replies) {
            if (!replies) {
              call->End(ClaimStatus::kUnknown);
            } else {
              self.OnBound(call, replies->at(kClaimReply).status);
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
          ClaimCommands(call->request, call->attempt.attempt, holder,
                        call->limit),
          [call](Core& self, const auto& replies) {
            if (!replies) {
              // The claim may take effect even now; nothing was dispatched
              // for it.
              self.Persist(call->attempt.budget, AbandonOf(call->attempt));
              call->End(ClaimStatus::kUnknown);
            } else {
              self.OnClaimReply(*call, replies->at(kClaimReply));
            }
          });
  }

  void OnClaimReply(const ClaimCall& call, const ShardReply& reply) {
    const auto status = StatusOf(reply.status);
    if (status == ClaimStatus::kClaimed) {
      Remember(call);
    } else if (MustAbandonClaim(reply, call.attempt.attempt)) {
      Persist(call.attempt.budget, AbandonOf(call.attempt));
    }
    call.End(status, reply.claim);
  }

  // Sends the commands within what is left of the deadline. `done` gets the
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
            const bool is_known =
                status == LedgerStatus::kDurable && replies.size() == count;
            done(*self, is_known ? std::optional(replies) : std::nullopt);
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
  core_->Forget(attempt);
  core_->Persist(attempt.budget, AbandonOf(attempt));
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
