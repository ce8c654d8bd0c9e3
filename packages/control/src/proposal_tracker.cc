#include "tamarackwing/control/proposal_tracker.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace tamarackwing::control {
namespace {

//! Time after which an open proposal is sent again; longer than a heartbeat.
constexpr std::chrono::milliseconds kResendAfter{500};

}  // namespace

void ProposalTracker::Add(std::uint64_t number,
                          const state::ControlChange& change,
                          std::string payload,
                          TimePoint now) {
  Own& proposal = this->own[number];
  proposal.change = change;
  proposal.payload = std::move(payload);
  proposal.sent = now;
}

bool ProposalTracker::IsOpen(std::uint64_t number) const {
  return this->own.contains(number);
}

const state::ControlChange& ProposalTracker::ChangeOf(
    std::uint64_t number) const {
  return this->own.at(number).change;
}

const std::string& ProposalTracker::PayloadOf(std::uint64_t number) const {
  return this->own.at(number).payload;
}

LogIndex ProposalTracker::IndexOf(std::uint64_t number) const {
  return this->own.at(number).index;
}

void ProposalTracker::SetIndex(std::uint64_t number, LogIndex index) {
  const auto proposal = this->own.find(number);
  if (proposal != this->own.end()) {
    proposal->second.index = index;
  }
}

bool ProposalTracker::Remove(std::uint64_t number) {
  return this->own.erase(number) > 0;
}

std::vector<std::uint64_t> ProposalTracker::Due(TimePoint now) {
  std::vector<std::uint64_t> due;
  for (auto& [number, proposal] : this->own) {
    if (now - proposal.sent >= kResendAfter) {
      proposal.sent = now;
      due.push_back(number);
    }
  }
  return due;
}

std::optional<std::uint64_t> ProposalTracker::Finish(
    const state::LogEntry& entry) {
  const auto done = std::find_if(
      this->own.begin(), this->own.end(),
      [&](const auto& open) { return open.second.payload == entry.payload; });
  if (done == this->own.end()) {
    return std::nullopt;
  }
  const std::uint64_t number = done->first;
  this->own.erase(done);
  return number;
}

std::vector<ChangeDone> ProposalTracker::FinishKnown(
    const state::ControlState& state) {
  std::vector<ChangeDone> done;
  std::erase_if(this->own, [&](const auto& open) {
    auto outcome = state.KnownOutcome(open.second.change);
    if (outcome) {
      done.push_back({open.first, std::move(*outcome)});
    }
    return outcome.has_value();
  });
  return done;
}

bool ProposalTracker::IsForwardedOpen(const ForwardedProposal& proposal) const {
  return this->forwarded_open.contains(proposal);
}

void ProposalTracker::NoteForwarded(LogIndex index,
                                    Term term,
                                    const ForwardedProposal& proposal) {
  this->forwarded[index] = {term, proposal};
  this->forwarded_open.insert(proposal);
}

std::optional<ForwardedProposal> ProposalTracker::FinishForwarded(
    const state::LogEntry& entry) {
  const auto found = this->forwarded.find(entry.index);
  if (found == this->forwarded.end()) {
    return std::nullopt;
  }
  const AppendedProposal appended = found->second;
  this->forwarded_open.erase(appended.proposal);
  this->forwarded.erase(found);
  // A later leader may have put another entry at this index; only the term
  // tells them apart.
  if (appended.term != entry.term) {
    return std::nullopt;
  }
  return appended.proposal;
}

void ProposalTracker::ClearForwarded() {
  this->forwarded.clear();
  this->forwarded_open.clear();
}

}  // namespace tamarackwing::control
