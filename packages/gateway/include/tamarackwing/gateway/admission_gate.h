#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/policy/fair_queue.h"

namespace tamarackwing::gateway {

//! Result of waiting for a slot.
enum class Admission { kStart, kQueueFull, kTooLate };

//! Admission control: limits the running requests of each target (model version
//! or service) to this host's share of the servers' slots, and queues the rest
//! in a weighted fair queue for each target. Thread safety: every method is
//! callable from any thread.
class AdmissionGate {
 public:
  //! Called once, from any thread, without the gate's lock held.
  using Wake = std::function<void(Admission)>;

  //! Precondition: `capacity`, the maximum number of waiting requests for each
  //! target, is positive.
  explicit AdmissionGate(std::size_t capacity);

  //! Requests a slot; `wake` may be called before this returns. After kStart
  //! Leave must be called once. Precondition: `request.id` is unique.
  void Enter(const std::string& target,
             policy::QueuedRequest request,
             Wake wake);
  //! Releases a slot; `held`, the time that it was held, updates the estimate
  //! of waits.
  void Leave(const std::string& target, Duration held);
  //! Removes a waiting request; returns false if its `wake` has been or is
  //! being called.
  bool Cancel(const std::string& target,
              const WorkspaceName& workspace,
              std::uint64_t id);
  //! Sets this host's share of a target's slots.
  void SetSlots(const std::string& target, std::uint32_t slots);
  //! Removes requests that can no longer start in time, with kTooLate.
  void Expire(TimePoint now);
  //! Returns the expected wait of a new request of a workspace.
  Duration EstimateWait(const std::string& target,
                        const WorkspaceName& workspace) const;
  //! Returns the expected wait behind all requests of a target's queue,
  //! whatever their workspace. For a request that would be in time both here
  //! and in another region, this wait is compared with the wait there, since
  //! forwarding the request shortens the queue for all others.
  Duration EstimateQueueWait(const std::string& target) const;
  //! Returns the number of running and waiting requests of each target.
  std::map<std::string, std::uint32_t> Demand() const;
  //! Returns and resets the tokens of requests started since the last call, by
  //! target and workspace.
  std::map<std::string, std::map<WorkspaceName, TokenCount>> TakeServed();
  //! Records tokens of requests that another host of the region started, so
  //! that fairness between workspaces holds over the region.
  void NoteServedElsewhere(const std::string& target,
                           const WorkspaceName& workspace,
                           std::uint32_t weight,
                           TokenCount tokens);

 private:
  //! Slots and queue of one target.
  struct Pool {
    explicit Pool(std::size_t capacity) : queue(capacity) {}
    policy::FairQueue queue;
    std::map<std::uint64_t, Wake> wakes;
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    //! Moving average of the time that a request holds a slot.
    Duration average_hold{};
  };
  //! A `wake` to call once the lock is released.
  struct Decision {
    Wake wake;
    Admission admission;
  };

  Pool& PoolOf(const std::string& target);
  static Duration WaitBehind(const Pool& pool, std::size_t ahead);
  void StartWaiting(Pool& pool, std::vector<Decision>& decisions);
  static void Decide(Pool& pool,
                     std::uint64_t id,
                     Admission admission,
                     std::vector<Decision>& decisions);
  static void NotifyAll(const std::vector<Decision>& decisions);

  mutable std::mutex mutex;
  std::size_t capacity;
  std::map<std::string, Pool> pools;
};

}  // namespace tamarackwing::gateway
