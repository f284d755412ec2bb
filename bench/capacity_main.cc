#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <ctime>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/backend_table.h"
#include "src/caller_api.h"
#include "src/config_keeper.h"
#include "src/document.h"
#include "src/grant_table.h"
#include "src/host_list.h"
#include "src/membership.h"
#include "src/peer_link.h"
#include "src/scheduler.h"
#include "src/sha256.h"
#include "src/shard_codec.h"
#include "src/shard_writer.h"
#include "src/stored_document.h"
#include "tests/fake_loop.h"

// Measures how the cost of each part of the control plane grows with the
// size of the fleet, and fits a line to it. docs/CAPACITY.md uses the slopes.
// All times are processor time of this process.

namespace crocuslatch {
namespace {

constexpr int kClientAccounts = 320;
constexpr int kBackendServers = 700;
constexpr int kRouters = 370;
constexpr int kTargetBudgets = 36000;
constexpr std::uint32_t kLedgerShards = 64;
// 1,200 requests a second over 370 routers.
constexpr double kRequestsPerSecond = 1200.0 / kRouters;
// The platform store answers in milliseconds.
constexpr Millis kStoreLatency{5};
// Longer than the 30 s after which an idle grant is returned.
constexpr Millis kLedgerWarmUp{35000};
constexpr Millis kLedgerSpan{20000};
// A measured block takes at least this long, so that the clock's
// resolution does not matter.
constexpr double kLeastBlockUs = 20000;
// The least of several blocks is the one that other processes disturbed
// least.
constexpr int kBlocks = 3;

struct Point {
  double x = 0;
  double y = 0;
};

// One measured quantity at several sizes.
struct Series {
  std::string name;
  std::string x_unit;
  std::string y_unit;
  std::vector<Point> points;
};

struct Fit {
  double slope = 0;
  double intercept = 0;
  // Largest distance of a point from the line, as part of the largest y.
  double largest_error = 0;
};

Fit FitLine(const std::vector<Point>& points) {
  const auto n = static_cast<double>(points.size());
  const auto sum = [&](const std::function<double(const Point&)>& term) {
    return std::accumulate(
        points.begin(), points.end(), 0.0,
        [&](double total, const Point& it) { return total + term(it); });
  };
  const double mean_x = sum([](const Point& it) { return it.x; }) / n;
  const double mean_y = sum([](const Point& it) { return it.y; }) / n;
  const double xy =
      sum([&](const Point& it) { return (it.x - mean_x) * (it.y - mean_y); });
  const double xx =
      sum([&](const Point& it) { return (it.x - mean_x) * (it.x - mean_x); });
  Fit fit;
  fit.slope = xx > 0 ? xy / xx : 0;
  fit.intercept = mean_y - fit.slope * mean_x;
  const double largest = std::ranges::max(points, {}, &Point::y).y;
  for (const auto& it : points) {
    const double error = std::abs(it.y - fit.intercept - fit.slope * it.x);
    fit.largest_error =
        std::max(fit.largest_error, largest > 0 ? error / largest : 0);
  }
  return fit;
}

double CpuUs() {
  timespec it{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &it);
  return static_cast<double>(it.tv_sec) * 1e6 +
         static_cast<double>(it.tv_nsec) / 1e3;
}

// Processor time of one run in microseconds.
double MeasureUs(const std::function<void()>& run) {
  double best = HUGE_VAL;
  for (int block = 0; block < kBlocks; ++block) {
    const double start = CpuUs();
    int runs = 0;
    double passed = 0;
    do {
      run();
      ++runs;
      passed = CpuUs() - start;
    } while (passed < kLeastBlockUs);
    best = std::min(best, passed / runs);
  }
  return best;
}

// Keeps the compiler from dropping a computation.
template <typename T>
void Use(const T& value) {
  asm volatile("" : : "g"(&value) : "memory");
}

double HeapBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

// A line such as "VmHWM: 1234 kB" of /proc/self/status, in bytes.
double StatusBytes(const std::string& key) {
  std::ifstream file("/proc/self/status");
  for (std::string word; file >> word;) {
    if (word == key) {
      double kilobytes = 0;
      file >> kilobytes;
      return kilobytes * 1024;
    }
  }
  return 0;
}

// Highest resident memory while `run` runs, above that before it.
double PeakBytes(const std::function<void()>& run) {
  malloc_trim(0);
  std::ofstream("/proc/self/clear_refs") << 5;
  const double before = StatusBytes("VmRSS:");
  run();
  return StatusBytes("VmHWM:") - before;
}

class Report {
 public:
  Series& Add(std::string name, std::string x_unit, std::string y_unit) {
    series_.push_back(
        {std::move(name), std::move(x_unit), std::move(y_unit), {}});
    return series_.back();
  }

  void Print() const {
    std::string json;
    for (const auto& it : series_) {
      const auto fit = FitLine(it.points);
      std::vector<std::string> shown;
      std::vector<std::string> encoded;
      for (const auto& point : it.points) {
        shown.push_back(fmt::format("{:g}: {:.6g}", point.x, point.y));
        encoded.push_back(fmt::format("[{:g},{:.6g}]", point.x, point.y));
      }
      fmt::print(
          "{:<44} {}\n    {}  |  slope {:.4g}, at 0 {:.4g}, "
          "largest error {:.1f}%\n",
          it.name, it.y_unit + " by " + it.x_unit, fmt::join(shown, "  "),
          fit.slope, fit.intercept, 100 * fit.largest_error);
      json += fmt::format(
          R"({}{{"name":"{}","x":"{}","y":"{}","points":[{}],"slope":{:.6g},)"
          R"("intercept":{:.6g},"largest_error":{:.4f}}})",
          json.empty() ? "" : ",\n", it.name, it.x_unit, it.y_unit,
          fmt::join(encoded, ","), fit.slope, fit.intercept, fit.largest_error);
    }
    fmt::print("\n[{}]\n", json);
  }

 private:
  // A deque keeps the references that Add returned.
  std::deque<Series> series_;
};

std::string AccountName(int i) {
  return fmt::format("account-{}", i % kClientAccounts);
}

// Names have random digits, since names that count up compress better than
// an operator's names do.
std::string BudgetName(int i) {
  return fmt::format("{}-project-{:04x}-{}", AccountName(i),
                     StableHash(std::to_string(i)) & 0xFFFF, i);
}

std::string KeyText(int i) {
  return fmt::format("key-{}", i);
}

std::vector<BackendServerConfig> MakeBackendServers(int count) {
  std::vector<BackendServerConfig> result;
  for (int i = 0; i < count; ++i) {
    BackendServerConfig it;
    it.name = fmt::format("engine-{}", i);
    it.address = fmt::format("10.0.{}.{}:8000", i / 250, i % 250);
    it.failure_domain = fmt::format("domain-{}", i % 8);
    it.model = fmt::format("m{}", i % 4 + 1);
    result.push_back(it);
  }
  return result;
}

Document MakeDocument(int budgets, int api_keys) {
  Document out;
  out.fleet = {"capacity", kLedgerShards};
  out.ranks = {{"urgent"}, {"normal"}, {"bulk"}};
  for (int i = 0; i < kClientAccounts; ++i) {
    out.client_accounts.push_back({AccountName(i), 1, "normal"});
  }
  for (int i = 0; i < budgets; ++i) {
    out.budgets.push_back(
        {BudgetName(i), AccountName(i), 1000000 + Tokens{i} * 7919});
  }
  for (int i = 0; i < api_keys; ++i) {
    out.api_keys.push_back(
        {Sha256Hex(KeyText(i)), AccountName(i), BudgetName(i % budgets)});
  }
  out.models = {{"m1"}, {"m2"}, {"m3"}, {"m4"}};
  out.backend_servers = MakeBackendServers(kBackendServers);
  return out;
}

std::vector<std::string> RouterNames(int count) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    names.push_back(fmt::format("router-{}", i));
  }
  std::ranges::sort(names);
  return names;
}

void MeasureDocuments(Report& report) {
  const std::string x = "budget";
  auto& text_bytes = report.Add("document: TOML", x, "bytes");
  auto& stored_bytes = report.Add("document: stored form", x, "bytes");
  auto& encode = report.Add("document: compress", x, "us");
  auto& decode = report.Add("document: uncompress and hash", x, "us");
  auto& parse = report.Add("document: parse and check", x, "us");
  auto& replace = report.Add("document: check replacement", x, "us");
  auto& heap = report.Add("document: memory in force", x, "bytes");
  auto& peak = report.Add("document: peak memory of a parse", x, "bytes");
  for (const int n : {1000, 9000, 36000}) {
    const auto document = MakeDocument(n, kClientAccounts);
    StoredDocument stored{1, "", MakeNonce(), FormatDocument(document)};
    stored.sha256 = Sha256Hex(stored.toml);
    const auto encoded = EncodeStoredDocument(stored);
    const auto add = [n](Series& series, double y) {
      series.points.push_back({static_cast<double>(n), y});
    };
    add(text_bytes, static_cast<double>(stored.toml.size()));
    add(stored_bytes, static_cast<double>(encoded.size()));
    add(encode, MeasureUs([&] { Use(EncodeStoredDocument(stored)); }));
    add(decode, MeasureUs([&] { Use(DecodeStoredDocument(encoded)); }));
    add(peak, PeakBytes([&] { Use(ParseDocument(stored.toml)); }));
    add(parse, MeasureUs([&] { Use(ParseDocument(stored.toml)); }));
    add(replace, MeasureUs([&] { Use(CheckReplacement(document, document)); }));
    const double before = HeapBytes();
    const DocumentInForce in_force{1, stored.sha256, stored.toml,
                                   ParseDocument(stored.toml)};
    const std::string kept = encoded;
    add(heap, HeapBytes() - before);
    Use(in_force);
    Use(kept);
  }
  // A key for each budget instead of one for each client account.
  auto& many_keys =
      report.Add("document: stored form, a key a budget", x, "bytes");
  for (const int n : {1000, 9000, 36000}) {
    const StoredDocument stored{1, std::string(64, '0'), MakeNonce(),
                                FormatDocument(MakeDocument(n, n))};
    many_keys.points.push_back(
        {static_cast<double>(n),
         static_cast<double>(EncodeStoredDocument(stored).size())});
  }
}

IncomingRequest MakeRequest(int key, const std::string& budget) {
  IncomingRequest request{.method = "POST", .path = "/v1/completions"};
  request.headers = {{"Authorization", "Bearer " + KeyText(key)},
                     {"X-Budget", budget}};
  return request;
}

// The last entry is the worst case of a linear search.
void MeasureLookups(Report& report) {
  auto& by_budget = report.Add("lookup: caller's headers", "budget", "us");
  auto& name_only = report.Add("lookup: last budget by name", "budget", "us");
  for (const int n : {1000, 9000, 36000}) {
    const auto document =
        std::make_shared<const Document>(MakeDocument(n, kClientAccounts));
    // The last budget of client account 0, which key 0 belongs to.
    const int last = (n - 1) / kClientAccounts * kClientAccounts;
    const auto request = MakeRequest(0, BudgetName(last));
    by_budget.points.push_back(
        {static_cast<double>(n), MeasureUs([&] {
           Use(ReadRequestMetadata(request, document, Millis{0}));
         })});
    const auto name = BudgetName(n - 1);
    name_only.points.push_back({static_cast<double>(n), MeasureUs([&] {
                                  Use(FindByName(document->budgets, name));
                                })});
  }
  auto& by_key = report.Add("lookup: last API key", "API key", "us");
  for (const int n : {320, 3200, 36000}) {
    const auto document =
        std::make_shared<const Document>(MakeDocument(kClientAccounts, n));
    const auto request =
        MakeRequest(n - 1, BudgetName((n - 1) % kClientAccounts));
    by_key.points.push_back(
        {static_cast<double>(n), MeasureUs([&] {
           Use(ReadRequestMetadata(request, document, Millis{0}));
         })});
  }
}

struct ShardSize {
  int budgets = 0;
  // Holders with a grant record in each budget.
  int holders = 0;
  int bills = 0;
  int claims = 0;
  int body_bytes = 200;
};

HolderId MakeHolder(int i) {
  return {fmt::format("router-{}", i), StableHash(std::to_string(i))};
}

RequestKey KeyOf(std::string_view kind, int i) {
  return MakeRequestKey({kind, std::to_string(i)});
}

ShardState MakeShard(const ShardSize& size) {
  ShardState state;
  for (int i = 0; i < size.budgets; ++i) {
    auto& budget = state.budgets[BudgetName(i)];
    budget = {.limit = 1000000000, .billed = 5000000};
    for (int k = 0; k < size.holders; ++k) {
      budget.grants[MakeHolder(k)] = {2000, 17, 2000, false, 1700000000000};
    }
  }
  for (int i = 0; i < size.bills; ++i) {
    state.bills[KeyOf("bill", i)] = {700, 1700000000000};
  }
  for (int i = 0; i < size.claims; ++i) {
    ClaimRecord record;
    record.digest = KeyOf("digest", i);
    record.budget = BudgetName(i % std::max(size.budgets, 1));
    record.cost = 50;
    record.attempt = StableHash(std::to_string(i));
    record.holder = MakeHolder(i % kRouters);
    record.state = ClaimState::kFinished;
    record.http_status = 200;
    record.body = std::string(static_cast<std::size_t>(size.body_bytes), 'x');
    record.changed_ms = 1700000000000;
    state.claims[KeyOf("claim", i)] = record;
  }
  return state;
}

// A store in memory that answers at once.
struct MemoryStore {
  FakeLoop* loop = nullptr;
  std::string value;
  std::uint64_t version = 0;

  Store Hooks() {
    Store hooks;
    hooks.get = [this](const std::string&, const StoreCallback& callback) {
      loop->Hooks().post([this, callback] {
        callback({StoreStatus::kOk, version, value});
      });
    };
    hooks.put = [this](const std::string&, const std::string& next,
                       std::uint64_t, const StoreCallback& callback) {
      value = next;
      ++version;
      loop->Hooks().post([this, callback] {
        callback({.status = StoreStatus::kOk, .version = version});
      });
    };
    return hooks;
  }
};

// Processor time of one exchange from the queue to the stored value.
double MeasureWriteUs(const ShardSize& size) {
  FakeLoop loop;
  MemoryStore store{&loop, EncodeShardState(MakeShard(size)), 1};
  auto options = MakeShardWriterOptions();
  options.wall_ms = [] { return std::int64_t{1700000000000}; };
  const auto writer = MakeShardWriter(options, store.Hooks(), loop.Hooks());
  std::uint64_t sequence = 0;
  const HolderId holder{"writer-test", 1};
  const auto write = [&] {
    ++sequence;
    bool done = false;
    writer(0,
           {ExchangeCommand{BudgetName(0), holder, sequence, false, {}, 0, 10}},
           Millis{1000}, [&](LedgerStatus, const auto&) { done = true; });
    loop.RunUntil([&] { return done; }, Millis{1000});
    CROCUSLATCH_ASSERT(done);
  };
  // Loads the shard.
  write();
  return MeasureUs(write);
}

void MeasureShard(Report& report,
                  const std::string& x_unit,
                  const std::vector<std::pair<int, ShardSize>>& sizes) {
  const auto name = [&](const std::string& what) {
    return fmt::format("shard: {}, by {}", what, x_unit);
  };
  auto& bytes = report.Add(name("encoded"), x_unit, "bytes");
  auto& encode = report.Add(name("encode"), x_unit, "us");
  auto& decode = report.Add(name("decode"), x_unit, "us");
  auto& heap = report.Add(name("memory"), x_unit, "bytes");
  auto& write = report.Add(name("one write"), x_unit, "us");
  for (const auto& [n, size] : sizes) {
    const double before = HeapBytes();
    const auto state = MakeShard(size);
    const double after = HeapBytes();
    const auto encoded = EncodeShardState(state);
    const auto add = [x = static_cast<double>(n)](Series& series, double y) {
      series.points.push_back({x, y});
    };
    add(heap, after - before);
    add(bytes, static_cast<double>(encoded.size()));
    add(encode, MeasureUs([&] { Use(EncodeShardState(state)); }));
    add(decode, MeasureUs([&] { Use(DecodeShardState(encoded)); }));
    add(write, MeasureWriteUs(size));
  }
}

void MeasureShards(Report& report) {
  std::vector<std::pair<int, ShardSize>> sizes;
  for (const int n : {141, 562, 2250}) {
    sizes.push_back({n, {.budgets = n}});
  }
  MeasureShard(report, "budget", sizes);
  sizes.clear();
  for (const int n : {1, 4, 16}) {
    sizes.push_back({n * 562, {.budgets = 562, .holders = n}});
  }
  MeasureShard(report, "grant", sizes);
  sizes.clear();
  for (const int n : {32, 128, 512}) {
    sizes.push_back({n, {.budgets = 1, .bills = n}});
  }
  MeasureShard(report, "bill", sizes);
  sizes.clear();
  for (const int n : {32, 128, 512}) {
    sizes.push_back({n, {.budgets = 1, .claims = n}});
  }
  MeasureShard(report, "claim", sizes);
}

void MeasureCommands(Report& report) {
  auto& by_holders = report.Add("apply: one exchange", "holder", "us");
  for (const int n : {1, 37, 370}) {
    auto state = MakeShard({.budgets = 562, .holders = n});
    std::uint64_t sequence = 17;
    by_holders.points.push_back(
        {static_cast<double>(n), MeasureUs([&] {
           ++sequence;
           Use(Apply(
               state,
               ExchangeCommand{
                   BudgetName(0), MakeHolder(0), sequence, false, {}, 10, 10},
               0));
         })});
  }
  auto& by_budgets = report.Add("apply: one exchange", "budget", "us");
  for (const int n : {141, 562, 2250}) {
    auto state = MakeShard({.budgets = n, .holders = 1});
    std::uint64_t sequence = 17;
    by_budgets.points.push_back(
        {static_cast<double>(n), MeasureUs([&] {
           ++sequence;
           Use(Apply(
               state,
               ExchangeCommand{
                   BudgetName(0), MakeHolder(0), sequence, false, {}, 10, 10},
               0));
         })});
  }
  auto& claims = report.Add("apply: one claim and abandon", "claim", "us");
  for (const int n : {32, 128, 512}) {
    auto state = MakeShard({.budgets = 562, .claims = n});
    int i = 0;
    claims.points.push_back(
        {static_cast<double>(n), MeasureUs([&] {
           const auto key = KeyOf("new", ++i);
           Use(Apply(
               state,
               ClaimCommand{key, key, BudgetName(0), 50, 1, MakeHolder(0)}, 0));
           Apply(state, AbandonCommand{key, 1, BudgetName(0)}, 0);
           state.claims.erase(key);
         })});
  }
}

// Bytes on the connection without TCP and IP headers.
double FrameBytes(const BodyPacker& pack) {
  flatbuffers::FlatBufferBuilder builder;
  const auto [type, body] = pack(builder);
  builder.Finish(wire::CreateEnvelope(builder, 12345, type, body));
  return static_cast<double>(
      EncodeFrame({reinterpret_cast<const char*>(builder.GetBufferPointer()),
                   builder.GetSize()})
          .size());
}

Incarnation MakeIncarnation(int i) {
  return {MakeHolder(i), 1700000000000 + i};
}

PackedBody PackHeartbeat(flatbuffers::FlatBufferBuilder& builder,
                         int incarnations) {
  const auto sha256 = builder.CreateVector(std::vector<std::uint8_t>(32));
  std::vector<flatbuffers::Offset<wire::Incarnation>> heard_of;
  heard_of.reserve(static_cast<std::size_t>(incarnations));
  for (int i = 0; i < incarnations; ++i) {
    heard_of.push_back(PackIncarnation(builder, MakeIncarnation(i + 1)));
  }
  const auto vector = builder.CreateVector(heard_of);
  return {wire::Body::Heartbeat,
          wire::CreateHeartbeat(builder, 7, sha256, vector).Union()};
}

PackedBody PackExchange(flatbuffers::FlatBufferBuilder& builder, int bills) {
  ExchangeCommand command{BudgetName(35999), MakeHolder(7), 3, false, {}, 5};
  for (int i = 0; i < bills; ++i) {
    command.bills.push_back({KeyOf("bill", i), 700});
  }
  const auto commands = PackCommands(builder, {command});
  return {wire::Body::ShardRequest,
          wire::CreateShardRequest(builder, 3, 1000, commands).Union()};
}

PackedBody PackExchangeReply(flatbuffers::FlatBufferBuilder& builder,
                             int other_holders) {
  ShardReply reply{.granted = 1000, .available = 500000};
  for (int i = 0; i < other_holders; ++i) {
    reply.other_holders.push_back(MakeHolder(i));
  }
  const auto replies = PackReplies(builder, {reply});
  return {wire::Body::ShardReplies,
          wire::CreateShardReplies(builder, replies).Union()};
}

PackedBody PackClaims(flatbuffers::FlatBufferBuilder& builder, int claims) {
  std::vector<ShardCommand> commands;
  commands.reserve(static_cast<std::size_t>(claims));
  for (int i = 0; i < claims; ++i) {
    commands.emplace_back(ClaimCommand{KeyOf("claim", i), KeyOf("digest", i),
                                       BudgetName(35999), 50, 1,
                                       MakeHolder(7)});
  }
  const auto vector = PackCommands(builder, commands);
  return {wire::Body::ShardRequest,
          wire::CreateShardRequest(builder, 3, 1000, vector).Union()};
}

PackedBody PackDocument(flatbuffers::FlatBufferBuilder& builder, int bytes) {
  const std::vector<std::uint8_t> document(static_cast<std::size_t>(bytes));
  const auto vector = builder.CreateVector(document);
  return {wire::Body::ConfigReply,
          wire::CreateConfigReply(builder, vector).Union()};
}

PackedBody PackRecall(flatbuffers::FlatBufferBuilder& builder, int name_bytes) {
  const std::string name(static_cast<std::size_t>(name_bytes), 'b');
  return {wire::Body::Recall,
          wire::CreateRecallDirect(builder, name.c_str()).Union()};
}

void MeasureMessages(Report& report) {
  using PackSized = PackedBody (*)(flatbuffers::FlatBufferBuilder&, int);
  struct Message {
    std::string name;
    std::string x_unit;
    PackSized pack;
    std::vector<int> sizes;
  };
  const std::vector<Message> messages = {
      {"message: heartbeat", "incarnation told", PackHeartbeat, {0, 4, 16}},
      {"message: exchange", "bill", PackExchange, {0, 10, 100}},
      {"message: exchange reply",
       "other holder",
       PackExchangeReply,
       {0, 37, 369}},
      {"message: claims", "claim", PackClaims, {1, 4, 16}},
      {"message: recall", "byte of name", PackRecall, {16, 32, 128}},
      {"message: document", "byte", PackDocument, {10000, 100000, 400000}},
  };
  for (const auto& it : messages) {
    auto& series = report.Add(it.name, it.x_unit, "bytes");
    for (const int n : it.sizes) {
      series.points.push_back(
          {static_cast<double>(n),
           FrameBytes([&](auto& builder) { return it.pack(builder, n); })});
    }
  }
}

Millis FixedNow() {
  return Millis{1000000};
}

void MeasureScheduler(Report& report) {
  auto& series = report.Add("scheduler: queue and start one request",
                            "waiting client account", "us");
  for (const int n : {10, 100, 320}) {
    SchedulerCore core{SchedulerOptions{}};
    core.SetRanks({{"urgent", Millis{1700}, Millis{37}, 0, 100000}});
    WorkId id = 0;
    const auto enqueue = [&](int account) {
      const auto status = core.Enqueue(++id,
                                       {.rank = "urgent",
                                        .client_account = AccountName(account),
                                        .target = "model/m1",
                                        .tokens = 700,
                                        .deadline = Millis{1 << 30}},
                                       FixedNow());
      CROCUSLATCH_ASSERT(status == EnqueueStatus::kQueued);
    };
    for (int i = 0; i < 4 * n; ++i) {
      enqueue(i % n);
    }
    series.points.push_back(
        {static_cast<double>(n), MeasureUs([&] {
           enqueue(static_cast<int>(id) % n);
           core.StartNext(FixedNow(),
                          [](auto, const auto&, bool) { return true; });
         })});
  }
}

void MeasureBackends(Report& report) {
  const std::string x = "backend server";
  auto& plain = report.Add("backend choice: no prefix", x, "us");
  auto& prefixed = report.Add("backend choice: prompt of 4 KB", x, "us");
  auto& view = report.Add("backend table: view for the poller", x, "us");
  auto& changed =
      report.Add("backend table: changed list of 370 routers", x, "us");
  auto& unchanged =
      report.Add("backend table: same list of 370 routers", x, "us");
  auto& used = report.Add("backend servers used by one router", x, "servers");
  const std::string prompt(4096, 'p');
  for (const int n : {12, 100, 700}) {
    Document document;
    document.backend_servers = MakeBackendServers(n);
    BackendTable table({}, "router-1", FixedNow, 1);
    table.SetDocument(document);
    const auto add = [n](Series& series, double y) {
      series.points.push_back({static_cast<double>(n), y});
    };
    const auto choose = [&](std::string_view text) {
      const auto it = table.Acquire({ModelTarget("m1"), text, {}, true});
      table.Release(it.value(), BackendResult::kSucceeded);
    };
    // Alone, the router uses every server: the worst case of a choice.
    add(plain, MeasureUs([&] { choose(""); }));
    add(prefixed, MeasureUs([&] { choose(prompt); }));
    const auto routers = RouterNames(kRouters);
    const auto fewer = RouterNames(kRouters - 1);
    add(changed, MeasureUs([&] {
                   table.SetRouters(fewer);
                   table.SetLeavingHosts({});
                   table.SetRouters(routers);
                   table.SetLeavingHosts({});
                 }) / 2);
    add(unchanged, MeasureUs([&] {
          table.SetRouters(routers);
          table.SetLeavingHosts({});
        }));
    add(view, MeasureUs([&] { Use(table.View()); }));
    const auto servers = table.View();
    add(used, static_cast<double>(std::ranges::count_if(
                  servers, [](const auto& it) { return it.own_slots > 0; })));
  }
}

std::vector<HostEntry> MakeHosts(int routers, int backends) {
  std::vector<HostEntry> hosts;
  hosts.reserve(static_cast<std::size_t>(routers) +
                static_cast<std::size_t>(backends));
  for (int i = 0; i < routers; ++i) {
    hosts.push_back({fmt::format("router-{}", i), HostKind::kRouter,
                     fmt::format("10.1.{}.{}:7300", i / 250, i % 250),
                     fmt::format("domain-{}", i % 8), HostState::kLive});
  }
  for (int i = 0; i < backends; ++i) {
    hosts.push_back({fmt::format("engine-{}", i), HostKind::kBackend,
                     fmt::format("10.0.{}.{}:8000", i / 250, i % 250),
                     fmt::format("domain-{}", i % 8), HostState::kLive});
  }
  return hosts;
}

std::string FormatHosts(const std::vector<HostEntry>& hosts) {
  std::vector<std::string> lines;
  lines.reserve(hosts.size());
  for (const auto& it : hosts) {
    lines.push_back(fmt::format(
        R"({{"name":"{}","kind":"{}","address":"{}","failure_domain":"{}",)"
        R"("state":"live"}})",
        it.name, it.kind == HostKind::kRouter ? "router" : "backend",
        it.address, it.failure_domain));
  }
  return fmt::format("[{}]", fmt::join(lines, ","));
}

void MeasureHosts(Report& report) {
  auto& bytes = report.Add("host list", "host", "bytes");
  auto& parse = report.Add("host list: parse", "host", "us");
  for (const int n : {36, 300, 1070}) {
    const auto routers = n * kRouters / 1070;
    const auto text = FormatHosts(MakeHosts(routers, n - routers));
    bytes.points.push_back(
        {static_cast<double>(n), static_cast<double>(text.size())});
    parse.points.push_back(
        {static_cast<double>(n), MeasureUs([&] { Use(ParseHostList(text)); })});
  }
  auto& set = report.Add("membership: take a host list", "router", "us");
  auto& peers = report.Add("membership: heartbeat peers", "router", "us");
  auto& news = report.Add("membership: news of a heartbeat", "router", "us");
  auto& writers = report.Add("membership: preferred writers", "router", "us");
  auto& heap = report.Add("membership: memory", "router", "bytes");
  for (const int n : {12, 100, 370}) {
    const double before = HeapBytes();
    Membership membership(
        {.own = MakeIncarnation(1), .own_failure_domain = "domain-1"},
        FixedNow);
    const auto hosts = MakeHosts(n, 0);
    membership.SetHosts(hosts);
    for (int i = 0; i < n; ++i) {
      membership.OnDirectContact(MakeIncarnation(i));
    }
    const auto add = [n](Series& series, double y) {
      series.points.push_back({static_cast<double>(n), y});
    };
    add(heap, HeapBytes() - before);
    add(set, MeasureUs([&] { membership.SetHosts(hosts); }));
    add(peers, MeasureUs([&] { Use(membership.HeartbeatPeers()); }));
    add(news, MeasureUs([&] { Use(membership.TakeGossip(16)); }));
    add(writers, MeasureUs([&] { Use(membership.PreferredWriters(5)); }));
  }
}

// A store in memory for many keys with the platform's latency.
struct SlowStore {
  FakeLoop* loop = nullptr;
  std::map<std::string, std::pair<std::string, std::uint64_t>> values;
  double writes = 0;
  double bytes = 0;

  Store Hooks() {
    Store hooks;
    hooks.get = [this](const std::string& key, const StoreCallback& callback) {
      loop->Hooks().after(kStoreLatency, [this, key, callback] {
        const auto& stored = values[key];
        callback({StoreStatus::kOk, stored.second, stored.first});
      });
    };
    hooks.put = [this](const std::string& key, const std::string& next,
                       std::uint64_t, const StoreCallback& callback) {
      ++writes;
      bytes += static_cast<double>(next.size());
      auto& stored = values[key];
      stored.first = next;
      const auto version = ++stored.second;
      loop->Hooks().after(kStoreLatency, [version, callback] {
        callback({.status = StoreStatus::kOk, .version = version});
      });
    };
    hooks.remove = [](const std::string&, std::uint64_t, const StoreCallback&) {
    };
    return hooks;
  }
};

// Requests of many routers on many budgets, against one writer for all
// shards, as if every router reached the preferred writers.
class LedgerLoad {
 public:
  LedgerLoad(int routers, bool even) : routers_(routers) {
    store_.loop = &loop_;
    const int budgets = routers * kTargetBudgets / kRouters;
    std::vector<double> weights;
    for (int i = 0; i < budgets; ++i) {
      names_.push_back(BudgetName(i));
      // With Zipf's law the busiest budget of 36,000 has 9% of the requests.
      weights.push_back(even ? 1.0 : 1.0 / (i + 1));
    }
    choose_ = std::discrete_distribution<int>(weights.begin(), weights.end());
    StoreShards();
    StartTables();
  }

  void Run() {
    const auto requests = [&](Millis span) {
      const double per_ms = routers_ * kRequestsPerSecond / 1000;
      for (Millis::rep ms = 0; ms < span.count(); ++ms) {
        for (due_ += per_ms; due_ >= 1; due_ -= 1) {
          Request();
        }
        loop_.RunFor(Millis{1});
      }
    };
    requests(kLedgerWarmUp);
    store_.writes = 0;
    store_.bytes = 0;
    exchanges_ = 0;
    requests(kLedgerSpan);
  }

  double writes_per_s() const { return store_.writes / seconds(); }
  double bytes_per_s() const { return store_.bytes / seconds(); }
  double exchanges_per_s() const { return exchanges_ / seconds(); }
  double grant_records() const {
    double sum = 0;
    for (std::uint32_t i = 0; i < kLedgerShards; ++i) {
      const auto state = DecodeShardState(store_.values.at(ShardKey(i)).first);
      for (const auto& it : state.budgets) {
        sum += static_cast<double>(it.second.grants.size());
      }
    }
    return sum;
  }
  int refused() const { return refused_; }

 private:
  static double seconds() {
    return std::chrono::duration<double>(kLedgerSpan).count();
  }

  void StoreShards() {
    std::vector<ShardState> shards(kLedgerShards);
    for (const auto& it : names_) {
      shards[ShardOfBudget(it, kLedgerShards)].budgets[it].limit = kPrepaid;
    }
    for (std::uint32_t i = 0; i < kLedgerShards; ++i) {
      shards[i].shard = i;
      store_.values[ShardKey(i)] = {EncodeShardState(shards[i]), 1};
    }
  }

  void StartTables() {
    auto options = MakeShardWriterOptions();
    options.wall_ms = [this] { return loop_.now().count(); };
    const auto writer = MakeShardWriter(options, store_.Hooks(), loop_.Hooks());
    const ApplyToShard counted = [this, writer](std::uint32_t shard,
                                                auto commands, Millis timeout,
                                                auto callback) {
      ++exchanges_;
      writer(shard, std::move(commands), timeout, std::move(callback));
    };
    GrantTableOptions table_options;
    table_options.shard_count = kLedgerShards;
    const auto limit = [](const std::string&) {
      return std::optional<Tokens>(kPrepaid);
    };
    for (int i = 0; i < routers_; ++i) {
      tables_.push_back(std::make_unique<GrantTable>(
          table_options, MakeHolder(i), loop_.Hooks(), counted, limit));
    }
  }

  // A request that reserves 1,000 tokens and uses 358 in 5 s: 430,000 tokens
  // a second over 1,200 requests.
  void Request() {
    auto& table = *tables_[random_() % tables_.size()];
    const auto& name = names_[static_cast<std::size_t>(choose_(random_))];
    const RequestKey key{1, ++requests_};
    table.Reserve(name, 1000, Millis{2000},
                  [this, &table, &name, key](ReserveStatus status) {
                    if (status != ReserveStatus::kReserved) {
                      ++refused_;
                      return;
                    }
                    loop_.Hooks().after(Millis{5000}, [&table, &name, key] {
                      table.Settle(name, 1000, {key, 358});
                    });
                  });
  }

  static constexpr Tokens kPrepaid = 1000000000;

  const int routers_;
  FakeLoop loop_;
  SlowStore store_;
  std::vector<std::string> names_;
  std::vector<std::unique_ptr<GrantTable>> tables_;
  std::mt19937_64 random_{1};
  std::discrete_distribution<int> choose_;
  double due_ = 0;
  double exchanges_ = 0;
  std::uint64_t requests_ = 0;
  int refused_ = 0;
};

void MeasureLedger(Report& report) {
  for (const bool even : {false, true}) {
    const auto name = [even](const std::string& what) {
      return fmt::format("ledger, {} budgets: {}", even ? "even" : "Zipf",
                         what);
    };
    auto& exchanges = report.Add(name("exchanges"), "router", "a second");
    auto& writes = report.Add(name("store writes"), "router", "a second");
    auto& bytes = report.Add(name("written"), "router", "bytes a second");
    auto& records =
        report.Add(name("grant records after 55 s"), "router", "records");
    auto& refused = report.Add(name("refused"), "router", "requests");
    auto& cpu = report.Add(name("processor time"), "router", "us a second");
    for (const int n : {37, 111, 370}) {
      LedgerLoad load(n, even);
      const double before = CpuUs();
      load.Run();
      const auto add = [n](Series& series, double y) {
        series.points.push_back({static_cast<double>(n), y});
      };
      add(cpu, (CpuUs() - before) / 55);
      add(exchanges, load.exchanges_per_s());
      add(writes, load.writes_per_s());
      add(bytes, load.bytes_per_s());
      add(records, load.grant_records());
      add(refused, load.refused());
    }
  }
}

void RunLedger() {
  Report report;
  MeasureLedger(report);
  report.Print();
}

void Run() {
  Report report;
  MeasureDocuments(report);
  MeasureLookups(report);
  MeasureShards(report);
  MeasureCommands(report);
  MeasureMessages(report);
  MeasureScheduler(report);
  MeasureBackends(report);
  MeasureHosts(report);
  report.Print();
}

}  // namespace
}  // namespace crocuslatch

// With --ledger, measures the ledger's traffic in virtual time instead, which
// takes minutes.
int main(int argc, char** argv) {
  if (argc > 1 && std::string_view(argv[1]) == "--ledger") {
    crocuslatch::RunLedger();
  } else {
    crocuslatch::Run();
  }
  return 0;
}
