//! Gives out one workspace's budget to two holders and stays within it.

#include <iostream>

#include "tamarackwing/policy.h"

int main() {
  using namespace tamarackwing;
  constexpr std::chrono::milliseconds kLife{1'000};
  constexpr std::chrono::milliseconds kDrift{100};
  ManualClock clock;
  const WorkspaceName desk("order-desk");
  policy::BudgetAllocator allocator(kLife + kDrift, clock.Now());
  allocator.SetShare(desk, 100, 1'000, clock.Now());
  clock.Advance(std::chrono::seconds(5));

  policy::BudgetHolder holder(kLife);
  const policy::ChunkRequest request{1, desk, 200, 400};
  const policy::ChunkGrant grant = allocator.Grant(
      {HostName("muscat-1"), 1, request.chunk}, request, clock.Now());
  holder.Add(desk, grant.chunk, grant.tokens, policy::ChunkSource::kAllocator,
             clock.Now(), clock.Now());
  const auto reservation = holder.Reserve(desk, 200, clock.Now());
  if (!reservation) {
    return 1;
  }
  holder.Settle(desk, *reservation, 150, clock.Now());
  std::cout << "granted " << grant.tokens << ", left "
            << holder.Available(desk, clock.Now()) << "\n";
  return 0;
}
