#include "tamarackwing/policy/quarantine_judge.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;

milliseconds Age(TimePoint at, TimePoint now) {
  return std::chrono::ceil<milliseconds>(std::max(Duration(), now - at));
}

}  // namespace

QuarantineJudge::QuarantineJudge(QuarantineOptions options)
    : options(options) {}

QuarantineJudge::~QuarantineJudge() = default;

void QuarantineJudge::StartTerm(std::uint64_t new_term, TimePoint now) {
  this->term = new_term;
  this->term_start = now;
  this->changed = true;
  this->crashes.clear();
  this->answered.clear();
  this->quarantined.clear();
  this->watched.clear();
}

QuarantineNotice QuarantineJudge::Handle(const CrashReport& report,
                                         TimePoint now) {
  for (const QuarantinedBlock& held : report.held) {
    this->Adopt(held, now);
  }
  for (const ServerCrash& crash : report.crashes) {
    this->AddCrash(crash, now);
  }
  for (const BlockAnswered& answer : report.answered) {
    this->AddAnswer(answer, now);
  }
  QuarantineNotice notice = this->MakeNotice(now);
  notice.number = report.number;
  notice.trials = this->GrantTrials(report.refused, now);
  return notice;
}

std::vector<BlockDigest> QuarantineJudge::GrantTrials(
    const std::vector<BlockDigest>& refused,
    TimePoint now) {
  std::vector<BlockDigest> trials;
  for (const BlockDigest block : refused) {
    const auto found = this->quarantined.find(block);
    if (found == this->quarantined.end()) {
      continue;
    }
    Quarantined& entry = found->second;
    entry.last_refused = now;
    const bool is_running = entry.trial_sent && now - *entry.trial_sent <=
                                                    this->options.trial_timeout;
    if (now < entry.next_trial || is_running) {
      continue;
    }
    entry.trial_sent = now;
    // A leader that takes over meanwhile learns this time from the hosts.
    entry.next_trial = now + this->TrialDelay(entry.failed_trials + 1);
    this->changed = true;
    trials.push_back(block);
    this->verdicts.push_back({QuarantineVerdict::Kind::kTrial, block,
                              entry.failed_trials, 0, "",
                              Age(entry.since, now)});
  }
  return trials;
}

std::optional<QuarantineNotice> QuarantineJudge::Due(TimePoint now) {
  if (now - this->decided >= this->options.decide_interval) {
    this->decided = now;
    this->Expire(now);
    this->Decide(now);
  }
  const bool is_needed = !this->quarantined.empty() || !this->watched.empty() ||
                         this->IsSettling(now);
  const bool repeats = is_needed && now - this->sent >= this->options.repeat;
  const bool is_change_due =
      this->changed && now - this->sent >= this->options.min_interval;
  if (!is_change_due && !repeats) {
    return std::nullopt;
  }
  this->changed = false;
  this->sent = now;
  return this->MakeNotice(now);
}

std::vector<QuarantineVerdict> QuarantineJudge::TakeVerdicts() {
  return std::exchange(this->verdicts, {});
}

void QuarantineJudge::AddCrash(const ServerCrash& crash, TimePoint now) {
  const TimePoint at = now - crash.age;
  auto known = std::find_if(
      this->crashes.begin(), this->crashes.end(), [&](const Crash& one) {
        return one.server == crash.server &&
               (at > one.at ? at - one.at : one.at - at) <=
                   this->options.same_crash;
      });
  if (known == this->crashes.end()) {
    if (this->crashes.size() >= this->options.max_crashes) {
      this->crashes.pop_front();
    }
    this->crashes.push_back({crash.server, at, {}});
    known = std::prev(this->crashes.end());
  }
  for (const BlockDigest request : crash.requests) {
    this->AddSuspect(*known, request, request);
  }
  for (const CrashSuspect& suspect : crash.suspects) {
    this->AddSuspect(*known, suspect.block, suspect.request);
  }
}

void QuarantineJudge::AddSuspect(Crash& crash,
                                 BlockDigest content,
                                 BlockDigest request) {
  const auto held = crash.suspects.find(content);
  if (held != crash.suspects.end()) {
    held->second.requests.insert(request);
  } else if (crash.suspects.size() < this->options.max_suspects) {
    crash.suspects[content] = {{request}, content == request};
    this->NoteQuarantinedCrash(content, crash.at);
  }
}

void QuarantineJudge::NoteQuarantinedCrash(BlockDigest block, TimePoint at) {
  const auto found = this->quarantined.find(block);
  if (found == this->quarantined.end()) {
    return;
  }
  Quarantined& entry = found->second;
  if (!entry.trial_sent || at < *entry.trial_sent) {
    // A request that was sent before the decision.
    return;
  }
  entry.trial_sent.reset();
  entry.failed_trials += 1;
  entry.next_trial = at + this->TrialDelay(entry.failed_trials);
  this->changed = true;
  this->verdicts.push_back({QuarantineVerdict::Kind::kTrialFailed, block,
                            entry.failed_trials, 0, "", milliseconds(0)});
}

milliseconds QuarantineJudge::TrialDelay(std::uint32_t failed_trials) const {
  milliseconds wait = this->options.first_trial;
  for (std::uint32_t i = 0; i < failed_trials && wait < this->options.max_trial;
       ++i) {
    wait *= this->options.trial_factor;
  }
  return std::min(wait, this->options.max_trial);
}

void QuarantineJudge::AddAnswer(const BlockAnswered& answer, TimePoint now) {
  const TimePoint at = now - answer.age;
  const auto held = this->quarantined.find(answer.block);
  if (held != this->quarantined.end() && at > held->second.since) {
    this->Release(answer.block, answer.age);
  }
  const bool is_suspect = std::any_of(
      this->crashes.begin(), this->crashes.end(), [&](const Crash& crash) {
        return crash.suspects.contains(answer.block);
      });
  if (is_suspect) {
    TimePoint& last = this->answered[answer.block];
    last = std::max(last, at);
  }
}

void QuarantineJudge::Adopt(const QuarantinedBlock& held, TimePoint now) {
  const bool is_settling = this->IsSettling(now);
  const auto known = this->quarantined.find(held.block);
  if (is_settling && known != this->quarantined.end()) {
    Quarantined& entry = known->second;
    entry.next_trial = std::max(entry.next_trial, now + held.next_trial);
    entry.failed_trials = std::max(entry.failed_trials, held.failed_trials);
    return;
  }
  if (!is_settling ||
      this->quarantined.size() >= this->options.max_quarantined) {
    return;
  }
  this->quarantined[held.block] = {now, now + held.next_trial,
                                   held.failed_trials, now, std::nullopt};
  this->changed = true;
}

void QuarantineJudge::Release(BlockDigest block, milliseconds age) {
  this->quarantined.erase(block);
  this->changed = true;
  this->verdicts.push_back(
      {QuarantineVerdict::Kind::kReleased, block, 0, 0, "", age});
}

void QuarantineJudge::Expire(TimePoint now) {
  std::erase_if(this->crashes, [&](const Crash& crash) {
    return now - crash.at > this->options.evidence;
  });
  std::erase_if(this->answered, [&](const auto& answer) {
    return std::none_of(this->crashes.begin(), this->crashes.end(),
                        [&](const Crash& crash) {
                          return crash.suspects.contains(answer.first);
                        });
  });
  std::vector<BlockDigest> idle;
  for (const auto& [block, entry] : this->quarantined) {
    if (now - entry.last_refused > this->options.forget) {
      idle.push_back(block);
    }
  }
  for (const BlockDigest block : idle) {
    this->Release(block, milliseconds(0));
  }
}

bool QuarantineJudge::MakeRoom(TimePoint now) {
  if (this->quarantined.size() < this->options.max_quarantined) {
    return true;
  }
  const auto idle =
      std::min_element(this->quarantined.begin(), this->quarantined.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.last_refused < b.second.last_refused;
                       });
  if (now - idle->second.last_refused < this->options.min_idle) {
    return false;
  }
  this->Release(idle->first, milliseconds(0));
  return true;
}

std::map<BlockDigest, QuarantineJudge::Case> QuarantineJudge::Cases(
    const std::set<BlockDigest>& explained) const {
  std::map<BlockDigest, Case> cases;
  std::vector<const Crash*> in_order;
  for (const Crash& crash : this->crashes) {
    in_order.push_back(&crash);
  }
  std::sort(in_order.begin(), in_order.end(),
            [](const Crash* a, const Crash* b) { return a->at < b->at; });
  for (const Crash* crash : in_order) {
    // The quarantined requests that stood in the crash.
    std::vector<BlockDigest> explaining;
    bool is_explained = false;
    for (const auto& [content, suspect] : crash->suspects) {
      if (explained.contains(content)) {
        explaining.push_back(content);
        is_explained = is_explained || !suspect.is_request;
      }
    }
    if (is_explained) {
      continue;
    }
    for (const auto& [content, suspect] : crash->suspects) {
      const auto last = this->answered.find(content);
      const bool is_cleared = last != this->answered.end() &&
                              crash->at <= last->second + this->options.trusted;
      const auto& holders = suspect.requests;
      const bool is_held_by_all =
          std::all_of(explaining.begin(), explaining.end(),
                      [&](BlockDigest one) { return holders.contains(one); });
      if (is_cleared || explained.contains(content) || !is_held_by_all) {
        continue;
      }
      Case& one = cases[content];
      one.never_answered = last == this->answered.end();
      one.is_request = suspect.is_request;
      one.stands_alone = one.stands_alone || explaining.empty();
      if (one.crashes.empty() ||
          crash->at - one.crashes.back()->at >= this->options.moment) {
        one.moments += 1;
      }
      one.requests.insert(holders.begin(), holders.end());
      one.crashes.push_back(crash);
    }
  }
  return cases;
}

bool QuarantineJudge::Suffices(const Case& one) const {
  const bool is_enough =
      one.is_request || one.requests.size() >= this->options.requests;
  return one.stands_alone &&
         ((one.moments >= this->options.crashes && is_enough) ||
          one.moments >= this->options.crashes_of_one);
}

bool QuarantineJudge::IsStronger(const Case& a, const Case& b) {
  // Of a single request and its blocks, the request is the narrower cause.
  const auto rank = [](const Case& one) {
    return std::tuple(one.moments, one.never_answered, one.requests.size(),
                      one.is_request);
  };
  return rank(a) > rank(b);
}

void QuarantineJudge::Decide(TimePoint now) {
  if (this->crashes.empty()) {
    this->watched.clear();
    return;
  }
  std::set<BlockDigest> explained;
  for (const auto& [block, entry] : this->quarantined) {
    explained.insert(block);
  }
  while (true) {
    const auto cases = this->Cases(explained);
    // What explains the most crashes comes first: what stood beside it in the
    // same crashes is then no longer suspected.
    const Case* strongest = nullptr;
    for (const auto& [block, one] : cases) {
      if (this->Suffices(one) &&
          (strongest == nullptr || IsStronger(one, *strongest))) {
        strongest = &one;
      }
    }
    std::vector<std::pair<BlockDigest, const Case*>> suspected;
    for (const auto& [block, one] : cases) {
      if (one.moments >= 2) {
        suspected.emplace_back(block, &one);
      }
    }
    std::stable_sort(suspected.begin(), suspected.end(),
                     [](const auto& a, const auto& b) {
                       return IsStronger(*a.second, *b.second);
                     });
    suspected.resize(std::min(suspected.size(), this->options.max_watched));
    std::map<BlockDigest, TimePoint> still_watched;
    std::vector<BlockDigest> due;
    for (const auto& [block, suspect] : suspected) {
      const Case& one = *suspect;
      const auto known = this->watched.find(block);
      const bool is_new = known == this->watched.end();
      const TimePoint since = is_new ? now : known->second;
      this->changed = this->changed || is_new;
      still_watched[block] = since;
      if (this->Suffices(one) && !IsStronger(*strongest, one) &&
          now - since >= this->options.hearing) {
        due.push_back(block);
      }
    }
    this->watched = std::move(still_watched);
    if (due.empty()) {
      return;
    }
    for (const BlockDigest block : due) {
      if (!this->MakeRoom(now)) {
        return;
      }
      const Case& one = cases.at(block);
      this->quarantined[block] = {now, now + this->options.first_trial, 0, now,
                                  std::nullopt};
      explained.insert(block);
      std::string servers;
      for (const Crash* crash : one.crashes) {
        servers += (servers.empty() ? "" : ",") + crash->server.Text();
      }
      this->verdicts.push_back({QuarantineVerdict::Kind::kQuarantined, block,
                                one.crashes.size(), one.requests.size(),
                                std::move(servers),
                                Age(one.crashes.front()->at, now)});
    }
    this->changed = true;
  }
}

bool QuarantineJudge::IsSettling(TimePoint now) const {
  return now - this->term_start <= this->options.settle;
}

QuarantineNotice QuarantineJudge::MakeNotice(TimePoint now) const {
  QuarantineNotice notice;
  notice.term = this->term;
  notice.complete = !this->IsSettling(now);
  for (const auto& [block, since] : this->watched) {
    notice.watched.push_back(block);
  }
  for (const auto& [block, entry] : this->quarantined) {
    notice.watched.push_back(block);
    notice.quarantined.push_back(
        {block,
         entry.next_trial > now ? Age(now, entry.next_trial) : milliseconds(0),
         entry.failed_trials});
  }
  return notice;
}

}  // namespace tamarackwing::policy
