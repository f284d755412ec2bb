#ifndef TESTS_PROCESS_CALLER_H_
#define TESTS_PROCESS_CALLER_H_

#include <QJsonObject>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "io/http_client.h"
#include "src/event_loop.h"
#include "src/types.h"

// Defines test callers that retry a call at the routers in turn and record
// every response.

namespace crocuslatch::test {

// All attempts of one call and their results.
struct Transcript {
  enum class End { kRunning, kAnswered, kNotRun, kOutcomeUnknown, kBroken };
  struct Attempt {
    std::size_t router = 0;
    int status = 0;
    // kNotSent: the connection was refused. kBroken: it was closed early.
    HttpResult end = HttpResult::kCancelled;
    std::string body;
    // Fields of the error body.
    std::string code;
    std::string outcome;
  };

  // Result of the last attempt; kRunning while the call is in progress.
  End end = End::kRunning;
  std::vector<Attempt> attempts;
  // Text of the completion, or response body of the order.
  std::string answer;
  QJsonObject usage;
  Millis started{0};
  Millis ended{0};

  std::size_t BytesReceived() const {
    return attempts.empty() ? 0 : attempts.back().body.size();
  }
};

// A completion request if `prompt` is set, otherwise an order.
struct Call {
  // Fields of a completion.
  std::string prompt;
  Tokens max_tokens = 32;
  bool stream = true;
  // Body of an order.
  std::string body = "{}";
  // Idempotency-Key; the same for all attempts.
  std::string key;
  std::string account = "small";
  std::string rank;
  // Router of the first attempt; each retry goes to the next router.
  std::size_t router = 0;
  std::size_t max_attempts = 100;
  // Time without data after which the caller abandons an attempt.
  Millis attempt_timeout{10000};
  // Time since the start of the call after which no failed attempt is retried.
  Millis time_limit{30000};
};

// Returns the API key of a client account.
std::string ApiKey(const std::string& account);

QJsonObject ParseObject(std::string_view text);
std::string ToText(const QJsonObject& json);

// Starts a call to the routers at `ports`. The call makes progress while the
// event loop runs; `client` must outlive it.
std::shared_ptr<const Transcript> StartCall(const Call& call,
                                            std::vector<std::uint16_t> ports,
                                            HttpClient* client,
                                            const EventLoop& loop);

// Returns true if the call ended with exactly the complete answer and its
// usage.
bool IsWholeAnswer(const Call& call, const Transcript& transcript);

}  // namespace crocuslatch::test

#endif  // TESTS_PROCESS_CALLER_H_
