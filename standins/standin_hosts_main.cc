#include <QFile>
#include <QJsonArray>
#include <optional>

#include "standins/standin_program.h"

namespace crocuslatch::standins {

namespace {

constexpr Millis kFilePollInterval{100};

// Serves the platform's host list. `latest_` is the newest list; readers see
// `visible_`, which follows `latest_` after `lag_ms_`.
class HostList {
 public:
  explicit HostList(EventLoop loop) : loop_(std::move(loop)) {}

  void WatchFile(const std::string& name) {
    QFile file(QString::fromStdString(name));
    if (file.open(QIODevice::ReadOnly)) {
      ReplaceFromFile(file.readAll());
    }
    loop_.after(kFilePollInterval, [this, name] { WatchFile(name); });
  }

  void Control(const QJsonObject& changes) {
    Update(changes, "lag_ms", lag_ms_);
    Update(changes, "outage", outage_);
    QJsonArray hosts = changes.value("hosts").toArray(latest_);
    if (changes.contains("set")) {
      SetState(hosts, changes.value("set").toObject());
    }
    if (changes.contains("remove")) {
      Remove(hosts, changes.value("remove").toString());
    }
    Publish(hosts);
  }

  void Handle(const IncomingRequest& request, HttpReply reply) {
    if (request.path == "/control") {
      Control(ParseJson(request.body));
      return SendJson(reply, 200, QJsonDocument(QJsonObject()));
    }
    if (request.path == "/stats") {
      const QJsonObject stats{{"reads", static_cast<qint64>(reads_)}};
      return SendJson(reply, 200, QJsonDocument(stats));
    }
    if (request.path != "/v1/hosts") {
      return reply.SendResponse(404, {}, "");
    }
    ++reads_;
    if (outage_ == "hang") {
      return silent_replies_.Add(reply);
    }
    if (outage_ == "refuse") {
      return reply.SendResponse(503, {}, "");
    }
    SendJson(reply, 200, QJsonDocument(visible_));
  }

 private:
  static void SetState(QJsonArray& hosts, const QJsonObject& change) {
    for (auto&& it : hosts) {
      QJsonObject host = it.toObject();
      if (host.value("name") == change.value("name")) {
        host.insert("state", change.value("state"));
        it = host;
      }
    }
  }

  static void Remove(QJsonArray& hosts, const QString& name) {
    for (qsizetype i = hosts.size() - 1; i >= 0; --i) {
      if (hosts.at(i).toObject().value("name") == name) {
        hosts.removeAt(i);
      }
    }
  }

  void ReplaceFromFile(const QByteArray& text) {
    if (text == file_text_) {
      return;
    }
    file_text_ = text;
    Publish(QJsonDocument::fromJson(text).array());
  }

  void Publish(const QJsonArray& hosts) {
    if (hosts == latest_) {
      return;
    }
    latest_ = hosts;
    if (lag_ms_ == 0) {
      visible_ = hosts;
      return;
    }
    loop_.after(Millis(lag_ms_), [this, hosts] { visible_ = hosts; });
  }

  EventLoop loop_;
  QByteArray file_text_;
  QJsonArray latest_;
  QJsonArray visible_;
  SilentReplies silent_replies_;
  std::string outage_ = "none";
  std::int64_t lag_ms_ = 0;
  std::int64_t reads_ = 0;
};

}  // namespace

}  // namespace crocuslatch::standins

int main(int argc, char** argv) {
  using crocuslatch::standins::OptionValues;
  namespace po = boost::program_options;
  crocuslatch::standins::OptionList options(
      "standin_hosts: the platform's list of hosts");
  options.add_options()("file", po::value<std::string>()->default_value(""),
                        "JSON list of hosts, reloaded when it changes")(
      "lag-ms", po::value<qint64>()->default_value(0),
      "delay before a change is visible to readers");
  std::optional<crocuslatch::standins::HostList> hosts;
  return crocuslatch::standins::RunHttpProgram(
      argc, argv, options, [&](const OptionValues& values) {
        hosts.emplace(crocuslatch::MakeQtEventLoop());
        const auto file = values["file"].as<std::string>();
        if (!file.empty()) {
          hosts->WatchFile(file);
        }
        hosts->Control({{"lag_ms", values["lag-ms"].as<qint64>()}});
        return [&hosts](const crocuslatch::IncomingRequest& request,
                        const crocuslatch::HttpReply& reply) {
          hosts->Handle(request, reply);
        };
      });
}
