#include "app/token_loans.h"

#include <catch2/catch.hpp>

#include "tests/peer_host.h"
#include "tests/run_until.h"

namespace crocuslatch {
namespace {

constexpr TokenLoansOptions kOptions{.peer_timeout = Millis{300},
                                     .loan_timeout = Millis{400}};

// A host with one budget.
struct Host : PeerHost {
  Host(std::string own, PeerAddresses* table, Tokens tokens)
      : PeerHost(std::move(own), table), free(tokens) {
    loans = std::make_unique<TokenLoans>(
        kOptions, loop, network.get(),
        TokenLoansHooks{
            .peers = [this] { return Others(); },
            .random = [] { return 0.5; },
            .reserve =
                [this](const std::string&, Tokens amount, double) {
                  const bool covers = amount <= free;
                  free -= covers ? amount : 0;
                  reserved += covers ? amount : 0;
                  return covers;
                },
            .settle =
                [this](const std::string&, Tokens amount, Tokens spent) {
                  reserved -= amount;
                  free += amount - spent;
                  used += spent;
                }});
    on_message = [this](const std::string& from, const wire::Envelope& message,
                        const auto& reply) {
      if (answers) {
        loans->OnMessage(from, message, reply);
      }
    };
  }

  std::optional<Loan> Borrow(Tokens amount) const {
    std::optional<std::optional<Loan>> result;
    loans->Borrow("budget", amount, [&](const auto& it) { result = it; });
    REQUIRE(RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  Tokens free = 0;
  Tokens reserved = 0;
  Tokens used = 0;
  bool answers = true;
  std::unique_ptr<TokenLoans> loans;
};

struct Fixture {
  PeerAddresses addresses;
  Host a{"a", &addresses, 0};
  Host b{"b", &addresses, 100};
};

}  // namespace

// Guards against a refusal while another host holds the tokens.
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
TEST_CASE("a lender refuses what it does not have") {
  Fixture it;
  CHECK(it.a.Borrow(80));
  CHECK_FALSE(it.a.Borrow(30));
  CHECK(it.b.reserved == 80);
}

// Guards against an overspend by a borrower that dies after its request ran.
TEST_CASE("a loan whose end is never told counts as used") {
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

// Guards against requests that wait for a silent peer again and again.
TEST_CASE("a silent peer is not asked again for a while") {
  Fixture it;
  it.b.answers = false;
  CHECK_FALSE(it.a.Borrow(10));
  it.b.answers = true;
  const Millis begin = it.a.loop.now();
  CHECK_FALSE(it.a.Borrow(10));
  CHECK(it.a.loop.now() - begin < kOptions.peer_timeout);
}

// Guards against a settlement by a host that is not the borrower.
TEST_CASE("only the borrower settles its loan") {
  Fixture it;
  Host c("c", &it.addresses, 0);
  const auto loan = it.a.Borrow(60);
  REQUIRE(loan);
  c.loans->Repay(*loan, 0);
  RunFor(Millis{100});
  CHECK(it.b.reserved == 60);
}

}  // namespace crocuslatch
