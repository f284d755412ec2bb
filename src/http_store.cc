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

struct Response {
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

Response MakeResponse(HttpResult end,
                      int status,
                      const HttpHeaders& headers,
                      const std::string& body) {
  Response response{.end = end, .status = status, .body = body};
  const auto text = FindHeader(headers, "X-Version");
  const auto* const last = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), last, response.version);
  response.has_version = !text.empty() && ec == std::errc() && rest == last;
  return response;
}

// A response that lacks the version of its result counts as kUnknown.
StoreResult ToGetResult(const Response& response) {
  if (response.status == 200 && response.has_version) {
    return {StoreStatus::kOk, response.version, response.body};
  }
  if (response.status == 404) {
    return {.status = StoreStatus::kNotFound};
  }
  return {};
}

StoreResult ToPutResult(const Response& response) {
  if (response.status == 200 && response.has_version) {
    return {.status = StoreStatus::kOk, .version = response.version};
  }
  if (response.status == 409 && response.has_version) {
    return {.status = StoreStatus::kVersionConflict,
            .version = response.version};
  }
  return {};
}

StoreResult ToRemoveResult(const Response& response) {
  if (response.status == 200 || response.status == 204) {
    return {.status = StoreStatus::kOk};
  }
  if (response.status == 404) {
    return {.status = StoreStatus::kNotFound};
  }
  return ToPutResult(response);
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

std::string DescribeFailure(const Response& response) {
  switch (response.end) {
    case HttpResult::kComplete:
      return fmt::format("status {}", response.status);
    case HttpResult::kNotSent:
      return "connection refused";
    case HttpResult::kBroken:
      return "connection broken";
    case HttpResult::kTooLarge:
      return "answer too large";
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

  // Applies the timeout to the whole call. The timeouts of the client alone
  // would let a store that sends slowly hold the call open for longer.
  void Send(const HttpRequest& request,
            std::function<void(const Response&)> callback) {
    auto call = client_->SendAndCollect(
        request, [callback = std::move(callback)](HttpResult end, int status,
                                                  const HttpHeaders& headers,
                                                  const std::string& body) {
          callback(MakeResponse(end, status, headers, body));
        });
    loop_.after(options_.timeout, [call]() mutable { call.Cancel(); });
  }

  void SendForResult(const HttpRequest& request,
                     std::function<StoreResult(const Response&)> convert,
                     StoreCallback callback) {
    Send(request, [self = shared_from_this(), convert = std::move(convert),
                   callback = std::move(callback)](const Response& response) {
      const auto result = convert(response);
      self->UpdateAvailability(result.status, response);
      callback(result);
    });
  }

  void UpdateAvailability(StoreStatus status, const Response& response) {
    const bool available = status != StoreStatus::kUnknown;
    if (available == available_) {
      return;
    }
    available_ = available;
    if (available) {
      Log(LogEvent::kStoreRecovered, "{}", options_.base_url);
    } else {
      Log(LogEvent::kStoreUnavailable, "{}: {}", options_.base_url,
          DescribeFailure(response));
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
                                     const Response& response) {
              const auto entries = response.status == 200
                                       ? ParseEntries(response.body)
                                       : std::nullopt;
              const auto status =
                  entries ? StoreStatus::kOk : StoreStatus::kUnknown;
              store->UpdateAvailability(status, response);
              callback(status,
                       entries.value_or(std::vector<StoreKeyVersion>()));
            });
          },
  };
}

}  // namespace crocuslatch
