#include "src/scheduler.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

namespace crocuslatch {
namespace {

std::vector<RankConfig> MakeRanks(const std::vector<double>& shares) {
  std::vector<RankConfig> ranks;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    ranks.push_back({.name = std::to_string(i),
                     .share = shares[i],
                     .max_queued = 1'000'000});
  }
  return ranks;
}

QueuedWork MakeWork(int rank, int account, int target, Tokens tokens) {
  return {.rank = std::to_string(rank),
          .client_account = std::to_string(account),
          .target = std::to_string(target),
          .tokens = tokens,
          .bytes = 10,
          .deadline = std::chrono::hours(1)};
}

// What the scheduler promises whatever happens, kept as plain sets.
class Oracle {
 public:
  void Enqueue(SchedulerCore& core, Millis now) {
    const auto work =
        MakeWork(*rc::gen::inRange(0, 3), *rc::gen::inRange(0, 4),
                 *rc::gen::inRange(0, 3), *rc::gen::inRange<Tokens>(1, 500));
    RC_ASSERT(core.Enqueue(++last_id_, work, now) == EnqueueStatus::kQueued);
    waiting_[last_id_] = work;
  }

  void Cancel(SchedulerCore& core) {
    const auto id = *rc::gen::inRange<WorkId>(1, last_id_ + 2);
    RC_ASSERT(core.Cancel(id) == (waiting_.erase(id) == 1));
  }

  void Start(SchedulerCore& core, Millis now) {
    const auto id =
        core.StartNext(now, [this](WorkId, const QueuedWork& work, bool) {
          return free_[work.target] > 0;
        });
    if (!id) {
      // Nothing with a free slot may be left waiting.
      for (const auto& [waiting, work] : waiting_) {
        RC_ASSERT(free_[work.target] == 0);
      }
      return;
    }
    RC_ASSERT(waiting_.contains(*id));
    const auto work = waiting_.extract(*id).mapped();
    --free_[work.target];
    for (const auto& [other, it] : waiting_) {
      const bool is_later = other < *id && it.rank == work.rank &&
                            it.client_account == work.client_account &&
                            it.target == work.target;
      RC_ASSERT(!is_later);
    }
  }

  void Free() { ++free_[std::to_string(*rc::gen::inRange(0, 3))]; }

  void CheckCounts(const SchedulerCore& core) const {
    RC_ASSERT(core.queued() == waiting_.size());
    RC_ASSERT(core.queued_bytes() == 10 * waiting_.size());
  }

  void Drain(SchedulerCore& core, Millis now) {
    free_ = {{"0", 10'000}, {"1", 10'000}, {"2", 10'000}};
    for (auto n = waiting_.size(); n > 0; --n) {
      Start(core, now);
    }
    RC_ASSERT(waiting_.empty());
    RC_ASSERT(core.queued() == 0U);
  }

 private:
  WorkId last_id_ = 0;
  std::map<WorkId, QueuedWork> waiting_;
  std::map<std::string, int> free_;
};

}  // namespace

// Guards against a request that is lost, started twice, started after its
// cancellation or kept waiting beside a free slot.
TEST_CASE("every queued request starts or is cancelled exactly once") {
  CHECK(rc::check([] {
    SchedulerCore core({});
    core.SetRanks(MakeRanks({0, 0.3, 0.1}));
    Oracle oracle;
    Millis now{1};
    const auto steps =
        *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 10));
    for (const int it : steps) {
      now += Millis{*rc::gen::inRange(0, 3)};
      if (it < 4) {
        oracle.Enqueue(core, now);
      } else if (it < 5) {
        oracle.Cancel(core);
      } else if (it < 8) {
        oracle.Start(core, now);
      } else {
        oracle.Free();
      }
      oracle.CheckCounts(core);
    }
    oracle.Drain(core, now);
  }));
}

// Guards against a flood of one rank that takes the guaranteed share of
// another one, and against shares that are paid twice.
TEST_CASE("every rank keeps its share of the tokens in a flood") {
  CHECK(rc::check([] {
    const double middle = *rc::gen::inRange(0, 45) / 100.0;
    const double least = *rc::gen::inRange(0, 45) / 100.0;
    SchedulerCore core({});
    core.SetRanks(MakeRanks({0, middle, least}));
    WorkId id = 0;
    std::map<WorkId, std::pair<int, Tokens>> waiting;
    const auto enqueue = [&](int rank) {
      const auto tokens = *rc::gen::inRange<Tokens>(1, 500);
      RC_ASSERT(core.Enqueue(++id, MakeWork(rank, 0, 0, tokens), Millis{1}) ==
                EnqueueStatus::kQueued);
      waiting[id] = {rank, tokens};
    };
    // Two of each rank wait at any time.
    for (const int rank : {0, 0, 1, 1, 2, 2}) {
      enqueue(rank);
    }
    std::array<double, 3> started{};
    double all = 0;
    for (int i = 0; i < 400; ++i) {
      const auto next = core.StartNext(
          Millis{1}, [](WorkId, const QueuedWork&, bool) { return true; });
      RC_ASSERT(next.has_value());
      const auto [rank, tokens] = waiting.extract(*next).mapped();
      started.at(rank) += static_cast<double>(tokens);
      all += static_cast<double>(tokens);
      // At most one request of credit is outstanding in each rank, plus the
      // one that the other rank starts first.
      RC_ASSERT(started[1] >= middle * all - 2 * 500);
      RC_ASSERT(started[2] >= least * all - 2 * 500);
      RC_ASSERT(started[0] >= (1 - middle - least) * all - 4 * 500);
      enqueue(rank);
    }
  }));
}

// Guards against one account that gets more than its weight entitles it to by
// asking for more: the bound of start-time fair queueing for every pair.
TEST_CASE("an account that asks for 20 times the rest gets its part only") {
  CHECK(rc::check([] {
    SchedulerCore core({});
    core.SetRanks(MakeRanks({0}));
    constexpr int kAccounts = 4;
    constexpr double kMost = 500;
    std::array<double, kAccounts> weights{};
    for (auto& it : weights) {
      it = *rc::gen::inRange(1, 5);
    }
    WorkId id = 0;
    std::map<WorkId, std::pair<int, Tokens>> waiting;
    const auto enqueue = [&](int account) {
      auto work = MakeWork(0, account, 0, *rc::gen::inRange<Tokens>(1, 500));
      work.weight = weights.at(account);
      RC_ASSERT(core.Enqueue(++id, work, Millis{1}) == EnqueueStatus::kQueued);
      waiting[id] = {account, work.tokens};
    };
    for (int account = 0; account < kAccounts; ++account) {
      // Account 0 has 60 requests waiting, the others 1 each.
      for (int n = account == 0 ? 60 : 1; n > 0; --n) {
        enqueue(account);
      }
    }
    std::array<double, kAccounts> served{};
    for (int i = 0; i < 300; ++i) {
      const auto next = core.StartNext(
          Millis{1}, [](WorkId, const QueuedWork&, bool) { return true; });
      RC_ASSERT(next.has_value());
      const auto [account, tokens] = waiting.extract(*next).mapped();
      // The others ask again only after they were served.
      enqueue(account);
      served.at(account) += static_cast<double>(tokens) / weights.at(account);
      for (int other = 1; other < kAccounts; ++other) {
        const double ahead = served[0] - served.at(other);
        RC_ASSERT(std::abs(ahead) <=
                  kMost / weights[0] + 2 * kMost / weights.at(other));
      }
    }
  }));
}

}  // namespace crocuslatch
