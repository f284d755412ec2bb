#include "app/open_requests.h"

#include <utility>

namespace crocuslatch {

OpenRequests::Id OpenRequests::Add(std::function<void()> end) {
  ends_.emplace(++last_id_, std::move(end));
  return last_id_;
}

void OpenRequests::Remove(Id id) {
  ends_.erase(id);
}

bool OpenRequests::EndAll() {
  const auto ends = std::exchange(ends_, {});
  for (const auto& [id, end] : ends) {
    end();
  }
  return !ends.empty();
}

}  // namespace crocuslatch
