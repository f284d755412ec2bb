#ifndef TESTS_PROCESS_BATCH_H_
#define TESTS_PROCESS_BATCH_H_

#include <fmt/format.h>

#include <QJsonArray>
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/process/fleet.h"

// Defines batches of concurrent calls and the checks on their results. R1 to R5
// are the requirements that the checks verify.

namespace crocuslatch::test {

// Time limit for routers to settle their bills. Not a requirement; it only
// bounds the wait.
inline constexpr Millis kSettleTime{10000};
// Cost of one order in the fleet's document, in tokens.
inline constexpr Tokens kOrderCost = 5;

struct BatchItem {
  Call call;
  std::shared_ptr<const Transcript> transcript;
};

class Batch {
 public:
  explicit Batch(Fleet& fleet) : fleet_(fleet) {}

  // Starts `n` copies of `base`, spread over the routers, each with its own key
  // and, for a completion, its own prompt.
  void Start(std::size_t n, const Call& base) {
    for (std::size_t i = 0; i < n; ++i) {
      Call call = base;
      call.key = fmt::format("key-{}", items_.size());
      call.router = (base.router + i) % fleet_.router_count();
      if (!base.prompt.empty()) {
        call.prompt = fmt::format("{} number {}", base.prompt, items_.size());
      }
      items_.push_back({call, fleet_.Start(call)});
    }
  }

  const std::vector<BatchItem>& items() const { return items_; }

  bool AllStreaming() const {
    return std::ranges::all_of(items_, [](const BatchItem& it) {
      return it.transcript->BytesReceived() > 0;
    });
  }

  bool WaitUntilEnded() const {
    return RunUntil(
        [this] {
          return std::ranges::all_of(items_, [](const BatchItem& it) {
            return it.transcript->end != Transcript::End::kRunning;
          });
        },
        Millis(60000));
  }

  std::size_t Count(Transcript::End end) const {
    return std::ranges::count(
        items_, end, [](const BatchItem& it) { return it.transcript->end; });
  }

  // Counts the attempts at a router that ended with `end`; used to check that
  // an injected fault took effect.
  std::int64_t CountAttempts(std::size_t router, HttpResult end) const {
    std::int64_t n = 0;
    for (const auto& it : items_) {
      n += std::ranges::count_if(it.transcript->attempts, [&](const auto& at) {
        return at.router == router && at.end == end;
      });
    }
    return n;
  }

  // R3: each caller got the complete answer to its own prompt.
  void CheckWholeAnswers() const {
    for (const auto& it : items_) {
      INFO(it.call.key << ": " << Describe(*it.transcript));
      CHECK(IsWholeAnswer(it.call, *it.transcript));
    }
  }

  // R4 and R5: no order ran twice, and the outcomes reported to callers are
  // correct.
  void CheckOrders() const {
    for (const auto& it : items_) {
      INFO(it.call.key << ": " << Describe(*it.transcript));
      const auto runs = fleet_.OrderRuns(it.call.key);
      CHECK(runs <= 1);
      CHECK((it.transcript->end != Transcript::End::kAnswered || runs == 1));
      CHECK((it.transcript->end != Transcript::End::kNotRun || runs == 0));
    }
  }

  // Sum of the token usage reported to the callers.
  Tokens UsedTokens() const {
    Tokens sum = 0;
    for (const auto& it : items_) {
      const auto& usage = it.transcript->usage;
      sum += usage["prompt_tokens"].toInteger();
      sum += usage["completion_tokens"].toInteger();
    }
    return sum;
  }

  static std::string Describe(const Transcript& transcript) {
    std::string text;
    for (const auto& it : transcript.attempts) {
      text +=
          fmt::format("[router {} status {} end {} {} {}]", it.router,
                      it.status, static_cast<int>(it.end), it.outcome, it.code);
    }
    return text;
  }

 private:
  Fleet& fleet_;
  std::vector<BatchItem> items_;
};

// Status of one budget, as reported by an administration listener.
struct BudgetStatus {
  Tokens prepaid = 0;
  Tokens billed = 0;
  Tokens open_charges = 0;
  Tokens available = 0;
  // Tokens granted to routers and neither settled nor returned.
  Tokens outstanding = 0;
};

inline BudgetStatus ReadBudget(Fleet& fleet, std::size_t router) {
  const auto json = fleet.Admin(router, "/admin/v1/ledger/small-main");
  BudgetStatus status{.prepaid = json["prepaid"].toInteger(-1),
                      .billed = json["billed"].toInteger(-1),
                      .open_charges = json["open_charges"].toInteger(-1),
                      .available = json["available"].toInteger(-1)};
  for (const auto& it : json["grants"].toArray()) {
    status.outstanding += it.toObject()["outstanding"].toInteger();
  }
  return status;
}

// R2: waits until the bills are settled and checks that exactly `used` tokens
// are billed.
inline void CheckBilled(Fleet& fleet, std::size_t router, Tokens used) {
  RunUntil([&] { return ReadBudget(fleet, router).billed == used; },
           kSettleTime);
  CHECK(ReadBudget(fleet, router).billed == used);
}

// R1: billed, charged and granted tokens do not exceed the prepaid amount, and
// together with the available tokens they add up to it.
inline void CheckBalance(Fleet& fleet, std::size_t router) {
  const auto budget = ReadBudget(fleet, router);
  CHECK(budget.billed >= 0);
  CHECK(budget.billed + budget.open_charges + budget.outstanding +
            budget.available ==
        budget.prepaid);
}

}  // namespace crocuslatch::test

#endif  // TESTS_PROCESS_BATCH_H_
