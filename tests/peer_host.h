#ifndef TESTS_PEER_HOST_H_
#define TESTS_PEER_HOST_H_

#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/event_loop.h"
#include "src/peer_network.h"

// Defines a test host with a peer network; several of them reach each other on
// loopback.

namespace crocuslatch {

using PeerAddresses = std::map<std::string, std::string>;

struct PeerHost {
  using OnMessage = std::function<void(const HolderId& from,
                                       const wire::Envelope& message,
                                       const PeerReply& reply)>;

  PeerHost(std::string own, PeerAddresses* table, std::uint64_t incarnation = 1)
      : name(std::move(own)), addresses(table) {
    PeerNetworkHooks hooks;
    hooks.address_of = [this](const std::string& it) {
      const auto found = addresses->find(it);
      return found == addresses->end() ? "" : found->second;
    };
    hooks.on_message =
        [this](const HolderId& from, const wire::Envelope& message,
               const auto& reply) { on_message(from, message, reply); };
    network = std::make_unique<PeerNetwork>(
        PeerNetworkOptions{.secret = "a secret",
                           .own = {{name, incarnation}, 1},
                           .connect_timeout = Millis{300}},
        hooks);
    (*addresses)[name] = fmt::format("127.0.0.1:{}", network->port());
  }

  std::vector<std::string> Others() const {
    std::vector<std::string> others;
    for (const auto& [it, address] : *addresses) {
      if (it != name) {
        others.push_back(it);
      }
    }
    return others;
  }

  std::string name;
  PeerAddresses* addresses;
  EventLoop loop = MakeQtEventLoop();
  OnMessage on_message;
  std::unique_ptr<PeerNetwork> network;
};

}  // namespace crocuslatch

#endif  // TESTS_PEER_HOST_H_
