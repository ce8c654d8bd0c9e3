#include "tamarackwing/policy/token_inquiry.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace tamarackwing::policy {
namespace {

using std::chrono::milliseconds;

//! Max time for which a refusal is remembered: the interval of the keepers'
//! reports, after which the leader may have moved rate.
constexpr milliseconds kMaxRemembered{300};

std::string_view AnswerName(KeeperAnswer answer) {
  switch (answer) {
    case KeeperAnswer::kPending:
      return "pending";
    case KeeperAnswer::kGranted:
      return "granted";
    case KeeperAnswer::kRefused:
      return "refused";
    case KeeperAnswer::kNoLease:
      return "no_lease";
    case KeeperAnswer::kSilent:
      return "silent";
  }
  return "unknown";
}

}  // namespace

TokenInquiry::TokenInquiry(std::vector<HostName> own,
                           Others others,
                           TimePoint latest,
                           TokenInquiryOptions options)
    : own(std::move(own)),
      others(std::move(others)),
      latest(latest),
      options(options) {}

TokenInquiry::Step TokenInquiry::Start(TimePoint now) {
  Step step;
  this->AskNext(now, step);
  if (this->asked.empty()) {
    this->DecideWithoutGrant(now, step);
  }
  return step;
}

TokenInquiry::Step TokenInquiry::NoteReply(const HostName& keeper,
                                           const TokenReply& reply,
                                           TimePoint now) {
  Step step;
  const auto found =
      std::find_if(this->asked.begin(), this->asked.end(),
                   [&](const Asked& a) { return a.keeper == keeper; });
  const bool is_expected =
      found != this->asked.end() && (found->answer == KeeperAnswer::kPending ||
                                     found->answer == KeeperAnswer::kSilent);
  if (!is_expected) {
    return step;
  }
  found->rate = reply.rate;
  found->retry_after = reply.retry_after;
  if (reply.granted) {
    found->answer = KeeperAnswer::kGranted;
    if (this->decided_at) {
      step.returns_tokens = true;
    } else {
      this->Decide({TokenVerdict::kGranted, keeper, found->is_other,
                    milliseconds(0), reply.rate},
                   now, step);
    }
    return step;
  }
  found->answer =
      reply.rate > 0 ? KeeperAnswer::kRefused : KeeperAnswer::kNoLease;
  if (this->decided_at) {
    return step;
  }
  if (now < this->latest) {
    this->AskOthers(now, step);
  }
  if (!this->IsAnyPending()) {
    this->DecideWithoutGrant(now, step);
  }
  return step;
}

TokenInquiry::Step TokenInquiry::Expire(TimePoint now) {
  Step step;
  for (Asked& asked_keeper : this->asked) {
    if (asked_keeper.answer == KeeperAnswer::kPending &&
        now - asked_keeper.at >= this->options.keeper_timeout) {
      asked_keeper.answer = KeeperAnswer::kSilent;
      step.silent.push_back(asked_keeper.keeper);
    }
  }
  if (this->decided_at) {
    return step;
  }
  if (now >= this->latest) {
    this->DecideWithoutGrant(now, step);
  } else if (!this->IsAnyPending()) {
    this->AskNext(now, step);
    if (step.ask.empty()) {
      this->DecideWithoutGrant(now, step);
    }
  }
  return step;
}

bool TokenInquiry::IsCounted(const HostName& keeper) const {
  // A silent keeper may have counted nothing, so the next one counts the
  // tokens; too high a demand for a moment costs less than none.
  return std::any_of(this->asked.begin(), this->asked.end(),
                     [&](const Asked& a) {
                       return a.keeper != keeper && !a.is_other &&
                              (a.answer == KeeperAnswer::kRefused ||
                               a.answer == KeeperAnswer::kNoLease);
                     });
}

bool TokenInquiry::IsDone(TimePoint now) const {
  if (!this->decided_at) {
    return false;
  }
  const bool is_any_missing =
      std::any_of(this->asked.begin(), this->asked.end(), [](const Asked& a) {
        return a.answer == KeeperAnswer::kPending ||
               a.answer == KeeperAnswer::kSilent;
      });
  return !is_any_missing ||
         now - *this->decided_at >= this->options.late_grants;
}

std::string TokenInquiry::Answers() const {
  std::string text;
  for (const Asked& a : this->asked) {
    text += (text.empty() ? "" : ",") + a.keeper.Text() + ":" +
            std::string(AnswerName(a.answer));
  }
  return text;
}

void TokenInquiry::Ask(HostName keeper,
                       bool is_other,
                       TimePoint now,
                       Step& step) {
  step.ask.push_back(keeper);
  Asked next;
  next.keeper = std::move(keeper);
  next.at = now;
  next.is_other = is_other;
  this->asked.push_back(std::move(next));
}

void TokenInquiry::AskOthers(TimePoint now, Step& step) {
  if (!this->others) {
    return;
  }
  for (HostName& keeper : std::exchange(this->others, nullptr)()) {
    const bool was_asked =
        std::any_of(this->asked.begin(), this->asked.end(),
                    [&](const Asked& a) { return a.keeper == keeper; });
    if (!was_asked) {
      this->Ask(std::move(keeper), true, now, step);
    }
  }
}

void TokenInquiry::AskNext(TimePoint now, Step& step) {
  // Once the other regions have been asked, the region's keeper has refused or
  // all of its keepers are silent.
  if (this->next_own < this->own.size() && this->others) {
    this->Ask(this->own[this->next_own++], false, now, step);
  } else {
    this->AskOthers(now, step);
  }
}

bool TokenInquiry::IsAnyPending() const {
  return std::any_of(
      this->asked.begin(), this->asked.end(),
      [](const Asked& a) { return a.answer == KeeperAnswer::kPending; });
}

void TokenInquiry::Decide(TokenDecision decision, TimePoint now, Step& step) {
  this->decided_at = now;
  step.decision = std::move(decision);
}

void TokenInquiry::DecideWithoutGrant(TimePoint now, Step& step) {
  TokenDecision decision;
  bool has_replied = false;
  bool has_asked_others = false;
  bool all_refused = true;
  for (const Asked& a : this->asked) {
    has_asked_others |= a.is_other;
    all_refused &= a.answer == KeeperAnswer::kRefused;
    if (a.answer == KeeperAnswer::kRefused) {
      decision.verdict = TokenVerdict::kRefused;
      decision.rate = std::max(decision.rate, a.rate);
      decision.retry_after =
          std::min(decision.retry_after.value_or(a.retry_after), a.retry_after);
    }
    has_replied |= a.answer == KeeperAnswer::kNoLease;
  }
  if (decision.verdict == TokenVerdict::kUseStaticShare && has_replied) {
    decision.retry_after = this->options.lease_due;
  }
  decision.is_unanimous = has_asked_others && all_refused;
  this->Decide(std::move(decision), now, step);
}

void RefusedWorkspaces::Note(const WorkspaceName& workspace,
                             milliseconds retry_after,
                             TimePoint now) {
  if (now - this->swept >= kMaxRemembered) {
    this->swept = now;
    std::erase_if(this->entries,
                  [&](const auto& entry) { return entry.second.until <= now; });
  }
  this->entries[workspace] = {now + std::min(retry_after, kMaxRemembered),
                              now + retry_after};
}

std::optional<milliseconds> RefusedWorkspaces::RetryAfter(
    const WorkspaceName& workspace,
    TimePoint now) const {
  const auto entry = this->entries.find(workspace);
  if (entry == this->entries.end() || entry->second.until <= now) {
    return std::nullopt;
  }
  return std::chrono::ceil<milliseconds>(entry->second.retry_at - now);
}

}  // namespace tamarackwing::policy
