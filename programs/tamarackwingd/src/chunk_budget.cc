#include "chunk_budget.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::daemon {
namespace {

using std::chrono::milliseconds;

//! Preferred size of a chunk, as a multiple of the waiting reservations'
//! tokens.
constexpr TokenCount kChunkFactor = 4;
//! Max time that a reservation waits for a chunk.
constexpr milliseconds kAllocatorTimeout{500};
//! Margin for clock drift by which a chunk lives longer at its allocator than
//! at its holder.
constexpr milliseconds kMaxDrift{200};
const HostName kSelf("self");

}  // namespace

ChunkBudget::ChunkBudget(const Clock& clock,
                         milliseconds chunk_life,
                         TokenCount open_rate)
    : clock(clock),
      chunk_life(chunk_life),
      holder(chunk_life),
      own_slice(chunk_life + kMaxDrift, clock.Now()),
      open_bucket(open_rate, open_rate, clock.Now()) {}

void ChunkBudget::SetSources(TokenSources given) {
  this->sources = std::move(given);
}

void ChunkBudget::Reserve(const WorkspaceName& workspace,
                          TokenCount tokens,
                          TimePoint /*latest*/,
                          Callback callback) {
  gateway::BudgetAnswer answer;
  std::vector<policy::ChunkRequest> requests;
  {
    const std::lock_guard lock(this->mutex);
    bool decided = true;
    if (workspace.IsEmpty()) {
      answer = this->ReserveOpen(tokens);
    } else if (this->waiting.contains(workspace) ||
               !this->TryReserve(workspace, tokens, answer)) {
      this->waiting[workspace].push_back({tokens, callback, this->clock.Now()});
      this->RequestChunk(workspace, requests);
      decided = false;
    }
    if (!decided) {
      callback = nullptr;
    }
  }
  if (callback) {
    callback(answer);
  }
  for (policy::ChunkRequest& request : requests) {
    this->sources.request(std::move(request));
  }
}

void ChunkBudget::Settle(const WorkspaceName& workspace,
                         std::uint64_t reservation,
                         TokenCount used) {
  const std::lock_guard lock(this->mutex);
  this->holder.Settle(workspace, reservation, used, this->clock.Now());
}

void ChunkBudget::HandleGrant(const policy::ChunkGrant& grant) {
  Decisions answers;
  std::vector<policy::ChunkRequest> requests;
  {
    const std::lock_guard lock(this->mutex);
    const auto request = this->pending_requests.find(grant.chunk);
    if (request == this->pending_requests.end()) {
      return;
    }
    const WorkspaceName workspace = request->second.workspace;
    this->holder.Add(workspace, grant.chunk, grant.tokens,
                     policy::ChunkSource::kAllocator, request->second.at,
                     this->clock.Now());
    this->pending_requests.erase(request);
    auto waiters = this->waiting.find(workspace);
    bool refused = false;
    while (waiters != this->waiting.end() && !waiters->second.empty()) {
      Waiter& first = waiters->second.front();
      gateway::BudgetAnswer answer;
      if (!this->TryReserve(workspace, first.tokens, answer)) {
        // If the allocator granted no tokens, only the first waiter is
        // refused: the next may need fewer tokens, so another chunk is
        // requested for it.
        if (grant.tokens > 0 || refused) {
          break;
        }
        answer.retry_after = std::max(grant.retry_after, milliseconds(1));
        refused = true;
      }
      answers.emplace_back(std::move(first.callback), answer);
      waiters->second.pop_front();
    }
    if (waiters != this->waiting.end() && waiters->second.empty()) {
      this->waiting.erase(waiters);
    } else if (waiters != this->waiting.end()) {
      this->RequestChunk(workspace, requests);
    }
  }
  for (auto& [callback, answer] : answers) {
    callback(answer);
  }
  for (policy::ChunkRequest& request : requests) {
    this->sources.request(std::move(request));
  }
}

void ChunkBudget::Tick() {
  Decisions answers;
  std::vector<policy::ChunkSettled> settles;
  {
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->clock.Now();
    for (auto& [source, settled] : this->holder.TakeSettled(now)) {
      if (source == policy::ChunkSource::kAllocator) {
        settles.push_back(std::move(settled));
      } else {
        this->own_slice.Settle({kSelf, 0, settled.chunk}, settled, now);
      }
    }
    for (auto& [workspace, waiters] : this->waiting) {
      while (!waiters.empty() &&
             now - waiters.front().since > kAllocatorTimeout) {
        gateway::BudgetAnswer answer;
        answer.retry_after = kAllocatorTimeout;
        answers.emplace_back(std::move(waiters.front().callback), answer);
        waiters.pop_front();
      }
    }
    std::erase_if(this->waiting,
                  [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(this->pending_requests, [&](const auto& entry) {
      return now - entry.second.at > this->chunk_life;
    });
  }
  for (auto& [callback, answer] : answers) {
    callback(answer);
  }
  for (policy::ChunkSettled& settled : settles) {
    this->sources.settle(std::move(settled));
  }
}

bool ChunkBudget::TryReserve(const WorkspaceName& workspace,
                             TokenCount tokens,
                             gateway::BudgetAnswer& answer) {
  const TimePoint now = this->clock.Now();
  auto reservation = this->holder.Reserve(workspace, tokens, now);
  if (!reservation) {
    this->FillFromSlice(workspace, tokens);
    reservation = this->holder.Reserve(workspace, tokens, now);
  }
  if (!reservation) {
    return false;
  }
  answer.granted = true;
  answer.reservation = *reservation;
  return true;
}

void ChunkBudget::FillFromSlice(const WorkspaceName& workspace,
                                TokenCount tokens) {
  const TimePoint now = this->clock.Now();
  const auto [rate, burst] = this->sources.slice(workspace);
  this->own_slice.SetShare(workspace, rate, burst, now);
  const TokenCount missing = tokens - this->holder.Available(workspace, now);
  const std::uint64_t chunk = this->next_chunk++;
  const auto grant = this->own_slice.Grant(
      {kSelf, 0, chunk}, {chunk, workspace, missing, missing}, now);
  this->holder.Add(workspace, chunk, grant.tokens,
                   policy::ChunkSource::kOwnSlice, now, now);
}

void ChunkBudget::RequestChunk(const WorkspaceName& workspace,
                               std::vector<policy::ChunkRequest>& requests) {
  const bool is_pending = std::any_of(
      this->pending_requests.begin(), this->pending_requests.end(),
      [&](const auto& entry) { return entry.second.workspace == workspace; });
  if (is_pending) {
    return;
  }
  const TimePoint now = this->clock.Now();
  TokenCount total = 0;
  for (const Waiter& waiter : this->waiting[workspace]) {
    total += waiter.tokens;
  }
  const TokenCount available = this->holder.Available(workspace, now);
  const TokenCount needed = std::max<TokenCount>(
      1, this->waiting[workspace].front().tokens - available);
  const std::uint64_t chunk = this->next_chunk++;
  this->pending_requests[chunk] = {workspace, now};
  requests.push_back({chunk, workspace, needed,
                      std::max(needed, total * kChunkFactor - available)});
}

gateway::BudgetAnswer ChunkBudget::ReserveOpen(TokenCount tokens) {
  const TimePoint now = this->clock.Now();
  gateway::BudgetAnswer answer;
  answer.retry_after = this->open_bucket.TimeUntil(tokens, now);
  answer.granted = this->open_bucket.Level(now) >= tokens;
  if (answer.granted) {
    this->open_bucket.Take(tokens, now);
    answer.reservation = 1;
  }
  return answer;
}

}  // namespace tamarackwing::daemon
