#include "standins/store_server.h"

#include <fmt/format.h>

#include <QJsonArray>
#include <QUrl>
#include <algorithm>
#include <charconv>
#include <optional>

namespace crocuslatch::standins {

namespace {

constexpr std::size_t kMaxValueBytes = 1 << 20;
constexpr std::string_view kKvPath = "/v1/kv/";
constexpr std::string_view kWatchPath = "/v1/watch/";
constexpr std::string_view kLeasePath = "/v1/leases";

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t n = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, n);
  if (text.empty() || result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return n;
}

std::string DecodePath(std::string_view path) {
  const QByteArray raw(path.data(), static_cast<qsizetype>(path.size()));
  return QByteArray::fromPercentEncoding(raw).toStdString();
}

HttpHeaders VersionHeader(std::uint64_t version) {
  return {{"X-Version", std::to_string(version)}};
}

}  // namespace

// One parsed call to the store. `kind` is the name of its counter in /stats;
// empty if the call is unknown.
struct StoreServer::Call {
  explicit Call(const IncomingRequest& from) : request(from) {
    const std::string_view path = request.path;
    if (path.starts_with(kKvPath)) {
      key = DecodePath(path.substr(kKvPath.size()));
      kind = request.method == "GET"      ? "reads"
             : request.method == "PUT"    ? "writes"
             : request.method == "DELETE" ? "deletes"
                                          : "";
    } else if (path.starts_with(kWatchPath)) {
      key = DecodePath(path.substr(kWatchPath.size()));
      kind = "watches";
    } else if (path == "/v1/list") {
      key = QueryValue(request.query, "prefix");
      kind = "lists";
    } else if (path.starts_with(kLeasePath)) {
      kind = "leases";
    }
  }

  bool IsWrite() const {
    return kind == "writes" || kind == "deletes" || kind == "leases";
  }

  IncomingRequest request;
  std::string kind;
  std::string key;
};

void StoreServer::Control(const QJsonObject& changes) {
  Update(changes, "outage", faults_.outage);
  Update(changes, "prefix", faults_.prefix);
  Update(changes, "slow_ms", faults_.slow_ms);
  Update(changes, "slow_answer_ms", faults_.slow_answer_ms);
  Update(changes, "lose_answers", faults_.lose_answers);
  Update(changes, "reads_per_second", faults_.reads_per_second);
  Update(changes, "writes_per_second", faults_.writes_per_second);
  read_limit_.Set(faults_.reads_per_second);
  write_limit_.Set(faults_.writes_per_second);
}

void StoreServer::Handle(const IncomingRequest& request,
                         const HttpReply& reply) {
  if (request.path == "/control") {
    Control(ParseJson(request.body));
    return SendJson(reply, 200, QJsonDocument(QJsonObject()));
  }
  if (request.path == "/stats") {
    return SendJson(reply, 200, QJsonDocument(Stats()));
  }
  const Call call(request);
  ++counts_[call.kind.empty() ? "unknown" : call.kind];
  counts_["bytes_in"] += static_cast<std::int64_t>(request.body.size());
  if (RefuseIfFaulty(call, reply)) {
    return;
  }
  if (call.kind == "watches") {
    return StartWatch(call, reply);
  }
  if (!IsFaultTarget(call) || faults_.slow_ms == 0) {
    return Execute(call, reply);
  }
  loop_.after(Millis(faults_.slow_ms),
              [this, call, reply] { Execute(call, reply); });
}

bool StoreServer::IsFaultTarget(const Call& call) const {
  return call.key.starts_with(faults_.prefix);
}

bool StoreServer::RefuseIfFaulty(const Call& call, HttpReply reply) {
  if (IsFaultTarget(call) && faults_.outage == "hang") {
    ++counts_["hung"];
    silent_replies_.Add(reply);
    return true;
  }
  if (IsFaultTarget(call) && faults_.outage == "refuse") {
    ++counts_["refused"];
    reply.SendResponse(503, {}, "");
    return true;
  }
  RateLimiter& limit = call.IsWrite() ? write_limit_ : read_limit_;
  if (!limit.TryTake(loop_.now())) {
    ++counts_["rate_limited"];
    reply.SendResponse(429, {}, "");
    return true;
  }
  return false;
}

void StoreServer::Execute(const Call& call, HttpReply reply) {
  const Answer answer = Apply(call);
  const bool wrote = call.kind == "writes" || call.kind == "deletes";
  if (wrote && answer.status == 200) {
    NotifyWatches(call.key);
  }
  if (call.IsWrite() && answer.status == 200 && IsFaultTarget(call) &&
      faults_.lose_answers > 0) {
    --faults_.lose_answers;
    ++counts_["lost_answers"];
    return reply.Abort();
  }
  if (!IsFaultTarget(call) || faults_.slow_answer_ms == 0) {
    return SendAnswer(call, answer, reply);
  }
  loop_.after(Millis(faults_.slow_answer_ms),
              [this, call, answer, reply] { SendAnswer(call, answer, reply); });
}

void StoreServer::SendAnswer(const Call& call,
                             const Answer& answer,
                             HttpReply reply) {
  if (answer.status == 409) {
    ++counts_["conflicts"];
  }
  counts_["bytes_out"] += static_cast<std::int64_t>(answer.body.size());
  counts_["answered_" + call.kind] += 1;
  reply.SendResponse(answer.status, answer.headers, answer.body);
}

StoreServer::Answer StoreServer::Apply(const Call& call) {
  if (call.kind == "reads") {
    return Get(call.key);
  }
  if (call.kind == "lists") {
    return List(call.key);
  }
  if (call.kind == "leases") {
    return Lease(call);
  }
  if (call.kind == "writes" || call.kind == "deletes") {
    return Write(call);
  }
  return {.status = 404};
}

StoreServer::Answer StoreServer::Get(const std::string& key) const {
  const auto entry = table_.Get(key);
  if (!entry) {
    return {.status = 404};
  }
  return {200, VersionHeader(entry->version), entry->value};
}

StoreServer::Answer StoreServer::Write(const Call& call) {
  const auto expected =
      ParseNumber(FindHeader(call.request.headers, "If-Version"));
  if (!expected) {
    return {.status = 400};
  }
  if (call.request.body.size() > kMaxValueBytes) {
    return {.status = 413};
  }
  const KvWrite write = call.kind == "writes"
                            ? table_.Put(call.key, call.request.body, *expected)
                            : table_.Remove(call.key, *expected);
  return {write.applied ? 200 : 409, VersionHeader(write.version), ""};
}

StoreServer::Answer StoreServer::List(const std::string& prefix) const {
  QJsonArray entries;
  for (const auto& [key, version] : table_.List(prefix)) {
    entries.append(QJsonObject{{"key", QString::fromStdString(key)},
                               {"version", static_cast<qint64>(version)}});
  }
  const auto body = QJsonDocument(entries).toJson(QJsonDocument::Compact);
  return {200, {{"Content-Type", "application/json"}}, body.toStdString()};
}

StoreServer::Answer StoreServer::Lease(const Call& call) {
  const auto now = loop_.now();
  if (call.request.path == kLeasePath) {
    const auto ttl = ParseJson(call.request.body).value("ttl_ms").toInteger();
    const auto id = leases_.Grant(Millis(ttl), now);
    return {200, {}, fmt::format(R"({{"id":"{}","ttl_ms":{}}})", id, ttl)};
  }
  std::string_view rest = call.request.path;
  rest.remove_prefix(std::min(rest.size(), kLeasePath.size() + 1));
  const auto id = ParseNumber(rest.substr(0, rest.find('/'))).value_or(0);
  const bool held = call.request.method == "DELETE" ? leases_.Remove(id, now)
                                                    : leases_.Renew(id, now);
  return {.status = held ? 200 : 404, .body = "{}"};
}

void StoreServer::StartWatch(const Call& call, const HttpReply& reply) {
  const auto& query = call.request.query;
  const auto after = ParseNumber(QueryValue(query, "after")).value_or(0);
  const auto timeout =
      ParseNumber(QueryValue(query, "timeout_ms")).value_or(30000);
  watches_.push_back({call.key, after, reply});
  loop_.after(Millis(timeout), [this, waiting = HttpReply(reply)]() mutable {
    if (waiting.IsOpen()) {
      waiting.SendResponse(304, {}, "");
    }
    watches_.remove_if([](const Watch& it) { return !it.reply.IsOpen(); });
  });
  NotifyWatches(call.key);
}

void StoreServer::NotifyWatches(const std::string& key) {
  const auto entry = table_.Get(key);
  for (auto& it : watches_) {
    if (it.key == key && entry && entry->version > it.after) {
      it.reply.SendResponse(200, VersionHeader(entry->version), entry->value);
    }
  }
  watches_.remove_if([](const Watch& it) { return !it.reply.IsOpen(); });
}

QJsonObject StoreServer::Stats() const {
  QJsonObject stats;
  for (const auto& [name, count] : counts_) {
    stats.insert(QString::fromStdString(name), static_cast<qint64>(count));
  }
  return stats;
}

}  // namespace crocuslatch::standins
