#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "tamarackwing/base/clock.h"
#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! A request that waits for a slot.
struct QueuedRequest {
  std::uint64_t id = 0;
  WorkspaceName workspace;
  std::uint32_t weight = 1;
  //! Prompt and output tokens.
  TokenCount tokens = 0;
  //! When it must start to be answered in time.
  TimePoint latest_start;
};

//! Weighted fair queueing by tokens between workspaces (start-time fair
//! queueing: each workspace has a virtual time that its tokens push on).
//! Not thread-safe.
class FairQueue {
 public:
  //! Precondition: `capacity` is positive.
  explicit FairQueue(std::size_t capacity);

  //! Adds a request; false where the queue is full. Where another workspace
  //! holds more than its part, its newest request makes room: see Evicted.
  bool Push(QueuedRequest request);
  //! Takes the request whose workspace is furthest behind.
  std::optional<QueuedRequest> Pop();
  //! Removes requests that can no longer start in time.
  std::vector<QueuedRequest> Expire(TimePoint now);
  //! Removes one request; false where it is not queued.
  bool Remove(const WorkspaceName& workspace, std::uint64_t id);
  //! Requests that gave way to another workspace since the last call.
  std::vector<QueuedRequest> TakeEvicted();
  //! Notes tokens that other hosts of the region served to a workspace.
  void NoteServedElsewhere(const WorkspaceName& workspace,
                           std::uint32_t weight,
                           TokenCount tokens);
  //! Tokens served here by workspace since the last call.
  std::map<WorkspaceName, TokenCount> TakeServed();
  //! Requests that would be served before a new one of this workspace.
  std::size_t Ahead(const WorkspaceName& workspace) const;
  //! Waiting requests.
  std::size_t Size() const { return this->size; }
  //! Waiting tokens of all workspaces.
  TokenCount WaitingTokens() const { return this->waiting_tokens; }

 private:
  struct Flow {
    double virtual_time = 0;
    std::deque<QueuedRequest> requests;
  };

  bool MakeRoomFor(const WorkspaceName& workspace);
  void NoteRemoved(const QueuedRequest& request);
  void ForgetIdleFlows();

  std::size_t capacity;
  std::size_t size = 0;
  TokenCount waiting_tokens = 0;
  double virtual_time = 0;
  std::map<WorkspaceName, Flow> flows;
  std::map<WorkspaceName, TokenCount> served;
  std::vector<QueuedRequest> evicted;
};

}  // namespace tamarackwing::policy
