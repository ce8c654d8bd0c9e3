#include "tamarackwing/policy/crash_observer.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::policy {
namespace {

//! Max reports of a crash whose acknowledgement counts.
constexpr std::size_t kMaxReports = 16;

std::chrono::milliseconds AgeOf(TimePoint at, TimePoint now) {
  return std::chrono::ceil<std::chrono::milliseconds>(now - at);
}

}  // namespace

CrashObserver::CrashObserver(CrashObserverOptions options) : options(options) {}

CrashObserver::~CrashObserver() = default;

bool CrashObserver::NoteBroken(const BackendServerName& server,
                               BlockDigest request,
                               const std::vector<BlockDigest>& blocks,
                               TimePoint now) {
  auto crash =
      std::find_if(this->open.begin(), this->open.end(),
                   [&](const Crash& one) { return one.server == server; });
  const bool is_new = crash == this->open.end();
  if (is_new) {
    if (this->open.size() >= this->options.crashes) {
      return false;
    }
    this->open.push_back({now, server, {}, {}, false, {}, TimePoint(), false});
    crash = std::prev(this->open.end());
  }
  for (const BlockDigest block : blocks) {
    if (crash->suspects.size() < this->options.suspects &&
        !this->IsTrusted(block, crash->at)) {
      crash->suspects.push_back({block, request});
    }
  }
  const bool is_known =
      std::find(crash->requests.begin(), crash->requests.end(), request) !=
      crash->requests.end();
  if (!is_known && crash->requests.size() < this->options.suspects &&
      !this->IsTrusted(request, crash->at)) {
    crash->requests.push_back(request);
  }
  return is_new;
}

void CrashObserver::NoteAlive(const BackendServerName& server, TimePoint now) {
  if (this->open.empty()) {
    return;
  }
  std::erase_if(this->open, [&](const Crash& crash) {
    return crash.server == server && now - crash.at > this->options.settle &&
           now - crash.at <= this->options.confirm;
  });
}

void CrashObserver::NoteAnswered(const std::vector<BlockDigest>& contents,
                                 TimePoint now) {
  for (const BlockDigest content : contents) {
    this->answered[content] = now;
  }
  if (this->answered.size() > this->options.answers) {
    std::erase_if(this->answered, [&](const auto& entry) {
      return now - entry.second > this->options.trusted &&
             !this->watched.contains(entry.first);
    });
  }
  if (this->answered.size() > 2 * this->options.answers) {
    // Too many blocks in use to remember all of their answers.
    this->answered.clear();
  }
}

void CrashObserver::Watch(const std::vector<BlockDigest>& blocks) {
  std::map<BlockDigest, std::optional<TimePoint>> next;
  for (const BlockDigest block : blocks) {
    const auto known = this->watched.find(block);
    next[block] = known == this->watched.end() ? std::nullopt : known->second;
  }
  this->watched = std::move(next);
}

std::vector<ServerCrash> CrashObserver::AddTo(CrashReport& report,
                                              TimePoint now) {
  this->Confirm(now);
  std::vector<ServerCrash> first_time;
  std::erase_if(this->confirmed, [&](const Crash& crash) {
    return crash.acknowledged && now - crash.at > this->options.kept;
  });
  for (Crash& crash : this->confirmed) {
    const bool was_reported_lately =
        !crash.reports.empty() &&
        now - crash.reported_at < this->options.repeat_interval;
    if (crash.acknowledged || was_reported_lately) {
      continue;
    }
    ServerCrash seen{crash.server, AgeOf(crash.at, now), crash.suspects,
                     crash.requests};
    if (!crash.is_reported) {
      first_time.push_back(seen);
    }
    crash.is_reported = true;
    crash.reports.push_back(report.number);
    if (crash.reports.size() > kMaxReports) {
      crash.reports.pop_front();
    }
    crash.reported_at = now;
    report.crashes.push_back(std::move(seen));
  }
  for (auto& [block, reported] : this->watched) {
    const auto last = this->answered.find(block);
    if (last == this->answered.end()) {
      continue;
    }
    const bool repeats =
        now - last->second <= this->options.repeat &&
        now - reported.value_or(now) >= this->options.repeat_interval;
    if (!reported || repeats) {
      reported = now;
      report.answered.push_back({block, AgeOf(last->second, now)});
    }
  }
  return first_time;
}

void CrashObserver::Acknowledge(std::uint64_t number) {
  for (Crash& crash : this->confirmed) {
    const auto& reports = crash.reports;
    crash.acknowledged =
        crash.acknowledged ||
        std::find(reports.begin(), reports.end(), number) != reports.end();
  }
}

void CrashObserver::DropUnreported() {
  this->open.clear();
  std::erase_if(this->confirmed,
                [](const Crash& crash) { return !crash.is_reported; });
}

void CrashObserver::ReportAgain() {
  for (Crash& crash : this->confirmed) {
    crash.acknowledged = false;
    crash.reports.clear();
  }
}

void CrashObserver::Confirm(TimePoint now) {
  const auto is_due = [&](const Crash& crash) {
    return now - crash.at > this->options.confirm;
  };
  for (Crash& crash : this->open) {
    if (!is_due(crash)) {
      continue;
    }
    std::erase_if(crash.suspects, [&](const CrashSuspect& suspect) {
      return this->IsTrusted(suspect.block, crash.at);
    });
    std::erase_if(crash.requests, [&](BlockDigest request) {
      return this->IsTrusted(request, crash.at);
    });
    const bool has_suspects =
        !crash.suspects.empty() || !crash.requests.empty();
    if (has_suspects && this->MakeRoom()) {
      this->confirmed.push_back(std::move(crash));
    }
  }
  std::erase_if(this->open, is_due);
}

bool CrashObserver::MakeRoom() {
  if (this->confirmed.size() < this->options.crashes) {
    return true;
  }
  const auto oldest =
      std::find_if(this->confirmed.begin(), this->confirmed.end(),
                   [](const Crash& crash) { return crash.acknowledged; });
  if (oldest == this->confirmed.end()) {
    return false;
  }
  this->confirmed.erase(oldest);
  return true;
}

bool CrashObserver::IsTrusted(BlockDigest block, TimePoint at) const {
  const auto last = this->answered.find(block);
  return last != this->answered.end() &&
         at - last->second <= this->options.trusted;
}

}  // namespace tamarackwing::policy
