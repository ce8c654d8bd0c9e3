#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"
#include "tamarackwing/policy/rate_messages.h"

namespace tamarackwing::policy {

//! What a bucket keeper has said to a TokenInquiry.
enum class KeeperAnswer {
  kPending,
  kGranted,
  kRefused,
  //! The keeper has no lease and so knows nothing of the workspace's rate.
  kNoLease,
  //! No reply within TokenInquiryOptions::keeper_timeout.
  kSilent
};

//! Durations of a TokenInquiry.
struct TokenInquiryOptions {
  //! How long the reply of a keeper is waited for.
  std::chrono::milliseconds keeper_timeout{250};
  //! Time in which a keeper without a lease gets one: the least interval of its
  //! reports, and the timeout of a reply.
  std::chrono::milliseconds lease_due{300};
  //! How long after its decision an inquiry still returns the tokens of late
  //! grants; longer than messages are queued for a host.
  std::chrono::milliseconds late_grants{2'000};
};

//! Who decides on a request for tokens, and how.
enum class TokenVerdict {
  kGranted,
  kRefused,
  //! No keeper has a lease: the entry host's static share decides.
  kUseStaticShare
};

//! The result of a TokenInquiry.
struct TokenDecision {
  TokenVerdict verdict = TokenVerdict::kUseStaticShare;
  //! The keeper that granted the tokens.
  HostName keeper;
  //! Whether that keeper is one of the second list, of other regions.
  bool is_from_other_region = false;
  //! If refused, the shortest wait that a keeper with a lease named. If the
  //! static share decides, the longest delay that its refusal may name: the
  //! time in which a lease is due; nullopt if no keeper replied, so that none
  //! is due.
  std::optional<std::chrono::milliseconds> retry_after;
  //! The largest rate of the keepers that decided, in tokens per second.
  TokenCount rate = 0;
  //! Whether keepers of other regions were asked, too, and all have refused, so
  //! that another request would be refused as well.
  bool is_unanimous = false;
};

//! Asks bucket keepers for the tokens of one request: those of the host's
//! region one after the other while they do not reply, and once one refuses or
//! has no lease, the keepers of other regions, all at the same time. The first
//! grant wins.
//!
//! Answers a peak that moves between regions while the leader changes: one
//! region's keeper then has no lease or one for the demand of a moment ago,
//! while other keepers hold most of the rate. Leases bound what all keepers
//! grant, so asking more of them admits no more than the rate. A state machine
//! without I/O. Not thread-safe.
class TokenInquiry {
 public:
  using Others = std::function<std::vector<HostName>()>;

  //! What to do after an event.
  struct Step {
    std::vector<HostName> ask;
    //! Keepers that did not reply in time, from now on.
    std::vector<HostName> silent;
    //! Whether the tokens of the reply must be returned to its keeper, because
    //! another one's grant is used or the request was refused.
    bool returns_tokens = false;
    //! Set in exactly one step.
    std::optional<TokenDecision> decision;
  };

  //! `own` has the keepers of the host's region in the order of asking.
  //! `others` returns those of other regions to ask at the same time, of which
  //! those that were already asked are left out; called at most once, during a
  //! later call. At `latest`, what is known decides.
  TokenInquiry(std::vector<HostName> own,
               Others others,
               TimePoint latest,
               TokenInquiryOptions options);

  //! Precondition: called once, before the other methods.
  Step Start(TimePoint now);
  //! Ignores repeated replies, and those of hosts that were not asked.
  Step NoteReply(const HostName& keeper,
                 const TokenReply& reply,
                 TimePoint now);
  //! Applies timeouts; called from time to time.
  Step Expire(TimePoint now);

  //! Returns whether the tokens were already asked for at a keeper, which
  //! counts them as demand.
  bool IsCounted(const HostName& keeper) const;
  //! Returns whether no reply is of use any more.
  bool IsDone(TimePoint now) const;
  //! Returns what each keeper that was asked has said, for logs.
  std::string Answers() const;

 private:
  struct Asked {
    HostName keeper;
    TimePoint at;
    KeeperAnswer answer = KeeperAnswer::kPending;
    std::chrono::milliseconds retry_after{0};
    TokenCount rate = 0;
    bool is_other = false;
  };

  void Ask(HostName keeper, bool is_other, TimePoint now, Step& step);
  //! Asks the other regions' keepers, unless they have been asked.
  void AskOthers(TimePoint now, Step& step);
  //! Asks the region's next keeper, or else the other regions' keepers.
  void AskNext(TimePoint now, Step& step);
  bool IsAnyPending() const;
  void Decide(TokenDecision decision, TimePoint now, Step& step);
  //! Decides without a grant, by what the keepers have said.
  void DecideWithoutGrant(TimePoint now, Step& step);

  std::vector<HostName> own;
  std::size_t next_own = 0;
  Others others;
  TimePoint latest;
  TokenInquiryOptions options;
  std::vector<Asked> asked;
  std::optional<TimePoint> decided_at;
};

//! Workspaces that the keepers of all regions have just refused. An entry host
//! refuses their requests at once for a short time, so that a workspace with
//! many times its rate does not make keepers of all regions handle each of its
//! requests. Not thread-safe.
class RefusedWorkspaces {
 public:
  //! Remembers a refusal and the shortest wait that the keepers named.
  void Note(const WorkspaceName& workspace,
            std::chrono::milliseconds retry_after,
            TimePoint now);
  //! Returns the rest of that wait while the refusal is remembered.
  std::optional<std::chrono::milliseconds> RetryAfter(
      const WorkspaceName& workspace,
      TimePoint now) const;

 private:
  struct Entry {
    TimePoint until;
    TimePoint retry_at;
  };

  TimePoint swept;
  std::map<WorkspaceName, Entry> entries;
};

}  // namespace tamarackwing::policy
