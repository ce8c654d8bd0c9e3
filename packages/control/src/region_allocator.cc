#include "tamarackwing/control/region_allocator.h"

#include <algorithm>

namespace tamarackwing::control {
namespace {

constexpr std::chrono::milliseconds kRetryWithoutAllocator{300};
constexpr unsigned kHundredPercent = 100;
constexpr std::chrono::hours kInitialFillTime{1};

}  // namespace

RegionAllocator::RegionAllocator(const ControlOptions& options)
    : self(options.self.name),
      region(options.self.region),
      lease(options.view_lease),
      takeover_wait(options.view_lease + options.chunk_life +
                    2 * options.drift),
      allocator_percent(kHundredPercent - options.slice_percent),
      allocator(options.chunk_life + options.drift, TimePoint::max()) {}

bool RegionAllocator::SetView(const state::RegionView& newer, TimePoint now) {
  if (newer.epoch <= this->view.epoch) {
    return false;
  }
  const bool is_first = newer.epoch == 1;
  this->view = newer;
  this->confirmed.clear();
  if (newer.coordinator != this->self) {
    this->is_coordinator = false;
    return false;
  }
  if (this->is_coordinator) {
    return false;
  }
  this->is_coordinator = true;
  this->grants_from = is_first ? now : now + this->takeover_wait;
  // No tokens were granted before the first view, so the buckets start full.
  this->allocator.Clear(is_first ? now - kInitialFillTime : this->grants_from);
  return true;
}

void RegionAllocator::NoteConfirmed(const HostName& member,
                                    std::uint64_t epoch,
                                    TimePoint sent) {
  if (epoch == this->view.epoch) {
    TimePoint& newest = this->confirmed[member];
    newest = std::max(newest, sent);
  }
}

void RegionAllocator::NoteLeaderContact(TimePoint newer) {
  this->leader_contact = std::max(this->leader_contact, newer);
}

bool RegionAllocator::MayGrant(TimePoint now) const {
  if (!this->is_coordinator || now < this->grants_from) {
    return false;
  }
  if (now < this->leader_contact + this->lease) {
    return true;
  }
  return std::all_of(this->view.members.begin(), this->view.members.end(),
                     [&](const state::ViewMember& member) {
                       if (member.host == this->self) {
                         return true;
                       }
                       const auto found = this->confirmed.find(member.host);
                       return found != this->confirmed.end() &&
                              now < found->second + this->lease;
                     });
}

policy::ChunkGrant RegionAllocator::Grant(
    const policy::BudgetAllocator::ChunkId& id,
    const policy::ChunkRequest& request,
    const state::ControlState& state,
    TimePoint now) {
  if (!this->MayGrant(now)) {
    return {request.chunk, request.workspace, 0, kRetryWithoutAllocator};
  }
  const state::RegionShare share =
      state.ShareOf(request.workspace, this->region);
  this->allocator.SetShare(
      request.workspace, share.rate * this->allocator_percent / kHundredPercent,
      share.burst * this->allocator_percent / kHundredPercent, now);
  return this->allocator.Grant(id, request, now);
}

void RegionAllocator::Settle(const policy::BudgetAllocator::ChunkId& id,
                             const policy::ChunkSettled& settled,
                             TimePoint now) {
  this->allocator.Settle(id, settled, now);
}

}  // namespace tamarackwing::control
