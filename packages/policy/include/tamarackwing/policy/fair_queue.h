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
  //! Latest start with which its response can still be in time.
  TimePoint latest_start;
};

//! Weighted fair queueing of workspaces' requests by tokens. Uses start-time
//! fair queueing: each workspace has a virtual time that advances by the tokens
//! served to it. Not thread-safe.
class FairQueue {
 public:
  //! Precondition: `capacity` is positive.
  explicit FairQueue(std::size_t capacity);

  //! Adds a request. If the queue is full, first evicts the newest request of
  //! the workspace with the most requests (see TakeEvicted). If the request's
  //! own workspace has as many requests as that one or just one fewer, returns
  //! false and neither evicts nor adds a request.
  bool Push(QueuedRequest request);
  //! Takes the next request of the workspace with the lowest virtual time.
  std::optional<QueuedRequest> Pop();
  //! Removes and returns the requests that can no longer start in time.
  std::vector<QueuedRequest> Expire(TimePoint now);
  //! Removes one request; returns false if it is not queued.
  bool Remove(const WorkspaceName& workspace, std::uint64_t id);
  //! Returns the requests evicted since the last call.
  std::vector<QueuedRequest> TakeEvicted();
  //! Records tokens that other hosts of the region served to a workspace.
  void NoteServedElsewhere(const WorkspaceName& workspace,
                           std::uint32_t weight,
                           TokenCount tokens);
  //! Returns the tokens served here per workspace since the last call.
  std::map<WorkspaceName, TokenCount> TakeServed();
  //! Returns about how many requests would be served before a new one of this
  //! workspace.
  std::size_t Ahead(const WorkspaceName& workspace) const;
  //! Returns the number of waiting requests.
  std::size_t Size() const { return this->size; }
  //! Returns the tokens of all waiting requests.
  TokenCount WaitingTokens() const { return this->waiting_tokens; }

 private:
  struct Flow {
    double virtual_time = 0;
    std::deque<QueuedRequest> requests;
  };

  bool MakeRoomFor(const WorkspaceName& workspace);
  void NoteRemoved(const QueuedRequest& request);
  void DiscardIdleFlows();

  std::size_t capacity;
  std::size_t size = 0;
  TokenCount waiting_tokens = 0;
  double virtual_time = 0;
  std::map<WorkspaceName, Flow> flows;
  std::map<WorkspaceName, TokenCount> served;
  std::vector<QueuedRequest> evicted;
};

}  // namespace tamarackwing::policy
