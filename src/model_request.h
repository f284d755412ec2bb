#ifndef SRC_MODEL_REQUEST_H_
#define SRC_MODEL_REQUEST_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "io/http_server.h"
#include "src/request_context.h"

// Defines the handling of one completion request, from parsing its body to
// billing it.

namespace crocuslatch {

struct CompletionBody {
  std::string model;
  std::string prompt;
  Tokens max_tokens = 16;
  bool stream = false;
  bool operator==(const CompletionBody&) const = default;
};

// Parses and validates the JSON body. Throws RequestError.
CompletionBody ParseCompletionBody(std::string_view json,
                                   const Document& document);

// Tokens to reserve for the request: the upper bound for the prompt plus
// max_tokens.
Tokens TokensToReserve(const CompletionBody& body, const ModelConfig& model);

struct Usage {
  Tokens prompt_tokens = 0;
  Tokens completion_tokens = 0;
  auto operator<=>(const Usage&) const = default;
};

// One server-sent event of a model engine.
struct EngineEvent {
  enum class Kind { kToken, kUsage, kDone, kInvalid };
  Kind kind = Kind::kInvalid;
  std::string request_id;
  Tokens index = 0;
  std::string text;
  Usage usage;
  bool operator==(const EngineEvent&) const = default;
};

EngineEvent ParseEngineEvent(std::string_view data);

// Incremental parser of server-sent events.
class SseParser {
 public:
  // Adds bytes of the stream; returns the `data` lines that they complete.
  std::vector<std::string> Feed(std::string_view bytes);
  // Number of bytes of the incomplete line.
  std::size_t partial_bytes() const { return partial_line_.size(); }

 private:
  std::string partial_line_;
};

// Runs the completion. Sends exactly one answer or error on `reply` unless it
// throws RequestError.
void RunModelRequest(const RequestContext& context,
                     const RequestMetadata& metadata,
                     const IncomingRequest& request,
                     HttpReply reply);

}  // namespace crocuslatch

#endif  // SRC_MODEL_REQUEST_H_
