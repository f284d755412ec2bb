#include <QJsonArray>
#include <map>
#include <optional>
#include <set>

#include "standins/fault_plan.h"
#include "standins/standin_program.h"

namespace crocuslatch::standins {

namespace {

// A booking service that counts the runs of each order and never deduplicates,
// so that tests detect an order that runs twice.
class Service {
 public:
  explicit Service(EventLoop loop) : loop_(std::move(loop)) {}

  void Control(const QJsonObject& changes) {
    Update(changes, "work_ms", work_ms_);
    Update(changes, "leaving", leaving_);
    if (changes.contains("faults")) {
      faults_.Replace(changes.value("faults").toArray());
    }
  }

  void Handle(const IncomingRequest& request, HttpReply reply) {
    if (request.path == "/control") {
      Control(ParseJson(request.body));
      return SendJson(reply, 200, QJsonDocument(QJsonObject()));
    }
    if (request.path == "/stats") {
      return SendJson(reply, 200, QJsonDocument(Stats()));
    }
    if (request.path == "/v1/load") {
      return SendJson(reply, 200, QJsonDocument(Load()));
    }
    if (request.method != "POST") {
      return reply.SendResponse(404, {}, "");
    }
    RunOrder(request, reply);
  }

 private:
  struct OrderRecord {
    std::int64_t runs = 0;
    std::set<std::string> bodies;
  };

  void RunOrder(const IncomingRequest& request, HttpReply reply) {
    const auto fault = faults_.Next().value_or(Fault{});
    if (fault.kind == "refuse") {
      ++refused_;
      return reply.SendResponse(503, {{"X-Not-Run", "1"}}, "");
    }
    const std::string key(FindHeader(request.headers, "Idempotency-Key"));
    OrderRecord& record = records_[key];
    ++record.runs;
    record.bodies.insert(request.body);
    runs_while_leaving_ += leaving_ ? 1 : 0;
    if (fault.kind == "close") {
      return reply.Abort();
    }
    if (fault.kind == "silent") {
      return silent_replies_.Add(reply);
    }
    const QJsonObject answer{{"order", QString::fromStdString(key)},
                             {"path", QString::fromStdString(request.path)},
                             {"run", static_cast<qint64>(record.runs)}};
    SendAnswerAfter(Millis(work_ms_ + fault.delay_ms), answer, reply);
  }

  void SendAnswerAfter(Millis delay,
                       const QJsonObject& answer,
                       const HttpReply& reply) {
    ++running_;
    loop_.after(delay, [this, answer, reply] {
      --running_;
      SendJson(reply, 200, QJsonDocument(answer));
    });
  }

  QJsonObject Load() const {
    return {{"running", static_cast<qint64>(running_)},
            {"queued", 0},
            {"slots", 64},
            {"leaving", leaving_},
            {"age_ms", 0}};
  }

  QJsonObject Stats() const {
    QJsonObject keys;
    qint64 runs = 0;
    for (const auto& [key, record] : records_) {
      const auto bodies = static_cast<qint64>(record.bodies.size());
      keys.insert(QString::fromStdString(key),
                  QJsonObject{{"runs", static_cast<qint64>(record.runs)},
                              {"bodies", bodies}});
      runs += record.runs;
    }
    return {{"keys", keys},
            {"runs", runs},
            {"refused", static_cast<qint64>(refused_)},
            {"runs_while_leaving", static_cast<qint64>(runs_while_leaving_)}};
  }

  EventLoop loop_;
  FaultPlan faults_;
  SilentReplies silent_replies_;
  std::map<std::string, OrderRecord> records_;
  std::int64_t work_ms_ = 0;
  std::int64_t running_ = 0;
  std::int64_t refused_ = 0;
  std::int64_t runs_while_leaving_ = 0;
  bool leaving_ = false;
};

}  // namespace

}  // namespace crocuslatch::standins

int main(int argc, char** argv) {
  using crocuslatch::standins::OptionValues;
  namespace po = boost::program_options;
  crocuslatch::standins::OptionList options(
      "standin_service: a booking service that counts the runs of each order");
  options.add_options()("work-ms", po::value<qint64>()->default_value(5),
                        "processing time of an order");
  std::optional<crocuslatch::standins::Service> service;
  return crocuslatch::standins::RunHttpProgram(
      argc, argv, options, [&](const OptionValues& values) {
        service.emplace(crocuslatch::MakeQtEventLoop());
        service->Control({{"work_ms", values["work-ms"].as<qint64>()}});
        return [&service](const crocuslatch::IncomingRequest& request,
                          const crocuslatch::HttpReply& reply) {
          service->Handle(request, reply);
        };
      });
}
