#include "app/token_loans.h"

#include <algorithm>
#include <map>
#include <utility>

#include "app/peer_order.h"
#include "src/log.h"

namespace crocuslatch {
namespace {

BodyPacker PackLoanRequest(const std::string& budget, Tokens amount) {
  return [budget, amount](flatbuffers::FlatBufferBuilder& builder) {
    return PackedBody{
        wire::Body::LoanRequest,
        wire::CreateLoanRequestDirect(builder, budget.c_str(), amount).Union()};
  };
}

BodyPacker PackLoanReply(std::uint64_t id) {
  return [id](flatbuffers::FlatBufferBuilder& builder) {
    return PackedBody{wire::Body::LoanReply,
                      wire::CreateLoanReply(builder, id).Union()};
  };
}

BodyPacker PackSettlement(std::uint64_t id, Tokens used) {
  return [id, used](flatbuffers::FlatBufferBuilder& builder) {
    return PackedBody{wire::Body::LoanSettlement,
                      wire::CreateLoanSettlement(builder, id, used).Union()};
  };
}

}  // namespace

struct TokenLoans::Core : std::enable_shared_from_this<TokenLoans::Core> {
  struct Lent {
    std::string host;
    std::string budget;
    Tokens amount = 0;
  };
  using Callback = std::function<void(std::optional<Loan>)>;

  TokenLoansOptions options;
  EventLoop loop;
  PeerNetwork* network = nullptr;
  TokenLoansHooks hooks;
  std::map<std::uint64_t, Lent> lent;
  std::uint64_t last_id = 0;
  std::map<std::string, Millis> backoff_until;

  std::vector<std::string> PeersToAsk() const {
    return OrderPeers({.peers = hooks.peers(),
                       .backoff_until = backoff_until,
                       .now = loop.now(),
                       .random = hooks.random,
                       .max_peers = options.max_peers});
  }

  void Ask(std::vector<std::string> peers,
           const std::string& budget,
           Tokens amount,
           const Callback& callback) {
    if (peers.empty()) {
      callback(std::nullopt);
      return;
    }
    const auto host = std::move(peers.back());
    peers.pop_back();
    network->Request(
        host, PackLoanRequest(budget, amount), options.peer_timeout,
        [self = weak_from_this(), peers = std::move(peers), host, budget,
         amount, callback](const wire::Envelope* message) {
          const auto core = self.lock();
          if (!core) {
            return;
          }
          const auto* reply =
              message == nullptr ? nullptr : message->body_as_LoanReply();
          if (reply == nullptr) {
            core->backoff_until[host] =
                core->loop.now() + core->options.peer_backoff;
          } else if (reply->loan() != 0) {
            callback(Loan{host, reply->loan(), amount});
            return;
          }
          core->Ask(peers, budget, amount, callback);
        });
  }

  void OnRequest(const std::string& host,
                 const wire::LoanRequest& request,
                 const std::function<void(const BodyPacker&)>& reply) {
    const auto budget = request.budget()->str();
    const Tokens amount = request.amount();
    if (amount <= 0 ||
        !hooks.reserve(budget, amount, options.retained_fraction)) {
      reply(PackLoanReply(0));
      return;
    }
    const auto id = ++last_id;
    lent.emplace(id, Lent{host, budget, amount});
    loop.after(options.loan_timeout, [self = weak_from_this(), id, host] {
      if (const auto core = self.lock()) {
        // The borrower may have died, and the request may have run.
        core->End(id, host, std::nullopt);
      }
    });
    LogLine(LogEvent::kTokensLent)
        .Add("host", host)
        .Add("budget", budget)
        .Add("tokens", amount)
        .Add("loan", id);
    reply(PackLoanReply(id));
  }

  // Without a figure the whole loan counts as used.
  void End(std::uint64_t id,
           const std::string& host,
           std::optional<Tokens> used) {
    const auto it = lent.find(id);
    if (it == lent.end() || it->second.host != host) {
      return;
    }
    const Lent loan = it->second;
    lent.erase(it);
    hooks.settle(
        loan.budget, loan.amount,
        std::clamp<Tokens>(used.value_or(loan.amount), 0, loan.amount));
  }
};

TokenLoans::TokenLoans(TokenLoansOptions options,
                       EventLoop loop,
                       PeerNetwork* network,
                       TokenLoansHooks hooks)
    : core_(std::make_shared<Core>()) {
  core_->options = options;
  core_->loop = std::move(loop);
  core_->network = network;
  core_->hooks = std::move(hooks);
}

TokenLoans::~TokenLoans() = default;

void TokenLoans::Borrow(
    const std::string& budget,
    Tokens amount,
    const std::function<void(std::optional<Loan>)>& callback) {
  core_->Ask(core_->PeersToAsk(), budget, amount, callback);
}

void TokenLoans::Repay(const Loan& loan, Tokens used) {
  core_->network->Send(loan.host, PackSettlement(loan.id, used));
}

bool TokenLoans::OnMessage(
    const std::string& host,
    const wire::Envelope& message,
    const std::function<void(const BodyPacker&)>& reply) {
  if (const auto* request = message.body_as_LoanRequest()) {
    core_->OnRequest(host, *request, reply);
    return true;
  }
  if (const auto* settlement = message.body_as_LoanSettlement()) {
    core_->End(settlement->loan(), host, settlement->used());
    return true;
  }
  return false;
}

}  // namespace crocuslatch
