#include "src/scheduler.h"

#include <fmt/format.h>
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

bool AlwaysStart(WorkId, const QueuedWork&, bool) {
  return true;
}

}  // namespace

// Guards against urgent work that waits behind a flood of bulk work.
TEST_CASE("urgent work starts before a flood of bulk work") {
  auto core = MakeCore();
  for (WorkId id = 1; id <= 50; ++id) {
    REQUIRE(core.Enqueue(id, Work("bulk"), kStart) == EnqueueStatus::kQueued);
    if (id > 25) {
      CHECK(core.StartNext(kStart, AlwaysStart) == id - 25);
    }
  }
  REQUIRE(core.Enqueue(99, Work("urgent"), kStart) == EnqueueStatus::kQueued);
  CHECK(core.StartNext(kStart, AlwaysStart) == WorkId{99});
}

// Guards against a model without free slots that holds up requests of another.
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

// Guards against bulk work that occupies every slot, so that urgent work has to
// wait until one is released.
TEST_CASE(
    "only urgent or resumed work and work with credit may use reserved slots") {
  auto core = MakeCore();
  std::vector<bool> may_use_reserved_slots;
  const auto record = [&may_use_reserved_slots](WorkId, const QueuedWork&,
                                                bool may_use_reserved) {
    may_use_reserved_slots.push_back(may_use_reserved);
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
  CHECK(may_use_reserved_slots == std::vector<bool>{true, true, false});
}

// Guards against state that is kept for ever for models that were removed.
TEST_CASE("a target without work is forgotten") {
  auto core = MakeCore();
  for (int i = 0; i < 50; ++i) {
    auto work = Work("bulk");
    work.target = fmt::format("model-{}", i);
    const WorkId id = static_cast<WorkId>(i) + 1;
    REQUIRE(core.Enqueue(id, work, kStart) == EnqueueStatus::kQueued);
    REQUIRE(core.Cancel(id));
  }
  CHECK(core.TargetCount() == 50);
  auto work = Work("bulk");
  const Millis later = kStart + std::chrono::hours(1);
  work.deadline = later + Millis{1000};
  REQUIRE(core.Enqueue(100, work, later) == EnqueueStatus::kQueued);
  CHECK(core.TargetCount() == 1);
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

// Guards against requests that wait although they will miss their deadline, and
// against refusals that the measured rate does not justify.
TEST_CASE(
    "work that would miss its deadline at the service rate is refused early") {
  auto core = MakeCore();
  // Serves 100 tokens every 100 ms while 20 requests wait at any time.
  WorkId id = 0;
  auto now = kStart;
  for (int i = 0; i < 20; ++i) {
    REQUIRE(core.Enqueue(++id, Work("bulk"), now) == EnqueueStatus::kQueued);
  }
  for (int i = 0; i < 40; ++i) {
    now += Millis{100};
    REQUIRE(core.StartNext(now, AlwaysStart).has_value());
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
  // No work is ahead of urgent work.
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
  // A broken stream of the removed rank still resumes.
  auto resumed = Work("urgent");
  resumed.resumed = true;
  REQUIRE(core.Enqueue(3, resumed, kStart) == EnqueueStatus::kQueued);
  CHECK(core.StartNext(kStart, AlwaysStart) == WorkId{3});
  CHECK(core.StartNext(kStart, AlwaysStart) == WorkId{1});
  CHECK(core.Cancel(2));
  CHECK(core.queued() == 0);
}

// Guards against data races and deadlocks between worker threads: each request
// is started or cancelled exactly once, and no slot is taken twice.
TEST_CASE("worker threads share the scheduler and the backend table") {
  const auto now = [] { return kStart; };
  Scheduler scheduler({}, now);
  scheduler.SetRanks(Ranks());
  BackendTable table({}, "self", now, 1);
  Document document;
  document.backend_servers = {
      {.name = "a", .address = "a:1", .model = "m", .slots = 3}};
  table.SetDocument(document);
  std::atomic<int> running = 0;
  std::atomic<int> max_running = 0;
  std::atomic<int> ended = 0;
  std::atomic<int> refused = 0;
  const auto work = [&] {
    for (int i = 0; i < 2000; ++i) {
      const auto slot = std::make_shared<std::optional<BackendSlot>>();
      WorkId id = 0;
      const auto status = scheduler.Enqueue(
          Work("bulk"),
          [&table, slot](bool may_use_reserved_slots) {
            *slot = table.Acquire(
                {.target = ModelTarget("m"),
                 .prompt = "p",
                 .may_use_reserved_slots = may_use_reserved_slots});
            return slot->has_value();
          },
          [&, slot] {
            max_running = std::max<int>(max_running, ++running);
            --running;
            table.Release(**slot, BackendResult::kSucceeded);
            ++ended;
          },
          &id);
      // Catch2 assertions are not thread-safe.
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
  CHECK(max_running <= 3);
}

// Guards against a start after a successful cancellation.
TEST_CASE("the scheduler starts or cancels a request, never both") {
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
