#include "tamarackwing/gateway/block_quarantine.h"

#include <algorithm>
#include <utility>

#include "tamarackwing/base/event.h"
#include "tamarackwing/base/hex.h"
#include "tamarackwing/base/metrics.h"

namespace tamarackwing::gateway {
namespace {

using policy::BlockDigest;
using std::chrono::milliseconds;

//! How long a granted trial may be used; shorter than the time after which the
//! leader grants another.
constexpr milliseconds kTrialLife{8'000};
//! How long a refused request counts as demand for a trial.
constexpr milliseconds kDemand{3'000};
//! Pause between two reports of the same refusal, or of the same quarantined
//! block: the leader gets them from all hosts.
constexpr milliseconds kRepeatInterval{1'000};
//! How long a host without a leader keeps its quarantine.
constexpr std::chrono::minutes kHold{10};
//! Max suspects in the log line of a crash.
constexpr std::size_t kLoggedSuspects = 8;

milliseconds Until(TimePoint at, TimePoint now) {
  return at > now ? std::chrono::ceil<milliseconds>(at - now) : milliseconds(0);
}

void LogCrash(const policy::ServerCrash& crash) {
  std::vector<BlockDigest> blocks;
  for (const policy::CrashSuspect& suspect : crash.suspects) {
    blocks.push_back(suspect.block);
  }
  LogEvent(Event::kBackendServerCrashed, LogLevel::kWarning,
           {{"server", crash.server.Text()},
            {"age_ms", std::to_string(crash.age.count())},
            {"suspects", std::to_string(blocks.size() + crash.requests.size())},
            {"contents", ToHexList(crash.requests, kLoggedSuspects)},
            {"blocks", ToHexList(blocks, kLoggedSuspects)}});
}

}  // namespace

BlockQuarantine::BlockQuarantine(const Clock& clock, Metrics& metrics)
    : clock(clock),
      metrics(metrics),
      observer(policy::CrashObserverOptions()) {}

BlockQuarantine::~BlockQuarantine() = default;

Expected<SendPermission, QuarantineRefusal> BlockQuarantine::Check(
    const std::vector<BlockDigest>& held) {
  const std::lock_guard lock(this->mutex);
  if (this->entries.empty()) {
    return SendPermission::kFree;
  }
  const TimePoint now = this->clock.Now();
  Entry* trial = nullptr;
  for (const BlockDigest content : held) {
    const auto found = this->entries.find(content);
    if (found == this->entries.end()) {
      continue;
    }
    Entry& entry = found->second;
    // One is tried without others that are quarantined, one of which may be the
    // cause.
    if (entry.trial_until <= now || trial != nullptr) {
      entry.refused = now;
      return unexpected(QuarantineRefusal{
          content, Until(entry.next_trial, now),
          std::chrono::ceil<milliseconds>(now - entry.confirmed)});
    }
    trial = &entry;
  }
  if (trial == nullptr) {
    return SendPermission::kFree;
  }
  trial->trial_until = TimePoint();
  return SendPermission::kTrial;
}

void BlockQuarantine::NoteBroken(const BackendServerName& server,
                                 const std::string& request_id,
                                 BlockDigest request,
                                 const std::vector<BlockDigest>& blocks) {
  bool is_first = false;
  {
    const std::lock_guard lock(this->mutex);
    is_first =
        this->observer.NoteBroken(server, request, blocks, this->clock.Now());
  }
  if (is_first) {
    LogEvent(Event::kBackendServerBroke, LogLevel::kInfo,
             {{"server", server.Text()},
              {"request", request_id},
              {"content", ToHex(request)}});
  }
}

void BlockQuarantine::NoteAlive(const BackendServerName& server) {
  const std::lock_guard lock(this->mutex);
  this->observer.NoteAlive(server, this->clock.Now());
}

void BlockQuarantine::NoteAnswered(const std::vector<BlockDigest>& held) {
  const std::lock_guard lock(this->mutex);
  this->observer.NoteAnswered(held, this->clock.Now());
}

void BlockQuarantine::DropUnreported() {
  const std::lock_guard lock(this->mutex);
  this->observer.DropUnreported();
}

std::optional<policy::CrashReport> BlockQuarantine::MakeReport(
    bool is_new_leader) {
  policy::CrashReport report;
  std::vector<policy::ServerCrash> new_crashes;
  {
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->clock.Now();
    std::erase_if(this->entries, [&](const auto& entry) {
      return now - entry.second.confirmed > kHold;
    });
    report.number = ++this->number;
    new_crashes = this->observer.AddTo(report, now);
    for (auto& [block, entry] : this->entries) {
      const bool is_wanted = entry.refused && now - *entry.refused <= kDemand;
      if (is_wanted && now - entry.refused_reported >= kRepeatInterval) {
        entry.refused_reported = now;
        report.refused.push_back(block);
      }
      const bool is_awaited = is_new_leader || this->is_awaited;
      if (is_awaited && now - entry.held_reported >= kRepeatInterval) {
        entry.held_reported = now;
        report.held.push_back(
            {block, Until(entry.next_trial, now), entry.failed_trials});
      }
    }
  }
  for (const policy::ServerCrash& crash : new_crashes) {
    LogCrash(crash);
    this->metrics.Count("tamarackwing_server_crashes_total");
  }
  const bool is_empty = report.crashes.empty() && report.answered.empty() &&
                        report.refused.empty() && report.held.empty();
  return is_empty ? std::nullopt : std::optional(std::move(report));
}

void BlockQuarantine::Accept(const policy::QuarantineNotice& notice) {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  const bool is_former = notice.term != 0 && notice.term < this->term;
  if (is_former) {
    // A host that passes on notices may be late with those of a former leader.
    return;
  }
  this->is_awaited = !notice.complete;
  if (notice.term == this->term) {
    this->observer.Acknowledge(notice.number);
  } else {
    this->term = notice.term;
    this->observer.ReportAgain();
    for (auto& [block, entry] : this->entries) {
      entry.held_reported = TimePoint();
    }
  }
  this->observer.Watch(notice.watched);
  std::set<BlockDigest> listed;
  for (const policy::QuarantinedBlock& block : notice.quarantined) {
    Entry& entry = this->entries[block.block];
    entry.next_trial = now + block.next_trial;
    entry.failed_trials = block.failed_trials;
    entry.confirmed = now;
    listed.insert(block.block);
  }
  if (notice.complete) {
    std::erase_if(this->entries, [&](const auto& entry) {
      return !listed.contains(entry.first);
    });
  }
  for (const BlockDigest block : notice.trials) {
    const auto entry = this->entries.find(block);
    if (entry != this->entries.end()) {
      entry->second.trial_until = now + kTrialLife;
    }
  }
}

std::size_t BlockQuarantine::Size() const {
  const std::lock_guard lock(this->mutex);
  return this->entries.size();
}

}  // namespace tamarackwing::gateway
