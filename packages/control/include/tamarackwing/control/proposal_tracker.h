#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/control/control_effects.h"
#include "tamarackwing/state/control_change.h"
#include "tamarackwing/state/control_state.h"
#include "tamarackwing/state/log_entry.h"

namespace tamarackwing::control {

//! A proposal of another host.
struct ForwardedProposal {
  HostName from;
  //! Unique for the host's process only.
  std::uint64_t number = 0;
  //! Digest of the payload, which names the process.
  std::uint64_t payload = 0;

  friend auto operator<=>(const ForwardedProposal&,
                          const ForwardedProposal&) = default;
};

//! Tracks the open proposals of this host, and those that other hosts have sent
//! to it as the leader. A proposal is open until its change is applied. Not
//! thread-safe.
class ProposalTracker {
 public:
  //! Precondition: no earlier process of this host has used a higher number
  //! than `last_number`.
  explicit ProposalTracker(std::uint64_t last_number = 0)
      : next_number(last_number + 1) {}

  //! Adds a proposal of this host. `change` tells its known outcome and needs
  //! no content. Preconditions: `number` is from NextNumber; no other proposal
  //! has the same payload.
  void Add(std::uint64_t number,
           const state::ControlChange& change,
           std::string payload,
           TimePoint now);
  //! Returns a number that no proposal has.
  std::uint64_t NextNumber() { return this->next_number++; }
  //! Whether a proposal of this host is open.
  bool IsOpen(std::uint64_t number) const;
  bool HasOpen() const { return !this->own.empty(); }
  //! Precondition of ChangeOf, PayloadOf and IndexOf: IsOpen(number).
  const state::ControlChange& ChangeOf(std::uint64_t number) const;
  const std::string& PayloadOf(std::uint64_t number) const;
  LogIndex IndexOf(std::uint64_t number) const;
  //! Records the index of a proposal in this host's own log; zero if it was
  //! sent to another host. Does nothing if the proposal is not open.
  void SetIndex(std::uint64_t number, LogIndex index);
  //! Removes a proposal of this host. Returns false if it was not open.
  bool Remove(std::uint64_t number);
  //! Returns the proposals to send again, and counts them as sent at `now`.
  std::vector<std::uint64_t> Due(TimePoint now);
  //! Removes the proposal of this host that an applied entry completes, and
  //! returns its number.
  std::optional<std::uint64_t> Finish(const state::LogEntry& entry);
  //! Removes the proposals of this host whose outcome `state` determines, and
  //! returns it.
  std::vector<ChangeDone> FinishKnown(const state::ControlState& state);

  //! Whether another host's proposal is in this host's log and not yet applied.
  bool IsForwardedOpen(const ForwardedProposal& proposal) const;
  //! Records that a proposal of another host is the entry at `index` that this
  //! host appended as the leader of `term`.
  void NoteForwarded(LogIndex index,
                     Term term,
                     const ForwardedProposal& proposal);
  //! Returns the proposal of another host that an applied entry completes.
  //! Removes it, and any whose entry was replaced by this one.
  std::optional<ForwardedProposal> FinishForwarded(
      const state::LogEntry& entry);
  //! Discards the proposals of other hosts, which send them again to a new
  //! leader.
  void ClearForwarded();

 private:
  struct Own {
    state::ControlChange change;
    std::string payload;
    TimePoint sent;
    LogIndex index = 0;
  };

  struct AppendedProposal {
    Term term = 0;
    ForwardedProposal proposal;
  };

  std::uint64_t next_number;
  std::map<std::uint64_t, Own> own;
  std::map<LogIndex, AppendedProposal> forwarded;
  std::set<ForwardedProposal> forwarded_open;
};

}  // namespace tamarackwing::control
