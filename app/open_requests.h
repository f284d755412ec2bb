#ifndef APP_OPEN_REQUESTS_H_
#define APP_OPEN_REQUESTS_H_

#include <cstdint>
#include <functional>
#include <map>

// Defines OpenRequests, which ends the requests in flight that a planned stop
// cannot wait for.

namespace crocuslatch {

// Used on one thread only.
class OpenRequests {
 public:
  using Id = std::uint64_t;

  // `end` is called at most once. It must end the request, and it may call
  // Remove.
  Id Add(std::function<void()> end);
  // Has no effect if the request was removed before.
  void Remove(Id id);
  // Ends and removes all requests. Returns whether there were any.
  bool EndAll();

 private:
  Id last_id_ = 0;
  std::map<Id, std::function<void()>> ends_;
};

}  // namespace crocuslatch

#endif  // APP_OPEN_REQUESTS_H_
