#include "app/prompt_quarantine.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "app/crash_report_codec.h"
#include "src/log.h"

namespace crocuslatch {

struct PromptQuarantine::Core
    : std::enable_shared_from_this<PromptQuarantine::Core> {
  explicit Core(const CrashEvidenceOptions& evidence_options)
      : evidence(evidence_options) {}

  // The last report of a host that was applied.
  struct Position {
    std::string incarnation;
    std::uint64_t number = 0;
  };

  PromptQuarantineOptions options;
  Store store;
  EventLoop loop;
  PromptQuarantineHooks hooks;
  CrashEvidence evidence;
  // Broken responses by server, until the server has been probed.
  std::map<std::string, ServerCrash> unconfirmed;
  HostCrashReports own;
  std::uint64_t last_number = 0;
  // Stored version of this host's value.
  std::uint64_t own_version = 0;
  bool has_unwritten_reports = false;
  bool is_write_scheduled = false;
  std::map<std::string, Position> positions;
  bool is_store_unavailable = false;

  std::string OwnKey() const { return options.prefix + options.own_host; }

  void OnBrokenResponse(const std::string& server_id,
                        const std::string& address,
                        const ModelWork& work,
                        bool has_begun) {
    const bool is_probing = unconfirmed.contains(server_id);
    auto& crash = unconfirmed[server_id];
    crash.server_id = server_id;
    auto& parts = has_begun ? crash.begun_parts : crash.waiting_parts;
    const auto ids = SharedPartIds(work);
    parts.insert(ids.begin(), ids.end());
    if (is_probing) {
      return;
    }
    hooks.probe(address, [self = weak_from_this(), server_id](bool is_down) {
      if (const auto core = self.lock()) {
        core->OnProbed(server_id, is_down);
      }
    });
  }

  void OnProbed(const std::string& server_id, bool is_down) {
    auto node = unconfirmed.extract(server_id);
    if (node.empty() || !is_down) {
      return;
    }
    const auto& crash = node.mapped();
    if (crash.begun_parts.empty() && crash.waiting_parts.empty()) {
      return;
    }
    LogLine(LogEvent::kServerCrashed)
        .Add("server", server_id)
        .Add("begun_parts",
             fmt::format("{}", fmt::join(crash.begun_parts, " ")))
        .Add("waiting_parts", crash.waiting_parts.size());
    ApplyCrash(crash, loop.now(), options.own_host);
    Report({.crash = crash});
  }

  void ApplyCrash(const ServerCrash& crash,
                  Millis at,
                  const std::string& host) {
    for (const auto& it : evidence.OnCrash(crash, at, loop.now())) {
      LogLine(LogEvent::kPromptQuarantined)
          .Add("part", it)
          .Add("server", crash.server_id)
          .Add("reported_by", host);
    }
  }

  void ApplyServed(const std::vector<std::string>& parts,
                   const std::string& host) {
    for (const auto& it : evidence.OnCleared(parts, loop.now())) {
      LogLine(LogEvent::kPromptReleased)
          .Add("part", it)
          .Add("reported_by", host);
    }
  }

  void OnServed(const ModelWork& work) {
    auto parts = evidence.OnServed(work);
    if (!parts.empty()) {
      Report({.served_parts = std::move(parts)});
    }
  }

  void Report(CrashReport report) {
    report.number = ++last_number;
    report.wall_time = hooks.wall_now();
    own.reports.push_back(std::move(report));
    if (own.reports.size() > options.max_reports) {
      own.reports.erase(own.reports.begin());
    }
    has_unwritten_reports = true;
    WriteAfter(options.batch_delay);
  }

  void WriteAfter(Millis delay) {
    if (std::exchange(is_write_scheduled, true)) {
      return;
    }
    loop.after(delay, [self = weak_from_this()] {
      if (const auto core = self.lock()) {
        core->Write();
      }
    });
  }

  void Write() {
    has_unwritten_reports = false;
    const auto value = EncodeCrashReports(own);
    store.put(OwnKey(), value, own_version,
              [self = weak_from_this(), value](const StoreResult& it) {
                if (const auto core = self.lock()) {
                  core->OnWritten(value, it);
                }
              });
  }

  void OnWritten(const std::string& value, const StoreResult& result) {
    is_write_scheduled = false;
    const bool is_stored = result.status == StoreStatus::kOk ||
                           (result.status == StoreStatus::kVersionConflict &&
                            result.value == value);
    if (is_stored || result.status == StoreStatus::kVersionConflict) {
      own_version = result.version;
    }
    if (!is_stored || has_unwritten_reports) {
      WriteAfter(result.status == StoreStatus::kUnknown ? options.retry_delay
                                                        : options.batch_delay);
    }
  }

  void Read() {
    store.read_all(options.prefix,
                   [self = weak_from_this()](const StoreRangeResult& it) {
                     if (const auto core = self.lock()) {
                       core->OnRead(it);
                     }
                   });
  }

  void OnRead(const StoreRangeResult& range) {
    UpdateStoreStatus(range);
    if (range.status != StoreStatus::kOk) {
      ReadLater();
      return;
    }
    Apply(range.items, false);
    Watch(range.revision);
  }

  void Watch(std::uint64_t after) {
    store.watch(options.prefix, after, options.watch_wait,
                [self = weak_from_this(), after](const StoreRangeResult& it) {
                  if (const auto core = self.lock()) {
                    core->OnWatchResult(after, it);
                  }
                });
  }

  void OnWatchResult(std::uint64_t after, const StoreRangeResult& range) {
    UpdateStoreStatus(range);
    if (range.status != StoreStatus::kOk) {
      ReadLater();
      return;
    }
    Apply(range.items, true);
    for (const auto& it : range.items) {
      after = std::max(after, it.version);
    }
    Watch(std::max(after, range.revision));
  }

  void UpdateStoreStatus(const StoreRangeResult& range) {
    const bool is_unavailable = range.status == StoreStatus::kUnknown;
    if (std::exchange(is_store_unavailable, is_unavailable) != is_unavailable) {
      LogLine(is_unavailable ? LogEvent::kStoreUnavailable
                             : LogEvent::kStoreRecovered)
          .Add("reader", "crash_reports")
          .Add("message", range.error);
    }
  }

  void ReadLater() {
    loop.after(options.retry_delay, [self = weak_from_this()] {
      if (const auto core = self.lock()) {
        core->Read();
      }
    });
  }

  // Applies all crashes before all parts that were served, since the order of
  // different hosts' reports is unknown. The newest report of a host was made
  // just now if it `is_new`; otherwise only the wall clocks tell its age, which
  // may have been set.
  void Apply(const std::vector<StoreItem>& items, bool is_new) {
    std::vector<std::pair<std::string, std::vector<std::string>>> served;
    for (const auto& it : items) {
      if (it.version == 0 || !it.key.starts_with(options.prefix)) {
        continue;
      }
      const auto host = it.key.substr(options.prefix.size());
      const auto decoded = DecodeCrashReports(it.value);
      if (!decoded) {
        LogLine(LogEvent::kBadInput)
            .Add("message", "a host's crash reports could not be decoded")
            .Add("key", it.key);
        continue;
      }
      if (decoded->incarnation == options.incarnation) {
        continue;
      }
      const auto reports = TakeNew(host, *decoded);
      for (const auto& report : reports) {
        if (report.crash) {
          const Millis age =
              (is_new ? reports.back().wall_time : hooks.wall_now()) -
              report.wall_time;
          ApplyCrash(*report.crash,
                     loop.now() - std::clamp(age, Millis{0},
                                             options.evidence.evidence_ttl),
                     host);
        } else {
          served.emplace_back(host, report.served_parts);
        }
      }
    }
    for (const auto& [host, parts] : served) {
      ApplyServed(parts, host);
    }
  }

  std::vector<CrashReport> TakeNew(const std::string& host,
                                   const HostCrashReports& decoded) {
    auto& position = positions[host];
    if (position.incarnation != decoded.incarnation) {
      position = {decoded.incarnation, 0};
    }
    std::vector<CrashReport> reports;
    std::ranges::copy_if(decoded.reports, std::back_inserter(reports),
                         [&position](const CrashReport& it) {
                           return it.number > position.number;
                         });
    if (!reports.empty()) {
      position.number = reports.back().number;
    }
    return reports;
  }
};

PromptQuarantine::PromptQuarantine(PromptQuarantineOptions options,
                                   Store store,
                                   EventLoop loop,
                                   PromptQuarantineHooks hooks)
    : core_(std::make_shared<Core>(options.evidence)) {
  core_->own.incarnation = options.incarnation;
  core_->options = std::move(options);
  core_->store = std::move(store);
  core_->loop = std::move(loop);
  core_->hooks = std::move(hooks);
}

PromptQuarantine::~PromptQuarantine() = default;

void PromptQuarantine::Start() {
  core_->Read();
}

void PromptQuarantine::OnBrokenResponse(const std::string& server_id,
                                        const std::string& address,
                                        const ModelWork& work,
                                        bool has_begun) {
  core_->OnBrokenResponse(server_id, address, work, has_begun);
}

void PromptQuarantine::OnServed(const ModelWork& work) {
  core_->OnServed(work);
}

std::optional<PromptQuarantine::Verdict> PromptQuarantine::Find(
    const ModelWork& work) const {
  const Millis now = core_->loop.now();
  const auto part = core_->evidence.FindQuarantined(work, now);
  if (!part) {
    return std::nullopt;
  }
  return Verdict{*part, core_->evidence.QuarantineLeft(*part, now)};
}

}  // namespace crocuslatch
