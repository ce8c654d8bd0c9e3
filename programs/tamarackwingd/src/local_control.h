#pragma once

#include <map>
#include <mutex>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/gateway/operation_permits.h"
#include "tamarackwing/gateway/region_hosts.h"
#include "tamarackwing/gateway/snapshot_holder.h"
#include "tamarackwing/gateway/token_budget.h"
#include "tamarackwing/policy/token_bucket.h"

namespace tamarackwing::daemon {

//! Budgets of a host that stands alone. Thread safety: from any thread.
class LocalBudget final : public gateway::TokenBudget {
 public:
  LocalBudget(const Clock& clock, gateway::SnapshotHolder& snapshots);
  void Reserve(const WorkspaceName& workspace,
               TokenCount tokens,
               Callback callback) override;
  void Settle(const WorkspaceName& workspace,
              std::uint64_t reservation,
              TokenCount used) override;

 private:
  const Clock& clock;
  gateway::SnapshotHolder& snapshots;
  std::mutex mutex;
  std::map<WorkspaceName, policy::TokenBucket> buckets;
};

//! A host without a ledger refuses operations.
class NoPermits final : public gateway::OperationPermits {
 public:
  void Ask(const RegionName& region,
           const OperationId& operation,
           Callback callback) override;
  void Release(const RegionName&, const OperationId&) override {}
  void Answer(const RegionName&,
              const OperationId&,
              const gateway::OperationAnswer&) override {}
  void Lose(const RegionName&, const OperationId&) override {}
};

//! A host that knows no others.
class NoRegions final : public gateway::RegionHosts {
 public:
  std::vector<gateway::ForwardTarget> Candidates(
      const std::string& target) override;
};

}  // namespace tamarackwing::daemon
