//! Grants a holder a chunk of a workspace's token budget and uses part of it.

#include <iostream>

#include "tamarackwing/policy.h"

int main() {
  using namespace tamarackwing;
  constexpr std::chrono::milliseconds kChunkLife{1'000};
  constexpr std::chrono::milliseconds kMaxClockDrift{100};
  ManualClock clock;
  const WorkspaceName workspace("order-desk");
  policy::BudgetAllocator allocator(kChunkLife + kMaxClockDrift, clock.Now());
  allocator.SetShare(workspace, 100, 1'000, clock.Now());
  clock.Advance(std::chrono::seconds(5));

  policy::BudgetHolder holder(kChunkLife);
  const policy::ChunkRequest request{1, workspace, 200, 400};
  const policy::ChunkGrant grant = allocator.Grant(
      {HostName("muscat-1"), 1, request.chunk}, request, clock.Now());
  holder.Add(workspace, grant.chunk, grant.tokens,
             policy::ChunkSource::kAllocator, clock.Now(), clock.Now());
  const auto reservation = holder.Reserve(workspace, 200, clock.Now());
  if (!reservation) {
    return 1;
  }
  holder.Settle(workspace, *reservation, 150, clock.Now());
  std::cout << "granted " << grant.tokens << ", left "
            << holder.Available(workspace, clock.Now()) << "\n";
  return 0;
}
