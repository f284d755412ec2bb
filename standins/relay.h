#ifndef STANDINS_RELAY_H_
#define STANDINS_RELAY_H_

#include <QJsonObject>
#include <QTcpServer>
#include <QTcpSocket>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "src/event_loop.h"
#include "standins/standin_program.h"

// Defines the TCP relay with network faults.

namespace crocuslatch::standins {

struct RelayFaults {
  // Closes each new connection.
  bool drop_new = false;
  std::int64_t delay_ms = 0;
  // "both", "to_target", "to_client" or "none".
  std::string forward = "both";
};

// Must outlive its event loop's tasks, as an object of main does.
class Relay {
 public:
  // Throws UserError "listen_failed".
  Relay(EventLoop loop, const Endpoint& listen, const Endpoint& target);

  std::uint16_t port() const;
  void Control(const QJsonObject& changes);
  QJsonObject Stats() const;

 private:
  struct Link;
  using LinkPtr = std::shared_ptr<Link>;

  void AcceptAll();
  void Open(QTcpSocket* client);
  void Connect(const LinkPtr& link);
  void Pump(const LinkPtr& link, bool to_target);
  void Deliver(const LinkPtr& link, bool to_target);
  void Close(const LinkPtr& link, bool by_target);
  void CutAll();
  bool Forwards(const Link& link, bool to_target) const;

  EventLoop loop_;
  Endpoint target_;
  RelayFaults faults_;
  QTcpServer server_;
  std::vector<LinkPtr> links_;
  std::int64_t accepted_ = 0;
  std::int64_t dropped_ = 0;
  std::int64_t bytes_ = 0;
};

}  // namespace crocuslatch::standins

#endif  // STANDINS_RELAY_H_
