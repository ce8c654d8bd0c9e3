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

//! How a wait for a slot ended.
enum class Admission { kStart, kQueueFull, kTooLate };

//! Lets requests start as the host's part of the server slots allows, in the
//! order of a fair queue for each target.
//! Thread safety: every method is callable from any thread.
class AdmissionGate {
 public:
  //! Called once, from any thread, never with the gate's lock held.
  using Wake = std::function<void(Admission)>;

  //! Precondition: `capacity` (waiting requests a target) is positive.
  explicit AdmissionGate(std::size_t capacity);

  //! Asks for a slot; `wake` may be called before this returns. After kStart
  //! the caller owes one Leave. Precondition: `request.id` is unique.
  void Enter(const std::string& target,
             policy::QueuedRequest request,
             Wake wake);
  //! Gives a slot back; `held` trains the estimate of waits.
  void Leave(const std::string& target, Duration held);
  //! Gives up waiting; false where the wake is already under way.
  bool Cancel(const std::string& target,
              const WorkspaceName& workspace,
              std::uint64_t id);
  //! Sets this host's part of a target's slots.
  void SetSlots(const std::string& target, std::uint32_t slots);
  //! Ends the wait of those that can no longer start in time.
  void Expire(TimePoint now);
  //! The wait that a new request of a workspace should expect.
  Duration EstimateWait(const std::string& target,
                        const WorkspaceName& workspace) const;
  //! The wait at the end of the whole queue: what a request that could go
  //! elsewhere would spare those that cannot.
  Duration EstimateQueueWait(const std::string& target) const;
  //! Running and waiting requests of every target.
  std::map<std::string, std::uint32_t> Demand() const;
  //! Tokens started by workspace and target since the last call.
  std::map<std::string, std::map<WorkspaceName, TokenCount>> TakeServed();
  //! Notes tokens that another host of the region started.
  void NoteServedElsewhere(const std::string& target,
                           const WorkspaceName& workspace,
                           std::uint32_t weight,
                           TokenCount tokens);

 private:
  struct Pool {
    explicit Pool(std::size_t capacity) : queue(capacity) {}
    policy::FairQueue queue;
    std::map<std::uint64_t, Wake> wakes;
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    //! Smoothed time that a request holds a slot.
    Duration typical{};
  };
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
  static void Carry(const std::vector<Decision>& decisions);

  mutable std::mutex mutex;
  std::size_t capacity;
  std::map<std::string, Pool> pools;
};

}  // namespace tamarackwing::gateway
