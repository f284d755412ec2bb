#ifndef TESTS_PROCESS_PLATFORM_STANDIN_H_
#define TESTS_PROCESS_PLATFORM_STANDIN_H_

#include <QJsonObject>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "io/http_server.h"

// Defines stand-ins for the users' platform, inside the test program: its
// key-value store and backend servers that register there.

namespace crocuslatch::test {

// The calls of the store that `crocuslatchd front` uses, without leases.
class PlatformStore {
 public:
  PlatformStore();
  std::string address() const;
  void Put(const std::string& key, const QJsonObject& value);
  void Remove(const std::string& key);
  // While it is down, it answers every call with 500.
  void SetDown(bool is_down) { is_down_ = is_down; }

 private:
  struct Item {
    std::string value_base64;
    std::int64_t revision = 0;
  };
  struct Event {
    std::string key;
    std::int64_t revision = 0;
  };

  void OnRequest(const IncomingRequest& request, HttpReply reply);
  void Watch(const std::string& prefix,
             std::int64_t after,
             Millis left,
             HttpReply reply);
  void Commit(const QJsonObject& transaction, HttpReply reply);
  std::int64_t RevisionOf(const std::string& key) const;
  QJsonObject ItemObject(const std::string& key) const;
  void Reply(HttpReply& reply, int status, QJsonObject body) const;

  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  std::int64_t revision_ = 100;
  bool is_down_ = false;
  HttpServer server_;
};

// A server of one service. The last component of a request's path says how to
// answer: "<events>-<ms between them>" for a stream, "<ms>" for an order,
// "bytes<n>" for a response of that size.
class PlatformServer {
 public:
  PlatformServer(PlatformStore* store,
                 std::string service,
                 std::string id,
                 std::string failure_domain = "a");

  // Sets the cold time that the server states from its next heartbeat on.
  void SetCold(Millis remaining) { cold_remaining_ = remaining; }
  // Number of times that each request ran, by its id.
  const std::map<std::string, int>& runs() const { return runs_; }

 private:
  void OnRequest(const IncomingRequest& request, const HttpReply& reply);
  void BeatLater();

  PlatformStore* store_;
  const std::string service_;
  const std::string id_;
  const std::string failure_domain_;
  Millis cold_remaining_{0};
  int sequence_ = 0;
  std::map<std::string, int> runs_;
  QObject context_;
  HttpServer server_;
};

}  // namespace crocuslatch::test

#endif  // TESTS_PROCESS_PLATFORM_STANDIN_H_
