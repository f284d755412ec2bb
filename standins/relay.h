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

// Defines a TCP relay that injects network faults.

namespace crocuslatch::standins {

struct RelayFaults {
  // Aborts each new connection.
  bool drop_new = false;
  // Delay of all data, in each direction.
  std::int64_t delay_ms = 0;
  // Directions that are forwarded: "both", "to_target", "to_client" or "none".
  std::string forward = "both";
};

// Must outlive the tasks that it posts to its event loop.
class Relay {
 public:
  // Throws UserError "listen_failed".
  Relay(EventLoop loop, const Endpoint& listen, const Endpoint& target);

  std::uint16_t port() const;
  // Applies a /control body: RelayFaults fields, "target", "silence" (stops
  // forwarding on the open connections) and "cut" (aborts them).
  void Control(const QJsonObject& changes);
  QJsonObject Stats() const;

 private:
  struct Link;
  using LinkPtr = std::shared_ptr<Link>;

  void AcceptAll();
  void Open(QTcpSocket* client);
  void Connect(const LinkPtr& link);
  // Pump reads what is available in one direction; Deliver writes what is due.
  void Pump(const LinkPtr& link, bool to_target);
  void Deliver(const LinkPtr& link, bool to_target);
  void Close(const LinkPtr& link, bool by_target);
  void AbortAll();
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
