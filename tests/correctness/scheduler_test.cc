#include "src/scheduler.h"

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "src/backend_table.h"

namespace crocuslatch {
namespace {

constexpr Millis kStart{1000};

std::vector<RankConfig> Ranks() {
  return {{.name = "urgent", .max_queued = 10},
          {.name = "bulk", .share = 0.1, .max_queued = 100}};
}

QueuedWork Work(const std::string& rank, Tokens tokens = 100) {
  return {.rank = rank,
          .client_account = "one",
          .target = "m",
          .tokens = tokens,
          .deadline = kStart + Millis{60000}};
}

SchedulerCore MakeCore(SchedulerOptions options = {}) {
  SchedulerCore core(options);
  core.SetRanks(Ranks());
  return core;
}

bool Always(WorkId, const QueuedWork&, bool) {
  return true;
}

}  // namespace

// Guards against urgent work that waits behind a flood of the least urgent.
TEST_CASE("urgent work starts before a flood of bulk work") {
  auto core = MakeCore();
  for (WorkId id = 1; id <= 50; ++id) {
    REQUIRE(core.Enqueue(id, Work("bulk"), kStart) == EnqueueStatus::kQueued);
    if (id > 25) {
      CHECK(core.StartNext(kStart, Always) == id - 25);
    }
  }
  REQUIRE(core.Enqueue(99, Work("urgent"), kStart) == EnqueueStatus::kQueued);
  CHECK(core.StartNext(kStart, Always) == WorkId{99});
}

// Guards against a full model that holds up the requests of another one.
TEST_CASE("a model without free slots does not block another one") {
  auto core = MakeCore();
  REQUIRE(core.Enqueue(1, Work("urgent"), kStart) == EnqueueStatus::kQueued);
  auto other = Work("bulk");
  other.target = "other";
  REQUIRE(core.Enqueue(2, other, kStart) == EnqueueStatus::kQueued);
  const auto only_other = [](WorkId, const QueuedWork& work, bool) {
    return work.target == "other";
  };
  CHECK(core.StartNext(kStart, only_other) == WorkId{2});
  CHECK_FALSE(core.StartNext(kStart, only_other).has_value());
}

// Guards against bulk work that fills all slots, so that urgent work has to
// wait for one of them to end.
TEST_CASE("only urgent, owed or resumed work may use the last slots") {
  auto core = MakeCore();
  std::vector<bool> last;
  const auto record = [&last](WorkId, const QueuedWork&, bool may_use_last) {
    last.push_back(may_use_last);
    return true;
  };
  auto resumed = Work("bulk");
  resumed.resumed = true;
  REQUIRE(core.Enqueue(1, Work("bulk"), kStart) == EnqueueStatus::kQueued);
  REQUIRE(core.Enqueue(2, Work("urgent"), kStart) == EnqueueStatus::kQueued);
  REQUIRE(core.Enqueue(3, resumed, kStart) == EnqueueStatus::kQueued);
  CHECK(core.StartNext(kStart, record) == WorkId{3});
  CHECK(core.StartNext(kStart, record) == WorkId{2});
  CHECK(core.StartNext(kStart, record) == WorkId{1});
  CHECK(last == std::vector<bool>{true, true, false});
}

// Guards against queues that grow without bound.
TEST_CASE("a full queue refuses by count and by bytes") {
  auto core = MakeCore({.max_queued_bytes = 1000});
  for (WorkId id = 1; id <= 10; ++id) {
    REQUIRE(core.Enqueue(id, Work("urgent"), kStart) == EnqueueStatus::kQueued);
  }
  CHECK(core.Enqueue(11, Work("urgent"), kStart) == EnqueueStatus::kQueueFull);
  auto large = Work("bulk");
  large.bytes = 1001;
  CHECK(core.Enqueue(11, large, kStart) == EnqueueStatus::kQueueFull);
  CHECK(core.Enqueue(11, Work("none"), kStart) == EnqueueStatus::kUnknownRank);
}

// Guards against requests that wait only to miss their deadline, and against
// refusals that the measured rate does not justify.
TEST_CASE("a deadline that the service rate cannot meet is refused early") {
  auto core = MakeCore();
  // 100 tokens each 100 ms, with 20 requests waiting all the time.
  WorkId id = 0;
  auto now = kStart;
  for (int i = 0; i < 20; ++i) {
    REQUIRE(core.Enqueue(++id, Work("bulk"), now) == EnqueueStatus::kQueued);
  }
  for (int i = 0; i < 40; ++i) {
    now += Millis{100};
    REQUIRE(core.StartNext(now, Always).has_value());
    REQUIRE(core.Enqueue(++id, Work("bulk"), now) == EnqueueStatus::kQueued);
  }
  auto work = Work("bulk");
  const auto wait = core.ExpectedWait(work, now);
  CHECK(wait > Millis{1900});
  CHECK(wait < Millis{2100});
  work.deadline = now + Millis{1500};
  CHECK(core.Enqueue(++id, work, now) == EnqueueStatus::kDeadlineUnreachable);
  work.deadline = now + Millis{2500};
  CHECK(core.Enqueue(++id, work, now) == EnqueueStatus::kQueued);
  // Nobody is ahead of urgent work.
  work = Work("urgent");
  work.deadline = now + Millis{50};
  CHECK(core.Enqueue(++id, work, now) == EnqueueStatus::kQueued);
}

// Guards against work that is lost when a document changes the ranks.
TEST_CASE("waiting work survives a change of the ranks") {
  auto core = MakeCore();
  REQUIRE(core.Enqueue(1, Work("bulk"), kStart) == EnqueueStatus::kQueued);
  REQUIRE(core.Enqueue(2, Work("urgent"), kStart) == EnqueueStatus::kQueued);
  core.SetRanks({{.name = "new"}, {.name = "bulk"}, {.name = "least"}});
  CHECK(core.queued() == 2);
  // A stream of the removed rank that broke still goes on.
  auto resumed = Work("urgent");
  resumed.resumed = true;
  REQUIRE(core.Enqueue(3, resumed, kStart) == EnqueueStatus::kQueued);
  CHECK(core.StartNext(kStart, Always) == WorkId{3});
  CHECK(core.StartNext(kStart, Always) == WorkId{1});
  CHECK(core.Cancel(2));
  CHECK(core.queued() == 0);
}

// Guards against data races and deadlocks between the workers' threads: every
// work is started or cancelled once, and no slot is taken twice.
TEST_CASE("workers on several threads share the scheduler and the table") {
  const auto now = [] { return kStart; };
  Scheduler scheduler({}, now);
  scheduler.SetRanks(Ranks());
  BackendTable table({}, "self", now, 1);
  Document document;
  document.backend_servers = {
      {.name = "a", .address = "a:1", .model = "m", .slots = 3}};
  table.SetDocument(document);
  std::atomic<int> running = 0;
  std::atomic<int> most = 0;
  std::atomic<int> ended = 0;
  std::atomic<int> refused = 0;
  const auto work = [&] {
    for (int i = 0; i < 2000; ++i) {
      const auto choice = std::make_shared<std::optional<BackendSlot>>();
      WorkId id = 0;
      const auto status = scheduler.Enqueue(
          Work("bulk"),
          [&table, choice](bool last) {
            *choice = table.Acquire({.target = ModelTarget("m"),
                                     .prompt = "p",
                                     .may_use_reserved_slots = last});
            return choice->has_value();
          },
          [&, choice] {
            most = std::max<int>(most, ++running);
            --running;
            table.Release(**choice, BackendResult::kSucceeded);
            ++ended;
          },
          &id);
      // Catch's checks are for one thread only.
      refused += status == EnqueueStatus::kQueued ? 0 : 1;
      if (i % 3 == 0 && scheduler.Cancel(id)) {
        ++ended;
      }
      scheduler.StartWaiting();
    }
  };
  std::array<std::thread, 4> threads;
  for (auto& it : threads) {
    it = std::thread(work);
  }
  for (auto& it : threads) {
    it.join();
  }
  while (scheduler.queued() > 0) {
    scheduler.StartWaiting();
  }
  CHECK(refused == 0);
  CHECK(ended == 8000);
  CHECK(most <= 3);
}

// Guards against a start after a successful cancellation.
TEST_CASE("the scheduler's handle starts or cancels, never both") {
  Scheduler scheduler({}, [] { return kStart; });
  scheduler.SetRanks(Ranks());
  int started = 0;
  bool has_slot = false;
  const auto enqueue = [&] {
    WorkId id = 0;
    REQUIRE(scheduler.Enqueue(
                Work("urgent"), [&](bool) { return has_slot; },
                [&] { ++started; }, &id) == EnqueueStatus::kQueued);
    return id;
  };
  const auto first = enqueue();
  const auto second = enqueue();
  scheduler.StartWaiting();
  CHECK(started == 0);
  CHECK(scheduler.Cancel(first));
  has_slot = true;
  scheduler.StartWaiting();
  CHECK(started == 1);
  CHECK_FALSE(scheduler.Cancel(first));
  CHECK_FALSE(scheduler.Cancel(second));
}

}  // namespace crocuslatch
