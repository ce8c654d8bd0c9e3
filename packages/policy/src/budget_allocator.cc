#include "tamarackwing/policy/budget_allocator.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace tamarackwing::policy {
namespace {

//! A chunk contains the needed tokens and extra ones: at most the tokens that
//! would remain available, divided by this.
constexpr TokenCount kExtraDivisor = 4;

}  // namespace

BudgetAllocator::BudgetAllocator(std::chrono::milliseconds life,
                                 TimePoint since)
    : life(life), since(since) {}

void BudgetAllocator::SetShare(const WorkspaceName& workspace,
                               TokenCount rate,
                               TokenCount burst,
                               TimePoint now) {
  const auto [position, is_new] =
      this->accounts.try_emplace(workspace, rate, burst, this->since);
  Account& account = position->second;
  if (is_new || (account.rate == rate && account.burst == burst)) {
    return;
  }
  this->Expire(account, now);
  account.rate = rate;
  account.burst = burst;
  ResizeBucket(account, now);
}

ChunkGrant BudgetAllocator::Grant(const ChunkId& id,
                                  const ChunkRequest& request,
                                  TimePoint now) {
  ChunkGrant grant{request.chunk, request.workspace, 0, {}};
  const auto found = this->accounts.find(request.workspace);
  if (found == this->accounts.end()) {
    return grant;
  }
  Account& account = found->second;
  this->Expire(account, now);
  const auto known = account.chunks.find(id);
  if (known != account.chunks.end()) {
    grant.tokens = known->second.tokens;
    return grant;
  }
  const TokenCount level = account.bucket.Level(now);
  if (level < request.needed) {
    grant.retry_after = account.bucket.TimeUntil(request.needed, now);
    return grant;
  }
  const TokenCount extra = std::max<TokenCount>(
      0, std::min(request.wanted - request.needed,
                  (level - request.needed) / kExtraDivisor));
  grant.tokens = account.bucket.Take(request.needed + extra, now);
  account.outstanding += grant.tokens;
  account.chunks[id] = {grant.tokens, now + this->life};
  ResizeBucket(account, now);
  return grant;
}

void BudgetAllocator::Settle(const ChunkId& id,
                             const ChunkSettled& settled,
                             TimePoint now) {
  const auto found = this->accounts.find(settled.workspace);
  if (found == this->accounts.end()) {
    return;
  }
  Account& account = found->second;
  this->Expire(account, now);
  const auto chunk = account.chunks.find(id);
  if (chunk == account.chunks.end()) {
    return;
  }
  const TokenCount unused =
      std::clamp<TokenCount>(settled.unused, 0, chunk->second.tokens);
  account.outstanding -= chunk->second.tokens;
  account.chunks.erase(chunk);
  ResizeBucket(account, now);
  account.bucket.Return(unused);
}

void BudgetAllocator::Clear(TimePoint from) {
  this->since = from;
  this->accounts.clear();
}

TokenCount BudgetAllocator::Outstanding(const WorkspaceName& workspace,
                                        TimePoint now) {
  const auto found = this->accounts.find(workspace);
  if (found == this->accounts.end()) {
    return 0;
  }
  this->Expire(found->second, now);
  return found->second.outstanding;
}

TokenCount BudgetAllocator::Level(const WorkspaceName& workspace,
                                  TimePoint now) {
  const auto found = this->accounts.find(workspace);
  if (found == this->accounts.end()) {
    return 0;
  }
  this->Expire(found->second, now);
  return found->second.bucket.Level(now);
}

void BudgetAllocator::Expire(Account& account, TimePoint now) {
  std::vector<std::pair<TimePoint, TokenCount>> expired;
  std::erase_if(account.chunks, [&](const auto& entry) {
    if (entry.second.expires > now) {
      return false;
    }
    expired.emplace_back(entry.second.expires, entry.second.tokens);
    return true;
  });
  // The bucket's capacity grows at each chunk's expiry instead of now, so that
  // the time since the expiry counts for the refill.
  std::sort(expired.begin(), expired.end());
  for (const auto& [expiry, tokens] : expired) {
    account.outstanding -= tokens;
    ResizeBucket(account, expiry);
  }
}

void BudgetAllocator::ResizeBucket(Account& account, TimePoint now) {
  const TokenCount capacity =
      std::max<TokenCount>(0, account.burst - account.outstanding);
  account.bucket.Configure(account.rate, capacity, now);
}

}  // namespace tamarackwing::policy
