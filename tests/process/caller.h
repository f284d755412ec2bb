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

// Defines callers that retry at one router after the other and record what
// they are told.

namespace crocuslatch::test {

// What one caller sent and was told, over all its attempts.
struct Transcript {
  enum class End { kRunning, kAnswered, kNotRun, kOutcomeUnknown, kBroken };
  struct Attempt {
    std::size_t router = 0;
    int status = 0;
    // kNotSent: the connection was refused. kBroken: it was cut.
    HttpResult end = HttpResult::kCancelled;
    std::string body;
    // Members of an error body.
    std::string code;
    std::string outcome;
  };

  // Result of the last attempt; kRunning until there is none left to make.
  End end = End::kRunning;
  std::vector<Attempt> attempts;
  // Text of a completion, or the body of an order's answer.
  std::string answer;
  QJsonObject usage;
  Millis started{0};
  Millis ended{0};

  std::size_t BytesReceived() const {
    return attempts.empty() ? 0 : attempts.back().body.size();
  }
};

struct Call {
  // For a completion; an order if empty.
  std::string prompt;
  Tokens max_tokens = 32;
  bool stream = true;
  // For an order.
  std::string body = "{}";
  // Idempotency-Key; the same for all attempts.
  std::string key;
  std::string account = "small";
  std::string rank;
  // The first attempt goes to this router and each later one to the next.
  std::size_t router = 0;
  std::size_t max_attempts = 100;
  // Silence after which the caller gives an attempt up.
  Millis patience{10000};
  Millis time_limit{30000};
};

// API key of a client account.
std::string ApiKey(const std::string& account);

QJsonObject ParseObject(std::string_view text);
std::string ToText(const QJsonObject& json);

// Starts a call to the routers at `ports`, which goes on while the event loop
// runs and the client exists.
std::shared_ptr<const Transcript> StartCall(const Call& call,
                                            std::vector<std::uint16_t> ports,
                                            HttpClient* client,
                                            const EventLoop& loop);

// True if the transcript ends with the whole answer to the call, and nothing
// else.
bool IsWholeAnswer(const Call& call, const Transcript& transcript);

}  // namespace crocuslatch::test

#endif  // TESTS_PROCESS_CALLER_H_
