#include "src/http_store.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>
#include <charconv>
#include <memory>
#include <optional>

#include "src/log.h"

namespace crocuslatch {
namespace {

struct Answer {
  HttpResult end = HttpResult::kBroken;
  int status = 0;
  std::uint64_t version = 0;
  bool has_version = false;
  std::string body;
};

std::string EncodeKey(const std::string& key) {
  return QUrl::toPercentEncoding(QString::fromStdString(key), "/")
      .toStdString();
}

Answer MakeAnswer(HttpResult end,
                  int status,
                  const HttpHeaders& headers,
                  const std::string& body) {
  Answer answer{.end = end, .status = status, .body = body};
  const auto text = FindHeader(headers, "X-Version");
  const auto* const last = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), last, answer.version);
  answer.has_version = !text.empty() && ec == std::errc() && rest == last;
  return answer;
}

// An answer that states a result without its version is no clear answer.
StoreResult ToGetResult(const Answer& answer) {
  if (answer.status == 200 && answer.has_version) {
    return {StoreStatus::kOk, answer.version, answer.body};
  }
  if (answer.status == 404) {
    return {.status = StoreStatus::kNotFound};
  }
  return {};
}

StoreResult ToPutResult(const Answer& answer) {
  if (answer.status == 200 && answer.has_version) {
    return {.status = StoreStatus::kOk, .version = answer.version};
  }
  if (answer.status == 409 && answer.has_version) {
    return {.status = StoreStatus::kVersionConflict, .version = answer.version};
  }
  return {};
}

StoreResult ToRemoveResult(const Answer& answer) {
  if (answer.status == 200 || answer.status == 204) {
    return {.status = StoreStatus::kOk};
  }
  if (answer.status == 404) {
    return {.status = StoreStatus::kNotFound};
  }
  return ToPutResult(answer);
}

std::optional<std::vector<StoreKeyVersion>> ParseEntries(
    const std::string& body) {
  const auto json = QJsonDocument::fromJson(QByteArray::fromStdString(body));
  if (!json.isArray()) {
    return std::nullopt;
  }
  std::vector<StoreKeyVersion> result;
  for (const auto& it : json.array()) {
    const auto key = it.toObject().value("key");
    const auto version = it.toObject().value("version");
    if (!key.isString() || !version.isDouble()) {
      return std::nullopt;
    }
    result.push_back({key.toString().toStdString(),
                      static_cast<std::uint64_t>(version.toInteger())});
  }
  return result;
}

std::string Describe(const Answer& answer) {
  switch (answer.end) {
    case HttpResult::kComplete:
      return fmt::format("status {}", answer.status);
    case HttpResult::kNotSent:
      return "connection refused";
    case HttpResult::kBroken:
      return "connection broken";
    case HttpResult::kTimedOut:
    case HttpResult::kCancelled:
      return "no answer in time";
  }
  return "";
}

class HttpStore : public std::enable_shared_from_this<HttpStore> {
 public:
  HttpStore(HttpStoreOptions options, EventLoop loop, HttpClient* client)
      : options_(std::move(options)), loop_(std::move(loop)), client_(client) {}

  HttpRequest MakeRequest(std::string method, const std::string& path) const {
    return {.method = std::move(method),
            .url = options_.base_url + path,
            .first_byte_timeout = options_.timeout,
            .stall_timeout = options_.timeout};
  }

  HttpRequest MakeKeyRequest(std::string method, const std::string& key) const {
    return MakeRequest(std::move(method), "/v1/kv/" + EncodeKey(key));
  }

  // The deadline is for the call as a whole: the timeouts of the client alone
  // would let a store that sends slowly hold it for longer.
  void Send(const HttpRequest& request,
            std::function<void(const Answer&)> callback) {
    auto call = client_->SendAndCollect(
        request, [callback = std::move(callback)](HttpResult end, int status,
                                                  const HttpHeaders& headers,
                                                  const std::string& body) {
          callback(MakeAnswer(end, status, headers, body));
        });
    loop_.after(options_.timeout, [call]() mutable { call.Cancel(); });
  }

  void SendForResult(const HttpRequest& request,
                     std::function<StoreResult(const Answer&)> convert,
                     StoreCallback callback) {
    Send(request, [self = shared_from_this(), convert = std::move(convert),
                   callback = std::move(callback)](const Answer& answer) {
      const auto result = convert(answer);
      self->NoteStatus(result.status, answer);
      callback(result);
    });
  }

  void NoteStatus(StoreStatus status, const Answer& answer) {
    const bool available = status != StoreStatus::kUnknown;
    if (available == available_) {
      return;
    }
    available_ = available;
    if (available) {
      Log(LogEvent::kStoreRecovered, "{}", options_.base_url);
    } else {
      Log(LogEvent::kStoreUnavailable, "{}: {}", options_.base_url,
          Describe(answer));
    }
  }

 private:
  HttpStoreOptions options_;
  EventLoop loop_;
  HttpClient* client_;
  bool available_ = true;
};

}  // namespace

Store MakeHttpStore(const HttpStoreOptions& options,
                    const EventLoop& loop,
                    HttpClient* client) {
  const auto store = std::make_shared<HttpStore>(options, loop, client);
  return {
      .get =
          [store](const std::string& key, StoreCallback callback) {
            store->SendForResult(store->MakeKeyRequest("GET", key), ToGetResult,
                                 std::move(callback));
          },
      .put =
          [store](const std::string& key, const std::string& value,
                  std::uint64_t expected, StoreCallback callback) {
            auto request = store->MakeKeyRequest("PUT", key);
            request.headers = {{"If-Version", std::to_string(expected)}};
            request.body = value;
            store->SendForResult(request, ToPutResult, std::move(callback));
          },
      .remove =
          [store](const std::string& key, std::uint64_t expected,
                  StoreCallback callback) {
            auto request = store->MakeKeyRequest("DELETE", key);
            request.headers = {{"If-Version", std::to_string(expected)}};
            store->SendForResult(request, ToRemoveResult, std::move(callback));
          },
      .list =
          [store](const std::string& prefix, StoreListCallback callback) {
            const auto request = store->MakeRequest(
                "GET", "/v1/list?prefix=" + EncodeKey(prefix));
            store->Send(request, [store, callback = std::move(callback)](
                                     const Answer& answer) {
              const auto entries = answer.status == 200
                                       ? ParseEntries(answer.body)
                                       : std::nullopt;
              const auto status =
                  entries ? StoreStatus::kOk : StoreStatus::kUnknown;
              store->NoteStatus(status, answer);
              callback(status,
                       entries.value_or(std::vector<StoreKeyVersion>()));
            });
          },
  };
}

}  // namespace crocuslatch
