#ifndef TESTS_FAKE_LOOP_H_
#define TESTS_FAKE_LOOP_H_

#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "src/event_loop.h"

// Defines a deterministic event loop with virtual time for tests.

namespace crocuslatch {

class FakeLoop {
 public:
  // Returns an event loop that stays valid while this object lives.
  EventLoop Hooks() {
    return {
        .post = [this](Task task) { Add(Millis{0}, std::move(task)); },
        .after = [this](Millis delay,
                        Task task) { Add(delay, std::move(task)); },
        .now = [this] { return now_; },
    };
  }

  Millis now() const { return now_; }

  // Runs all tasks that are due within `span`, in order of time and then of
  // posting.
  void RunFor(Millis span) {
    const Millis end = now_ + span;
    while (!tasks_.empty() && tasks_.begin()->first.first <= end) {
      auto node = tasks_.extract(tasks_.begin());
      now_ = std::max(now_, node.key().first);
      node.mapped()();
    }
    now_ = end;
  }

  // Runs until the condition holds; returns false if it does not within `span`.
  bool RunUntil(const std::function<bool()>& condition, Millis span) {
    const Millis end = now_ + span;
    while (!condition() && now_ < end) {
      RunFor(Millis{1});
    }
    return condition();
  }

  // Lets time pass without running anything, as a paused process does.
  void Pause(Millis span) { now_ += span; }

 private:
  void Add(Millis delay, Task task) {
    tasks_.emplace(std::pair(now_ + delay, ++last_), std::move(task));
  }

  Millis now_{1000};
  std::uint64_t last_ = 0;
  std::map<std::pair<Millis, std::uint64_t>, Task> tasks_;
};

}  // namespace crocuslatch

#endif  // TESTS_FAKE_LOOP_H_
