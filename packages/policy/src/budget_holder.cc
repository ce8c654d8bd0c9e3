#include "tamarackwing/policy/budget_holder.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::policy {

BudgetHolder::BudgetHolder(std::chrono::milliseconds life) : life(life) {}

std::optional<std::uint64_t> BudgetHolder::Reserve(
    const WorkspaceName& workspace,
    TokenCount tokens,
    TimePoint now) {
  const auto found = this->accounts.find(workspace);
  if (found == this->accounts.end()) {
    return std::nullopt;
  }
  Account& account = found->second;
  Expire(account, now);
  TokenCount available = 0;
  for (const Chunk& chunk : account.chunks) {
    available += chunk.available;
  }
  if (available < tokens) {
    return std::nullopt;
  }
  std::vector<ChunkTokens> draws;
  TokenCount missing = tokens;
  for (Chunk& chunk : account.chunks) {
    const TokenCount taken = std::min(missing, chunk.available);
    if (taken == 0) {
      continue;
    }
    chunk.available -= taken;
    chunk.reserved += taken;
    chunk.last_used = now;
    missing -= taken;
    draws.push_back({chunk.id, taken});
  }
  const std::uint64_t reservation = this->next_reservation++;
  account.reservations.emplace(reservation, std::move(draws));
  return reservation;
}

void BudgetHolder::Settle(const WorkspaceName& workspace,
                          std::uint64_t reservation,
                          TokenCount used,
                          TimePoint now) {
  const auto found = this->accounts.find(workspace);
  if (found == this->accounts.end()) {
    return;
  }
  Account& account = found->second;
  Expire(account, now);
  const auto held = account.reservations.find(reservation);
  if (held == account.reservations.end()) {
    return;
  }
  TokenCount left = std::max<TokenCount>(0, used);
  for (const ChunkTokens& draw : held->second) {
    const TokenCount spent = std::min(left, draw.tokens);
    left -= spent;
    const auto chunk =
        std::find_if(account.chunks.begin(), account.chunks.end(),
                     [&](const Chunk& c) { return c.id == draw.chunk; });
    if (chunk != account.chunks.end()) {
      chunk->reserved -= draw.tokens;
      chunk->available += draw.tokens - spent;
    }
  }
  account.reservations.erase(held);
}

void BudgetHolder::Add(const WorkspaceName& workspace,
                       std::uint64_t chunk,
                       TokenCount tokens,
                       ChunkSource source,
                       TimePoint requested,
                       TimePoint now) {
  const TimePoint expires = requested + this->life;
  if (expires <= now || tokens <= 0) {
    return;
  }
  Account& account = this->accounts[workspace];
  Expire(account, now);
  const bool is_known =
      std::any_of(account.chunks.begin(), account.chunks.end(),
                  [&](const Chunk& c) { return c.id == chunk; });
  if (!is_known) {
    account.chunks.push_back({chunk, source, tokens, 0, expires, now});
  }
}

TokenCount BudgetHolder::Available(const WorkspaceName& workspace,
                                   TimePoint now) {
  const auto found = this->accounts.find(workspace);
  if (found == this->accounts.end()) {
    return 0;
  }
  Expire(found->second, now);
  TokenCount available = 0;
  for (const Chunk& chunk : found->second.chunks) {
    available += chunk.available;
  }
  return available;
}

std::vector<std::pair<ChunkSource, ChunkSettled>> BudgetHolder::TakeSettled(
    TimePoint now) {
  std::vector<std::pair<ChunkSource, ChunkSettled>> settled;
  for (auto& [workspace, account] : this->accounts) {
    Expire(account, now);
    std::erase_if(account.chunks, [&](const Chunk& chunk) {
      // Idle chunks are returned before they expire.
      const bool is_idle = now - chunk.last_used > this->life / 4;
      const bool is_done =
          chunk.reserved == 0 && (chunk.available == 0 || is_idle);
      if (is_done) {
        settled.emplace_back(
            chunk.source, ChunkSettled{chunk.id, workspace, chunk.available});
      }
      return is_done;
    });
  }
  std::erase_if(this->accounts, [](const auto& entry) {
    return entry.second.chunks.empty() && entry.second.reservations.empty();
  });
  return settled;
}

void BudgetHolder::Expire(Account& account, TimePoint now) {
  std::erase_if(account.chunks,
                [&](const Chunk& chunk) { return chunk.expires <= now; });
}

}  // namespace tamarackwing::policy
