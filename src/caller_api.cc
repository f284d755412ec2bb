#include "src/caller_api.h"

#include <fmt/format.h>

#include <QCryptographicHash>
#include <algorithm>
#include <charconv>

#include "src/log.h"
#include "src/model_request.h"
#include "src/order_request.h"
#include "src/request_errors.h"
#include "src/sha256.h"

namespace crocuslatch {
namespace {

constexpr std::string_view kCompletionsPath = "/v1/completions";
constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
constexpr Millis kLongestDeadline{std::chrono::hours(1)};

const ApiKeyConfig& FindApiKey(const IncomingRequest& request,
                               const Document& document) {
  constexpr std::string_view kBearer = "Bearer ";
  const auto header = FindHeader(request.headers, "Authorization");
  if (!header.starts_with(kBearer)) {
    throw BadRequest(401, "unauthenticated", "the request has no API key",
                     "send \"Authorization: Bearer <API key>\"");
  }
  const auto hash = Sha256Hex(header.substr(kBearer.size()));
  const auto it =
      std::ranges::find(document.api_keys, hash, &ApiKeyConfig::sha256);
  if (it == document.api_keys.end()) {
    throw BadRequest(401, "unauthenticated", "the API key is not known",
                     "check the key, or ask the operators for one");
  }
  return *it;
}

std::string ReadBudget(const IncomingRequest& request,
                       const ApiKeyConfig& key,
                       const Document& document) {
  const auto header = FindHeader(request.headers, "X-Budget");
  std::string name(header.empty() ? std::string_view(key.budget) : header);
  if (name.empty()) {
    throw BadRequest(400, "budget_required", "the API key has no budget",
                     "name a budget of the client account in X-Budget");
  }
  const auto* budget = FindByName(document.budgets, name);
  if (budget == nullptr || budget->client_account != key.client_account) {
    throw UnknownBudget(name);
  }
  return name;
}

std::string ReadRank(const IncomingRequest& request,
                     const ClientAccountConfig& account,
                     const Document& document) {
  const auto header = FindHeader(request.headers, "X-Rank");
  std::string name(header.empty() ? std::string_view(account.default_rank)
                                  : header);
  if (name.empty()) {
    name = document.ranks.back().name;
  }
  if (FindByName(document.ranks, name) == nullptr) {
    throw EnqueueRefused(EnqueueStatus::kUnknownRank, name);
  }
  if (!account.ranks.empty() &&
      std::ranges::find(account.ranks, name) == account.ranks.end()) {
    throw BadRequest(
        403, "rank_not_allowed",
        fmt::format("the client account may not use rank \"{}\"", name),
        "name another rank in X-Rank");
  }
  return name;
}

Millis ReadDeadline(const IncomingRequest& request, const Document& document) {
  const auto header = FindHeader(request.headers, "X-Deadline-Ms");
  if (header.empty()) {
    return document.limits.default_deadline;
  }
  Millis::rep number = 0;
  const auto* end = header.data() + header.size();
  const auto [rest, ec] = std::from_chars(header.data(), end, number);
  if (ec != std::errc() || rest != end || number < 1 ||
      number > kLongestDeadline.count()) {
    throw BadRequest(400, "bad_deadline",
                     "X-Deadline-Ms is not a number of milliseconds",
                     fmt::format("send a whole number from 1 to {}",
                                 kLongestDeadline.count()));
  }
  return Millis{number};
}

std::string ReadIdempotencyKey(const IncomingRequest& request) {
  const auto header = FindHeader(request.headers, "Idempotency-Key");
  if (header.size() > kMaxIdempotencyKeyBytes) {
    throw BadRequest(
        400, "bad_idempotency_key", "the Idempotency-Key is too long",
        fmt::format("send at most {} bytes", kMaxIdempotencyKeyBytes));
  }
  return std::string(header);
}

void RequirePost(const IncomingRequest& request) {
  if (request.method != "POST") {
    throw BadRequest(
        405, "wrong_method",
        fmt::format("{} does not take {}", request.path, request.method),
        "use POST");
  }
}

struct ServicePath {
  std::string service;
  std::string path;
};

// The path goes into the URL of the backend server as it is.
bool IsPlainPath(std::string_view path) {
  const auto is_plain = [](unsigned char it) {
    return std::isalnum(it) != 0 ||
           std::string_view("-._~/").find(static_cast<char>(it)) !=
               std::string_view::npos;
  };
  return std::ranges::all_of(path, is_plain) &&
         path.find("..") == std::string_view::npos;
}

ServicePath ReadServicePath(const IncomingRequest& request) {
  const auto rest =
      std::string_view(request.path).substr(kServicesPrefix.size());
  const auto slash = rest.find('/');
  if (slash == std::string_view::npos || slash == 0 ||
      slash + 1 == rest.size() || !IsPlainPath(rest)) {
    throw BadRequest(404, "unknown_path",
                     fmt::format("{} does not exist", request.path),
                     "use /v1/services/<service>/<path> with letters, digits "
                     "and -._~/ only");
  }
  return {.service = std::string(rest.substr(0, slash)),
          .path = std::string(rest.substr(slash + 1))};
}

void Route(const RequestContext& context,
           const IncomingRequest& request,
           const HttpReply& reply) {
  const bool is_completion = request.path == kCompletionsPath;
  if (!is_completion && !request.path.starts_with(kServicesPrefix)) {
    throw BadRequest(404, "unknown_path",
                     fmt::format("{} does not exist", request.path),
                     "use /v1/completions or /v1/services/<service>/<path>");
  }
  RequirePost(request);
  const auto document = context.document();
  if (!document) {
    throw RequestError(503, Outcome::kNotRun, "not_ready",
                       "the router has no configuration yet",
                       "retry later or through another router", Millis{1000});
  }
  const auto caller =
      ReadRequestMetadata(request, document, context.loop.now());
  if (is_completion) {
    RunModelRequest(context, caller, request, reply);
    return;
  }
  const auto path = ReadServicePath(request);
  RunOrderRequest(context, caller, path.service, path.path, request, reply);
}

}  // namespace

RequestMetadata ReadRequestMetadata(const IncomingRequest& request,
                                    std::shared_ptr<const Document> document,
                                    Millis now) {
  const auto& key = FindApiKey(request, *document);
  const auto* account =
      FindByName(document->client_accounts, key.client_account);
  // The document's checks guarantee the account of each key.
  CROCUSLATCH_ASSERT(account != nullptr);
  RequestMetadata caller{.client_account = account->name,
                         .weight = account->weight,
                         .budget = ReadBudget(request, key, *document),
                         .rank = ReadRank(request, *account, *document),
                         .idempotency_key = ReadIdempotencyKey(request),
                         .arrived = now,
                         .deadline = now + ReadDeadline(request, *document)};
  const auto rank =
      std::ranges::find(document->ranks, caller.rank, &RankConfig::name);
  caller.rank_index = static_cast<std::size_t>(rank - document->ranks.begin());
  caller.document = std::move(document);
  return caller;
}

HttpHandler MakeCallerApi(RequestContext context) {
  return [context = std::move(context)](const IncomingRequest& request,
                                        HttpReply reply) {
    try {
      Route(context, request, reply);
    } catch (const RequestError& error) {
      context.metrics->CountOutcome("", error.outcome(), error.code());
      Log(LogEvent::kBadInput, "{} {}: {}: {}", request.method, request.path,
          error.code(), error.what());
      reply.SendError(error);
    }
  };
}

}  // namespace crocuslatch
