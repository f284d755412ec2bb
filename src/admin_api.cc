#include "src/admin_api.h"

#include <fmt/format.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <charconv>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "src/request_errors.h"
#include "src/sha256.h"

namespace crocuslatch {
namespace {

constexpr Millis kRetryAfter{1000};
// Largest integer that every JSON reader keeps exact.
constexpr std::uint64_t kMaxVersion = (1ULL << 53) - 1;

constexpr char kDocumentPath[] = "/admin/v1/document";
constexpr char kValidatePath[] = "/admin/v1/document/validate";
constexpr std::string_view kHistoryPrefix = "/admin/v1/history/";
constexpr std::string_view kLedgerPrefix = "/admin/v1/ledger/";

struct Exchange {
  const AdminApiHooks& hooks;
  const IncomingRequest& request;
  const AdminResponseCallback& callback;
};

QString ToQString(std::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

std::string ToJson(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

AdminResponse Json(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

AdminResponse Text(int status, std::string body) {
  return {
      status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(body)};
}

AdminResponse Error(const RequestError& error) {
  return Json(error.http_status(), ErrorBody(error));
}

AdminResponse NotFound(const std::string& what, const std::string& remedy) {
  return Error(BadRequest(404, "not_found", what, remedy));
}

AdminResponse Unavailable(const std::string& what) {
  return Error({503, Outcome::kNotRun, "store_unavailable", what,
                "try again; if it lasts, check the platform store",
                kRetryAfter});
}

// The error body with the list of problems.
AdminResponse Rejected(const std::vector<DocumentProblem>& problems) {
  QJsonArray list;
  for (const auto& it : problems) {
    list.append(QJsonObject{{"line", static_cast<qint64>(it.line)},
                            {"message", ToQString(it.message)},
                            {"remedy", ToQString(it.remedy)}});
  }
  const DocumentError document_error(problems);
  const auto error = BadRequest(422, document_error.code(),
                                document_error.what(), document_error.remedy());
  auto body =
      QJsonDocument::fromJson(QByteArray::fromStdString(ErrorBody(error)))
          .object();
  auto inner = body["error"].toObject();
  inner["problems"] = list;
  body["error"] = inner;
  return Json(422, ToJson(body));
}

// Compares hashes, whose equal length and content tell nothing about where
// the tokens differ, in a time that does not depend on the content.
bool IsSameSecret(std::string_view left, std::string_view right) {
  const auto a = Sha256Hex(left);
  const auto b = Sha256Hex(right);
  unsigned difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  }
  return difference == 0;
}

bool IsAuthorized(const IncomingRequest& request, const std::string& token) {
  constexpr std::string_view kBearer = "Bearer ";
  const auto value = FindHeader(request.headers, "Authorization");
  return value.starts_with(kBearer) &&
         IsSameSecret(value.substr(kBearer.size()), token);
}

std::optional<std::uint64_t> ParseVersion(std::string_view text) {
  std::uint64_t version = 0;
  const auto* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, version);
  if (ec != std::errc() || rest != end || version > kMaxVersion) {
    return std::nullopt;
  }
  return version;
}

AdminResponse DocumentAnswer(std::uint64_t version,
                             const std::string& sha256,
                             const std::string& toml) {
  return {200,
          {{"Content-Type", "application/toml"},
           {"X-Version", std::to_string(version)},
           {"X-Sha256", sha256}},
          toml};
}

void GetDocument(const Exchange& it) {
  const auto current = it.hooks.keeper->Current();
  if (!current) {
    it.callback(NotFound("no document is in force at this router",
                         "apply the first document with If-Version: 0, or "
                         "wait until the store or a peer answers"));
    return;
  }
  it.callback(DocumentAnswer(current->version, current->sha256, current->toml));
}

AdminResponse ConflictAnswer(std::uint64_t base, std::uint64_t present) {
  auto answer = Error(BadRequest(
      409, "version_conflict",
      fmt::format("the document was based on version {}, but version {} is "
                  "present",
                  base, present),
      fmt::format("show version {}, merge your change into it and apply it "
                  "again with If-Version: {}",
                  present, present)));
  answer.headers.emplace_back("X-Version", std::to_string(present));
  return answer;
}

AdminResponse AppliedAnswer(const ApplyResult& result) {
  auto answer =
      Json(200, ToJson({{"version", static_cast<qint64>(result.version)},
                        {"sha256", ToQString(result.sha256)}}));
  answer.headers.emplace_back("X-Version", std::to_string(result.version));
  return answer;
}

AdminResponse ApplyAnswer(const ApplyResult& result, std::uint64_t base) {
  switch (result.status) {
    case ApplyStatus::kApplied:
      return AppliedAnswer(result);
    case ApplyStatus::kConflict:
      return ConflictAnswer(base, result.version);
    case ApplyStatus::kRejected:
      return Rejected(result.problems);
    case ApplyStatus::kUnavailable:
      return Unavailable(
          "the store does not answer; the document was not "
          "applied by this request");
    case ApplyStatus::kUnknown:
      break;
  }
  return Error({504, Outcome::kOutcomeUnknown, "outcome_unknown",
                "the store does not answer; the document may be applied",
                "repeat the request with the same Idempotency-Key and "
                "If-Version to learn the result"});
}

void PutDocument(const Exchange& it) {
  const auto base = ParseVersion(FindHeader(it.request.headers, "If-Version"));
  if (!base) {
    it.callback(Error(BadRequest(
        400, "bad_if_version", "the header If-Version is missing or no number",
        "send the version that the change is based on; 0 for the first "
        "document")));
    return;
  }
  const std::string nonce(FindHeader(it.request.headers, "Idempotency-Key"));
  if (!nonce.empty() && !IsValidNonce(nonce)) {
    it.callback(Error(BadRequest(400, "bad_idempotency_key",
                                 "the header Idempotency-Key is malformed",
                                 "use 1 to 64 letters, digits and hyphens")));
    return;
  }
  it.hooks.keeper->Apply(
      {it.request.body, *base, nonce},
      [callback = it.callback, base = *base](const ApplyResult& result) {
        callback(ApplyAnswer(result, base));
      });
}

std::vector<DocumentProblem> FindProblems(const std::string& toml,
                                          const DocumentPointer& current) {
  try {
    const auto document = ParseDocument(toml);
    return current ? CheckReplacement(current->document, document)
                   : std::vector<DocumentProblem>();
  } catch (const DocumentError& error) {
    return error.problems();
  }
}

void Validate(const Exchange& it) {
  const auto current = it.hooks.keeper->Current();
  const auto problems = FindProblems(it.request.body, current);
  it.callback(problems.empty() ? Json(200, ToJson({{"valid", true}}))
                               : Rejected(problems));
}

void GetHistory(const Exchange& it) {
  const auto version = ParseVersion(
      std::string_view(it.request.path).substr(kHistoryPrefix.size()));
  if (!version) {
    it.callback(NotFound(
        "the version is no number",
        "give a version, for example " + std::string(kHistoryPrefix) + "7"));
    return;
  }
  it.hooks.keeper->ReadVersion(
      *version, [callback = it.callback, version = *version](
                    ReadStatus status, const StoredDocument& stored) {
        if (status == ReadStatus::kOk) {
          callback(DocumentAnswer(stored.version, stored.sha256, stored.toml));
        } else if (status == ReadStatus::kNotFound) {
          callback(NotFound(
              fmt::format("version {} does not exist", version),
              fmt::format("GET {} shows the version in force", kDocumentPath)));
        } else {
          callback(Unavailable("the store does not answer"));
        }
      });
}

void GetLedger(const Exchange& it) {
  const auto budget = it.request.path.substr(kLedgerPrefix.size());
  const auto current = it.hooks.keeper->Current();
  if (!current || FindByName(current->document.budgets, budget) == nullptr) {
    it.callback(Error(BadRequest(
        404, "unknown_budget",
        fmt::format("the budget \"{}\" is not in the document", budget),
        "correct the name or add the budget to the document")));
    return;
  }
  it.hooks.ledger(budget, [callback = it.callback](std::string report) {
    callback(report.empty() ? Unavailable("the ledger cannot be read")
                            : Json(200, std::move(report)));
  });
}

void Stop(const Exchange& it) {
  it.callback(Json(202, ToJson({{"stopping", true}})));
  it.hooks.stop();
}

void GetHealth(const Exchange& it) {
  it.callback(Text(200, "ok\n"));
}

// Without a document no caller can be served, so the reason is named.
void GetReadiness(const Exchange& it) {
  if (it.hooks.is_ready()) {
    it.callback(Text(200, "ready\n"));
  } else if (!it.hooks.keeper->Current()) {
    it.callback(Text(503, "not ready: no document is in force\n"));
  } else {
    it.callback(Text(503, "not ready\n"));
  }
}

struct Route {
  std::string_view method;
  std::string_view path;
  // True if the path is followed by a name.
  bool is_prefix;
  bool needs_token;
  void (*answer)(const Exchange&);
};

const std::vector<Route>& Routes() {
  static const std::vector<Route> kRoutes{
      {"GET", kDocumentPath, false, true, GetDocument},
      {"PUT", kDocumentPath, false, true, PutDocument},
      {"POST", kValidatePath, false, true, Validate},
      {"GET", kHistoryPrefix, true, true, GetHistory},
      {"GET", kLedgerPrefix, true, true, GetLedger},
      {"GET", "/admin/v1/status", false, true,
       [](const Exchange& it) { it.callback(Json(200, it.hooks.status())); }},
      {"GET", "/admin/v1/histograms", false, true,
       [](const Exchange& it) {
         it.callback(Json(200, it.hooks.histograms()));
       }},
      {"POST", "/admin/v1/stop", false, true, Stop},
      {"GET", "/metrics", false, true,
       [](const Exchange& it) { it.callback(Text(200, it.hooks.metrics())); }},
      {"GET", "/healthz", false, false, GetHealth},
      {"GET", "/readyz", false, false, GetReadiness},
  };
  return kRoutes;
}

bool HasPath(const Route& route, std::string_view path) {
  return route.is_prefix
             ? path.starts_with(route.path) && path.size() > route.path.size()
             : path == route.path;
}

AdminResponse Unauthorized() {
  auto answer = Error(BadRequest(
      401, "unauthorized", "the administration token is missing or wrong",
      "send Authorization: Bearer with the token of the daemon's settings"));
  answer.headers.emplace_back("WWW-Authenticate", "Bearer");
  return answer;
}

AdminResponse MethodNotAllowed(const std::vector<Route>& routes) {
  std::vector<std::string_view> methods(routes.size());
  std::ranges::transform(routes, methods.begin(), &Route::method);
  const auto allowed = fmt::format("{}", fmt::join(methods, ", "));
  auto answer =
      Error(BadRequest(405, "method_not_allowed",
                       "the path does not have this method", "use " + allowed));
  answer.headers.emplace_back("Allow", allowed);
  return answer;
}

}  // namespace

void HandleAdminRequest(const AdminApiHooks& hooks,
                        const std::string& token,
                        const IncomingRequest& request,
                        const AdminResponseCallback& callback) {
  std::vector<Route> routes;
  std::ranges::copy_if(
      Routes(), std::back_inserter(routes),
      [&](const Route& it) { return HasPath(it, request.path); });
  const bool open = !routes.empty() && !routes.front().needs_token;
  if (!open && !IsAuthorized(request, token)) {
    callback(Unauthorized());
    return;
  }
  if (routes.empty()) {
    callback(NotFound("the path does not exist",
                      "see \"Administration\" in the operators' page"));
    return;
  }
  const auto it = std::ranges::find(routes, request.method, &Route::method);
  if (it == routes.end()) {
    callback(MethodNotAllowed(routes));
    return;
  }
  it->answer({hooks, request, callback});
}

HttpHandler MakeAdminApi(const std::string& token, AdminApiHooks hooks) {
  return [token, hooks = std::move(hooks)](const IncomingRequest& request,
                                           const HttpReply& reply) {
    HandleAdminRequest(
        hooks, token, request,
        [reply = HttpReply(reply)](const AdminResponse& answer) mutable {
          reply.SendResponse(answer.status, answer.headers, answer.body);
        });
  };
}

}  // namespace crocuslatch
