#include "tests/process/platform_standin.h"

#include <fmt/format.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>
#include <QUrlQuery>
#include <cstdlib>

namespace crocuslatch::test {
namespace {

constexpr Millis kHeartbeatPeriod{1200};
// Period at which a waiting watch looks for events.
constexpr Millis kWatchPeriod{5};

std::string Query(const IncomingRequest& request, const char* name) {
  const QUrlQuery query(QString::fromStdString(request.query));
  return query.queryItemValue(name, QUrl::FullyDecoded).toStdString();
}

HttpHeaders ResponseHeaders(const std::string& id) {
  return {{"Crocuslatch-Request-Id", id}, {"Crocuslatch-Replica-Seal", "s"}};
}

// Sends the events from `next` on.
void SendEvents(HttpReply reply, QObject* context, int next, int n, int pause) {
  if (!reply.IsOpen()) {
    return;
  }
  reply.Write(fmt::format("id: {}\ndata: piece {}\n\n", next, next));
  if (next == n) {
    reply.EndStream();
    return;
  }
  QTimer::singleShot(pause, context,
                     [=] { SendEvents(reply, context, next + 1, n, pause); });
}

}  // namespace

PlatformStore::PlatformStore()
    : server_({.max_body_bytes = 8 << 20},
              [this](const IncomingRequest& request, HttpReply reply) {
                OnRequest(request, std::move(reply));
              }) {}

std::string PlatformStore::address() const {
  return fmt::format("127.0.0.1:{}", server_.port());
}

void PlatformStore::Put(const std::string& key, const QJsonObject& value) {
  const auto text = QJsonDocument(value).toJson(QJsonDocument::Compact);
  items_[key] = {text.toBase64().toStdString(), ++revision_};
  events_.push_back({key, revision_});
}

void PlatformStore::Remove(const std::string& key) {
  items_.erase(key);
  events_.push_back({key, ++revision_});
}

std::int64_t PlatformStore::RevisionOf(const std::string& key) const {
  const auto it = items_.find(key);
  return it == items_.end() ? 0 : it->second.revision;
}

QJsonObject PlatformStore::ItemObject(const std::string& key) const {
  const auto it = items_.find(key);
  if (it == items_.end()) {
    return {{"key", QString::fromStdString(key)}, {"tombstone", true}};
  }
  return {{"key", QString::fromStdString(key)},
          {"value", QString::fromStdString(it->second.value_base64)},
          {"rev", static_cast<qint64>(it->second.revision)}};
}

void PlatformStore::Reply(HttpReply& reply,
                          int status,
                          QJsonObject body) const {
  body["store_revision"] = static_cast<qint64>(revision_);
  reply.SendResponse(
      status, {{"Content-Type", "application/json"}},
      QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString());
}

void PlatformStore::OnRequest(const IncomingRequest& request, HttpReply reply) {
  if (is_down_) {
    reply.SendResponse(500, {}, "");
    return;
  }
  if (request.path == "/-/kv-key") {
    const auto key = Query(request, "key");
    const bool is_found = items_.contains(key);
    Reply(reply, is_found ? 200 : 404,
          is_found ? ItemObject(key) : QJsonObject());
    return;
  }
  if (request.path == "/-/kv-range") {
    const auto prefix = Query(request, "prefix");
    QJsonArray found;
    for (const auto& [key, item] : items_) {
      if (key.starts_with(prefix)) {
        found.append(ItemObject(key));
      }
    }
    Reply(reply, 200, {{"items", found}, {"more_pages", false}});
    return;
  }
  if (request.path == "/-/kv-watch") {
    Watch(Query(request, "prefix"), std::atoll(Query(request, "after").c_str()),
          Millis{std::atoll(Query(request, "wait_ms").c_str())},
          std::move(reply));
    return;
  }
  if (request.path == "/-/kv-txn") {
    Commit(QJsonDocument::fromJson(QByteArray::fromStdString(request.body))
               .object(),
           std::move(reply));
    return;
  }
  Reply(reply, 404, {});
}

void PlatformStore::Watch(const std::string& prefix,
                          std::int64_t after,
                          Millis left,
                          HttpReply reply) {
  if (!reply.IsOpen()) {
    return;
  }
  QJsonArray found;
  for (const auto& it : events_) {
    if (it.revision > after && it.key.starts_with(prefix)) {
      found.append(ItemObject(it.key));
    }
  }
  if (!found.isEmpty() || left <= Millis{0}) {
    Reply(reply, 200, {{"events", found}});
    return;
  }
  QTimer::singleShot(kWatchPeriod, [=, this] {
    Watch(prefix, after, left - kWatchPeriod, reply);
  });
}

void PlatformStore::Commit(const QJsonObject& transaction, HttpReply reply) {
  QJsonArray current;
  bool is_expected = true;
  for (const auto& it : transaction["expected"].toArray()) {
    const auto key = it.toObject()["key"].toString().toStdString();
    is_expected &= RevisionOf(key) ==
                   static_cast<std::int64_t>(it.toObject()["rev"].toDouble());
    if (items_.contains(key)) {
      current.append(ItemObject(key));
    }
  }
  if (!is_expected) {
    Reply(reply, 412, {{"items", current}});
    return;
  }
  ++revision_;
  for (const auto& it : transaction["puts"].toArray()) {
    const auto key = it.toObject()["key"].toString().toStdString();
    items_[key] = {it.toObject()["value"].toString().toStdString(), revision_};
    events_.push_back({key, revision_});
  }
  for (const auto& it : transaction["remove"].toArray()) {
    items_.erase(it.toString().toStdString());
    events_.push_back({it.toString().toStdString(), revision_});
  }
  Reply(reply, 200, {{"rev", static_cast<qint64>(revision_)}});
}

PlatformServer::PlatformServer(PlatformStore* store,
                               std::string service,
                               std::string id,
                               std::string failure_domain)
    : store_(store),
      service_(std::move(service)),
      id_(std::move(id)),
      failure_domain_(std::move(failure_domain)),
      server_({},
              [this](const IncomingRequest& request, const HttpReply& reply) {
                OnRequest(request, reply);
              }) {
  BeatLater();
}

void PlatformServer::BeatLater() {
  store_->Put(
      "servers/" + id_,
      {{"service", QString::fromStdString(service_)},
       {"address",
        QString::fromStdString(fmt::format("127.0.0.1:{}", server_.port()))},
       {"zone", QString::fromStdString(failure_domain_)},
       {"version", "v1"},
       {"slots", 64},
       {"state", "ready"},
       {"cold_remaining_ms", static_cast<qint64>(cold_remaining_.count())},
       {"sequence", ++sequence_},
       {"born", qint64{1'700'000'000'000}}});
  QTimer::singleShot(kHeartbeatPeriod, &context_, [this] { BeatLater(); });
}

void PlatformServer::OnRequest(const IncomingRequest& request,
                               const HttpReply& reply) {
  HttpReply out = reply;
  const std::string id(FindHeader(request.headers, "Crocuslatch-Request-Id"));
  if (id.empty()) {
    out.SendResponse(200, {}, "{}");
    return;
  }
  ++runs_[id];
  const auto how = request.path.substr(request.path.rfind('/') + 1);
  const auto dash = how.find('-');
  if (dash != std::string::npos) {
    out.StartStream(200, ResponseHeaders(id));
    SendEvents(out, &context_, 1, std::atoi(how.c_str()),
               std::atoi(how.substr(dash + 1).c_str()));
    return;
  }
  constexpr std::string_view kBytes = "bytes";
  if (how.starts_with(kBytes)) {
    out.SendResponse(200, ResponseHeaders(id),
                     std::string(std::stoul(how.substr(kBytes.size())), 'x'));
    return;
  }
  QTimer::singleShot(std::atoi(how.c_str()), &context_, [out, id]() mutable {
    out.SendResponse(200, ResponseHeaders(id), "booked");
  });
}

}  // namespace crocuslatch::test
