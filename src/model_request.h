#ifndef SRC_MODEL_REQUEST_H_
#define SRC_MODEL_REQUEST_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "io/http_server.h"
#include "src/request_context.h"

// Defines the path of one completion from its body to its bill.

namespace crocuslatch {

struct CompletionBody {
  std::string model;
  std::string prompt;
  Tokens max_tokens = 16;
  bool stream = false;
  bool operator==(const CompletionBody&) const = default;
};

// Parses and checks the JSON body. Throws RequestError.
CompletionBody ParseCompletionBody(std::string_view json,
                                   const Document& document);

// Prompt bound + max_tokens.
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

// Splits a byte stream into the `data` of its server-sent events.
class SseParser {
 public:
  std::vector<std::string> Feed(std::string_view bytes);

 private:
  std::string rest_;
};

// Runs the completion; ends in exactly one answer or error on `reply`.
void RunModelRequest(const RequestContext& context,
                     const RequestMetadata& caller,
                     const IncomingRequest& request,
                     HttpReply reply);

}  // namespace crocuslatch

#endif  // SRC_MODEL_REQUEST_H_
