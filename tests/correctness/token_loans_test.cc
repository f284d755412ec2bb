#include "app/token_loans.h"

#include <catch2/catch.hpp>

#include "app/token_lender.h"
#include "tests/peer_host.h"
#include "tests/run_until.h"

namespace crocuslatch {
namespace {

constexpr TokenLoansOptions kOptions{.peer_timeout = Millis{300},
                                     .settlement_retry_delay = Millis{20}};
constexpr TokenLenderOptions kLenderOptions{.loan_timeout = Millis{400}};

// A host with a grant from one budget.
struct Host : PeerHost {
  Host(std::string own,
       PeerAddresses* table,
       Tokens tokens,
       const TokenLoansOptions& options = kOptions,
       std::uint64_t incarnation = 1)
      : PeerHost(std::move(own), table, incarnation), free(tokens) {
    StartLender();
    loans = std::make_unique<TokenLoans>(
        options, loop,
        TokenLoansHooks{
            .peers = [this] { return Others(); },
            .random = [] { return 0.5; },
            .request =
                [this](const std::string& host, const BodyPacker& body,
                       Millis timeout, auto on_reply) {
                  network->Request(host, body, timeout, std::move(on_reply));
                }});
    on_message = [this](const HolderId& from, const wire::Envelope& message,
                        const PeerReply& reply) {
      if (!is_responsive ||
          (drops_settlements &&
           message.body_type() == wire::Body::LoanSettlement)) {
        return;
      }
      lender->OnMessage(from, message, reply);
    };
  }

  // Also replaces the lender, like a restart of its process.
  void StartLender() {
    lender = std::make_unique<TokenLender>(
        kLenderOptions, loop,
        TokenLenderHooks{
            .reserve =
                [this](const std::string&, Tokens amount, double) {
                  const bool is_covered = amount <= free;
                  free -= is_covered ? amount : 0;
                  reserved += is_covered ? amount : 0;
                  return is_covered;
                },
            .reserve_waiting =
                [this](const std::string&, Tokens amount, Millis,
                       const auto& callback) {
                  // The ledger grants `obtainable` tokens after a while.
                  loop.after(ledger_delay, [this, amount, callback] {
                    free += std::exchange(obtainable, 0);
                    const bool is_covered = amount <= free;
                    free -= is_covered ? amount : 0;
                    reserved += is_covered ? amount : 0;
                    lent += is_covered ? amount : 0;
                    callback(is_covered ? ReserveStatus::kReserved
                                        : ReserveStatus::kInsufficient);
                  });
                },
            .settle =
                [this](const std::string&, Tokens amount, Tokens spent) {
                  reserved -= amount;
                  free += amount - spent;
                  used += spent;
                },
            .unread_time = [this] { return unread; }});
  }

  std::optional<Loan> Borrow(Tokens amount) const {
    std::optional<std::optional<Loan>> result;
    loans->Borrow("budget", amount, [&](const auto& it) { result = it; });
    REQUIRE(RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  HomeReservation BorrowFromHome(std::vector<std::string> homes,
                                 Tokens amount) const {
    std::optional<HomeReservation> result;
    loans->BorrowFromHome(std::move(homes), "budget", amount,
                          [&](const auto& it) { result = it; });
    REQUIRE(RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  Tokens free = 0;
  Tokens obtainable = 0;
  Millis ledger_delay{20};
  Tokens reserved = 0;
  // Sum of all amounts that were reserved after a wait for the ledger.
  Tokens lent = 0;
  Tokens used = 0;
  Millis unread{0};
  bool is_responsive = true;
  bool drops_settlements = false;
  std::unique_ptr<TokenLender> lender;
  std::unique_ptr<TokenLoans> loans;
};

struct Fixture {
  PeerAddresses addresses;
  Host a{"a", &addresses, 0};
  Host b{"b", &addresses, 100};
};

}  // namespace

// Guards against refusing a request while another host holds the tokens.
TEST_CASE("a host borrows tokens and the lender accounts for their use") {
  Fixture it;
  const auto loan = it.a.Borrow(60);
  REQUIRE(loan);
  CHECK(loan->host == "b");
  CHECK(it.b.reserved == 60);
  it.a.loans->Repay(*loan, 45);
  REQUIRE(RunUntil([&] { return it.b.used == 45; }));
  CHECK(it.b.free == 55);
  CHECK(it.b.reserved == 0);
  CHECK(it.a.used == 0);
}

// Guards against lending the same tokens twice.
TEST_CASE("a lender refuses an amount that it does not have") {
  Fixture it;
  CHECK(it.a.Borrow(80));
  CHECK_FALSE(it.a.Borrow(30));
  CHECK(it.b.reserved == 80);
}

// Guards against an overspend when a borrower dies after its request ran.
TEST_CASE("a loan that is never settled counts as used") {
  Fixture it;
  const auto loan = it.a.Borrow(60);
  REQUIRE(loan);
  REQUIRE(RunUntil([&] { return it.b.used == 60; }));
  // A late settlement changes nothing.
  it.a.loans->Repay(*loan, 1);
  RunFor(Millis{50});
  CHECK(it.b.used == 60);
  CHECK(it.b.free == 40);
}

// Guards against requests that wait for an unresponsive peer again and again.
TEST_CASE("an unresponsive peer is not asked again during its backoff") {
  Fixture it;
  it.b.is_responsive = false;
  CHECK_FALSE(it.a.Borrow(10));
  it.b.is_responsive = true;
  const Millis begin = it.a.loop.now();
  CHECK_FALSE(it.a.Borrow(10));
  CHECK(it.a.loop.now() - begin < kOptions.peer_timeout);
}

// Guards against a settlement by a host that is not the borrower.
TEST_CASE("only the borrower can settle its loan") {
  Fixture it;
  Host c("c", &it.addresses, 0);
  const auto loan = it.a.Borrow(60);
  REQUIRE(loan);
  c.loans->Repay(*loan, 0);
  RunFor(Millis{100});
  CHECK(it.b.reserved == 60);
}

// Guards against an exchange with the store for each host that sees a request
// of an account.
TEST_CASE("a home host obtains tokens from the ledger for another host") {
  Fixture it;
  it.b.obtainable = 500;
  const auto first = it.a.BorrowFromHome({"b"}, 400);
  REQUIRE(first.loan);
  CHECK(it.b.reserved == 400);
  const auto second = it.a.BorrowFromHome({"b"}, 400);
  CHECK_FALSE(second.loan);
  CHECK(second.is_exhausted);
  it.a.loans->Repay(*first.loan, 100);
  CHECK(RunUntil([&] { return it.b.used == 100; }));
}

// Guards against requests that fail because the home host is dead or cut off.
TEST_CASE("a host that reaches no home reserves for itself") {
  Fixture it;
  it.b.is_responsive = false;
  const auto none = it.a.BorrowFromHome({"b"}, 10);
  CHECK_FALSE(none.loan);
  CHECK_FALSE(none.is_exhausted);
  // The home is left out for a while.
  const Millis begin = it.a.loop.now();
  CHECK_FALSE(it.a.BorrowFromHome({"b"}, 10).loan);
  CHECK(it.a.loop.now() - begin < TokenLoansOptions{}.home_timeout);
}

// Guards against requests that wait for a home that was cut off, and against
// tokens that stay reserved at the slower of two homes.
TEST_CASE("the next home is asked if the first does not reply soon") {
  Fixture it;
  Host c("c", &it.addresses, 100);
  it.b.is_responsive = false;
  const Millis begin = it.a.loop.now();
  const auto got = it.a.BorrowFromHome({"b", "c"}, 60);
  REQUIRE(got.loan);
  CHECK(got.loan->host == "c");
  CHECK(it.a.loop.now() - begin < TokenLoansOptions{}.home_timeout);
  // The backoff doubles while the home stays silent.
  RunFor(TokenLoansOptions{}.home_timeout);
  CHECK(it.a.BorrowFromHome({"b"}, 10).loan == std::nullopt);
}

// Guards against tokens that stay charged because the reply of a slow home came
// after the borrower had gone on.
TEST_CASE("a loan whose reply is late is settled as unused") {
  Fixture it;
  it.b.ledger_delay = TokenLoansOptions{}.home_timeout + Millis{50};
  CHECK_FALSE(it.a.BorrowFromHome({"b"}, 60).loan);
  // The reservation itself may last less than the time between two checks.
  REQUIRE(RunUntil([&] { return it.b.lent == 60; }));
  REQUIRE(RunUntil([&] { return it.b.reserved == 0; }, Millis{200}));
  CHECK(it.b.used == 0);
  CHECK(it.b.free == 100);
}

// Guards against tokens that stay charged because the reply finds no borrower
// (review/4): the home was frozen, and the borrower has closed its connection.
TEST_CASE("a loan whose reply cannot be sent is free again") {
  PeerAddresses addresses;
  TokenLoansOptions options = kOptions;
  options.home_timeout = Millis{50};
  options.late_reply_timeout = Millis{100};
  Host a("a", &addresses, 0, options);
  Host b("b", &addresses, 100);
  b.ledger_delay = Millis{250};
  b.drops_settlements = true;
  CHECK_FALSE(a.BorrowFromHome({"b"}, 60).loan);
  REQUIRE(RunUntil([&] { return b.lent == 60; }));
  RunFor(kLenderOptions.loan_timeout + Millis{100});
  CHECK(b.reserved == 0);
  CHECK(b.used == 0);
  CHECK(b.free == 100);
}

// Guards against tokens that stay charged because a peer replied after the
// borrower had asked the next one.
TEST_CASE("a loan that was given up is free again") {
  PeerAddresses addresses;
  TokenLoansOptions options = kOptions;
  options.peer_timeout = Millis{0};
  Host a("a", &addresses, 0, options);
  Host b("b", &addresses, 100);
  CHECK_FALSE(a.Borrow(60));
  RunFor(kLenderOptions.loan_timeout + Millis{200});
  CHECK(b.reserved == 0);
  CHECK(b.used == 0);
  CHECK(b.free == 100);
}

// Guards against tokens that stay charged because a settlement was lost.
TEST_CASE("a settlement is repeated until the lender confirms it") {
  PeerAddresses addresses;
  TokenLoansOptions options = kOptions;
  options.late_reply_timeout = Millis{100};
  Host a("a", &addresses, 0, options);
  Host b("b", &addresses, 100);
  const auto loan = a.Borrow(60);
  REQUIRE(loan);
  b.drops_settlements = true;
  a.loans->Repay(*loan, 45);
  RunFor(Millis{50});
  b.drops_settlements = false;
  REQUIRE(RunUntil([&] { return b.used > 0; }));
  CHECK(b.used == 45);
  CHECK(b.reserved == 0);
}

// Guards against reservations for borrowers that have gone on while this host
// was frozen: they would refuse the requests of others.
TEST_CASE("a lender lends nothing for a request that was unread too long") {
  Fixture it;
  it.b.unread = TokenLoansOptions{}.home_timeout;
  CHECK_FALSE(it.a.BorrowFromHome({"b"}, 60).loan);
  CHECK(it.b.lent == 0);
  it.b.unread -= Millis{1};
  CHECK(it.a.BorrowFromHome({"b"}, 60).loan);
}

// Guards against loans without a borrower: the word that a loan was given up
// may arrive on a new connection, before the request on the old one.
TEST_CASE("a request that arrives after its loan was given up gets nothing") {
  const bool is_waiting = GENERATE(true, false);
  Fixture it;
  const auto deliver = [&](const BodyPacker& pack) {
    flatbuffers::FlatBufferBuilder builder;
    const auto [type, body] = pack(builder);
    builder.Finish(wire::CreateEnvelope(builder, 1, type, body));
    it.b.lender->OnMessage(
        {"a", 1},
        *flatbuffers::GetRoot<wire::Envelope>(builder.GetBufferPointer()),
        [](const BodyPacker&) { return true; });
  };
  constexpr std::uint64_t kNumber = 7;
  const auto request = [](flatbuffers::FlatBufferBuilder& builder) {
    return PackedBody{
        wire::Body::LoanRequest,
        wire::CreateLoanRequestDirect(builder, "budget", 60, 250, kNumber, 350)
            .Union()};
  };
  const auto give_up = [](flatbuffers::FlatBufferBuilder& builder) {
    return PackedBody{
        wire::Body::LoanSettlement,
        wire::CreateLoanSettlement(builder, 0, 0, kNumber).Union()};
  };
  if (is_waiting) {
    deliver(request);
    deliver(give_up);
  } else {
    deliver(give_up);
    deliver(request);
  }
  RunFor(Millis{100});
  CHECK(it.b.reserved == 0);
  CHECK(it.b.used == 0);
  CHECK(it.b.free == 100);
}

// Guards against the settlement of a loan of the lender's previous process that
// ends a loan of the new one (review/1): tokens in use were granted again.
TEST_CASE("a settlement after a restart of the lender ends no other loan") {
  Fixture it;
  const auto old_loan = it.a.Borrow(10);
  REQUIRE(old_loan);
  it.b.StartLender();
  const auto loan = it.a.Borrow(60);
  REQUIRE(loan);
  it.a.loans->Repay(*old_loan, 5);
  RunFor(Millis{50});
  CHECK(it.b.reserved == 70);
  it.a.loans->Repay(*loan, 60);
  REQUIRE(RunUntil([&] { return it.b.used > 0; }, Millis{200}));
  CHECK(it.b.used == 60);
}

// Guards against the same after a restart of the borrower, whose new process
// numbers its loans from the beginning.
TEST_CASE("a settlement after a restart of the borrower ends no other loan") {
  PeerAddresses addresses;
  Host b("b", &addresses, 100);
  auto a = std::make_unique<Host>("a", &addresses, 0);
  REQUIRE(a->Borrow(60));
  a = std::make_unique<Host>("a", &addresses, 0, kOptions, 2);
  const auto loan = a->Borrow(20);
  REQUIRE(loan);
  CHECK(b.reserved == 80);
  a->loans->Repay(*loan, 5);
  REQUIRE(RunUntil([&] { return b.used > 0; }, Millis{200}));
  CHECK(b.used == 5);
  CHECK(b.reserved == 60);
}

}  // namespace crocuslatch
