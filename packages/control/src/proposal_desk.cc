#include "tamarackwing/control/proposal_desk.h"

#include <chrono>

namespace tamarackwing::control {
namespace {

//! A proposal without an outcome is sent again after a few heartbeats.
constexpr std::chrono::milliseconds kResend{500};

}  // namespace

std::uint64_t ProposalDesk::Add(std::string payload, TimePoint now) {
  const std::uint64_t number = this->NextNumber();
  Own& proposal = this->own[number];
  proposal.payload = std::move(payload);
  proposal.sent = now;
  return number;
}

bool ProposalDesk::IsOpen(std::uint64_t number) const {
  return this->own.contains(number);
}

const std::string& ProposalDesk::PayloadOf(std::uint64_t number) const {
  return this->own.at(number).payload;
}

LogIndex ProposalDesk::IndexOf(std::uint64_t number) const {
  return this->own.at(number).index;
}

void ProposalDesk::SetIndex(std::uint64_t number, LogIndex index) {
  const auto proposal = this->own.find(number);
  if (proposal != this->own.end()) {
    proposal->second.index = index;
  }
}

bool ProposalDesk::Remove(std::uint64_t number) {
  return this->own.erase(number) > 0;
}

std::vector<std::uint64_t> ProposalDesk::Due(TimePoint now) {
  std::vector<std::uint64_t> due;
  for (auto& [number, proposal] : this->own) {
    if (now - proposal.sent >= kResend) {
      proposal.sent = now;
      due.push_back(number);
    }
  }
  return due;
}

std::vector<std::uint64_t> ProposalDesk::Finish(const state::LogEntry& entry) {
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

bool ProposalDesk::IsForwardedOpen(const ForwardedProposal& proposal) const {
  return this->forwarded_open.contains({proposal.from, proposal.number});
}

void ProposalDesk::NoteForwarded(LogIndex index,
                                 const ForwardedProposal& proposal) {
  this->forwarded[index] = proposal;
  this->forwarded_open.insert({proposal.from, proposal.number});
}

std::optional<ForwardedProposal> ProposalDesk::FinishForwarded(LogIndex index) {
  const auto found = this->forwarded.find(index);
  if (found == this->forwarded.end()) {
    return std::nullopt;
  }
  const ForwardedProposal proposal = found->second;
  this->forwarded_open.erase({proposal.from, proposal.number});
  this->forwarded.erase(found);
  return proposal;
}

void ProposalDesk::ForgetForwarded() {
  this->forwarded.clear();
  this->forwarded_open.clear();
}

}  // namespace tamarackwing::control
