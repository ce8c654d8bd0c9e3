#include "tamarackwing/control/proposal_tracker.h"

#include <chrono>

namespace tamarackwing::control {
namespace {

//! Time after which an open proposal is sent again; longer than a heartbeat.
constexpr std::chrono::milliseconds kResendAfter{500};

}  // namespace

std::uint64_t ProposalTracker::Add(std::string payload, TimePoint now) {
  const std::uint64_t number = this->NextNumber();
  Own& proposal = this->own[number];
  proposal.payload = std::move(payload);
  proposal.sent = now;
  return number;
}

bool ProposalTracker::IsOpen(std::uint64_t number) const {
  return this->own.contains(number);
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

std::vector<std::uint64_t> ProposalTracker::Finish(
    const state::LogEntry& entry) {
  std::vector<std::uint64_t> done;
  for (const auto& [number, proposal] : this->own) {
    if (proposal.index == entry.index && proposal.payload == entry.payload) {
      done.push_back(number);
    }
  }
  for (const std::uint64_t number : done) {
    this->own.erase(number);
  }
  return done;
}

bool ProposalTracker::IsForwardedOpen(const ForwardedProposal& proposal) const {
  return this->forwarded_open.contains({proposal.from, proposal.number});
}

void ProposalTracker::NoteForwarded(LogIndex index,
                                    Term term,
                                    const ForwardedProposal& proposal) {
  this->forwarded[index] = {term, proposal};
  this->forwarded_open.insert({proposal.from, proposal.number});
}

std::optional<ForwardedProposal> ProposalTracker::FinishForwarded(
    const state::LogEntry& entry) {
  const auto found = this->forwarded.find(entry.index);
  if (found == this->forwarded.end()) {
    return std::nullopt;
  }
  const AppendedProposal appended = found->second;
  this->forwarded_open.erase(
      {appended.proposal.from, appended.proposal.number});
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
