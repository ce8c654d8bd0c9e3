#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/state/log_entry.h"

namespace tamarackwing::control {

//! A proposal of another host, by that host's number.
struct ForwardedProposal {
  HostName from;
  std::uint64_t number = 0;
};

//! Changes that this host has proposed and has not seen done, and those that
//! other hosts have sent to it as their leader. Not thread-safe.
class ProposalTracker {
 public:
  //! Keeps a change of this host until it is done; returns its number.
  std::uint64_t Add(std::string payload, TimePoint now);
  //! A number that no proposal has.
  std::uint64_t NextNumber() { return this->next_number++; }
  //! Whether a proposal of this host is still to be done.
  bool IsOpen(std::uint64_t number) const;
  bool HasOpen() const { return !this->own.empty(); }
  //! Precondition for both: IsOpen.
  const std::string& PayloadOf(std::uint64_t number) const;
  LogIndex IndexOf(std::uint64_t number) const;
  //! Notes where in this host's own log a proposal stands; zero where another
  //! host has it. Does nothing where it is done.
  void SetIndex(std::uint64_t number, LogIndex index);
  //! Forgets a proposal of this host; false where it was not open.
  bool Remove(std::uint64_t number);
  //! Proposals to send again; each counts as sent now.
  std::vector<std::uint64_t> Due(TimePoint now);
  //! Numbers of this host's proposals that an applied entry ends.
  std::vector<std::uint64_t> Finish(const state::LogEntry& entry);

  //! Whether another host's proposal is under way here.
  bool IsForwardedOpen(const ForwardedProposal& proposal) const;
  void NoteForwarded(LogIndex index, const ForwardedProposal& proposal);
  //! The proposal of another host that an applied entry ends.
  std::optional<ForwardedProposal> FinishForwarded(LogIndex index);
  //! Forgets what other hosts sent: they send it again to a new leader.
  void ForgetForwarded();

 private:
  struct Own {
    std::string payload;
    TimePoint sent;
    LogIndex index = 0;
  };

  std::uint64_t next_number = 1;
  std::map<std::uint64_t, Own> own;
  std::map<LogIndex, ForwardedProposal> forwarded;
  std::set<std::pair<HostName, std::uint64_t>> forwarded_open;
};

}  // namespace tamarackwing::control
