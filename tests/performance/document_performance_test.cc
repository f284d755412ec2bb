#include <fmt/format.h>

#include <QByteArray>
#include <catch2/catch.hpp>
#include <chrono>

#include "src/document.h"

namespace crocuslatch {
namespace {

constexpr int kBudgets = 36000;
constexpr int kClientAccounts = 320;
constexpr int kBackendServers = 700;
// A document must be in force everywhere within 7 s, of which 2 s may pass
// before a router reads the head. A check of 2 s leaves room for both.
constexpr Millis kParseBound{2000};
constexpr std::size_t kMaxStoreValueBytes = 1'000'000;

// A document of the size planned for two years from now (docs/design.md section
// 1).
Document MakeLargeDocument() {
  Document out;
  out.fleet = {"large", 64};
  out.ranks = {{"urgent"}, {"normal"}, {"bulk"}};
  for (int i = 0; i < kClientAccounts; ++i) {
    out.client_accounts.push_back({fmt::format("account-{}", i), 1, "normal"});
  }
  for (int i = 0; i < kBudgets; ++i) {
    out.budgets.push_back({fmt::format("budget-{}", i),
                           fmt::format("account-{}", i % kClientAccounts),
                           Tokens{i} * 7919});
  }
  for (int i = 0; i < kClientAccounts; ++i) {
    out.api_keys.push_back({fmt::format("{:064x}", i * 2654435761U),
                            fmt::format("account-{}", i),
                            fmt::format("budget-{}", i)});
  }
  out.models = {{"m1"}, {"m2"}, {"m3"}, {"m4"}};
  for (int i = 0; i < kBackendServers; ++i) {
    out.backend_servers.push_back(
        {fmt::format("engine-{}", i),
         fmt::format("10.0.{}.{}:80", i / 250, i % 250),
         fmt::format("domain-{}", i % 8), fmt::format("m{}", i % 4 + 1)});
  }
  return out;
}

Millis Measure(const std::function<void()>& run) {
  const auto start = std::chrono::steady_clock::now();
  run();
  return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() -
                                            start);
}

}  // namespace

// Guards against quadratic checks, which would exceed the 7 s limit at the
// planned size, and against a document that no longer fits into one store
// value.
TEST_CASE("a document of 36,000 budgets is checked within 2 s") {
  const auto document = MakeLargeDocument();
  const auto text = FormatDocument(document);
  Document read;
  const auto parsed = Measure([&] { read = ParseDocument(text); });
  const auto compared = Measure([&] { CheckReplacement(read, document); });
  const auto bytes = qCompress(QByteArray::fromStdString(text)).size();
  CHECK(read == document);
  CHECK(parsed < kParseBound);
  CHECK(compared < kParseBound);
  CHECK(static_cast<std::size_t>(bytes) < kMaxStoreValueBytes);
  WARN(
      fmt::format("{} bytes, {} compressed: parsed in {} ms, compared in {} "
                  "ms",
                  text.size(), bytes, parsed.count(), compared.count()));
}

}  // namespace crocuslatch
