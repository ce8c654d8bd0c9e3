#include "tamarackwing/policy/fair_queue.h"

#include <algorithm>
#include <utility>

namespace tamarackwing::policy {
namespace {

//! Flows of idle workspaces are discarded when there are more flows than this.
constexpr std::size_t kMaxIdleFlows = 4096;

double VirtualCost(TokenCount tokens, std::uint32_t weight) {
  return static_cast<double>(tokens) / std::max(1U, weight);
}

}  // namespace

FairQueue::FairQueue(std::size_t capacity) : capacity(capacity) {}

bool FairQueue::Push(QueuedRequest request) {
  if (this->size >= this->capacity && !this->MakeRoomFor(request.workspace)) {
    return false;
  }
  Flow& flow = this->flows[request.workspace];
  if (flow.requests.empty()) {
    flow.virtual_time = std::max(flow.virtual_time, this->virtual_time);
  }
  this->size += 1;
  this->waiting_tokens += request.tokens;
  flow.requests.push_back(std::move(request));
  return true;
}

std::optional<QueuedRequest> FairQueue::Pop() {
  auto chosen = this->flows.end();
  for (auto flow = this->flows.begin(); flow != this->flows.end(); ++flow) {
    if (flow->second.requests.empty()) {
      continue;
    }
    if (chosen == this->flows.end() ||
        flow->second.virtual_time < chosen->second.virtual_time) {
      chosen = flow;
    }
  }
  if (chosen == this->flows.end()) {
    return std::nullopt;
  }
  Flow& flow = chosen->second;
  QueuedRequest request = std::move(flow.requests.front());
  flow.requests.pop_front();
  this->NoteRemoved(request);
  this->virtual_time = std::max(this->virtual_time, flow.virtual_time);
  flow.virtual_time += VirtualCost(request.tokens, request.weight);
  this->served[request.workspace] += request.tokens;
  this->DiscardIdleFlows();
  return request;
}

std::vector<QueuedRequest> FairQueue::Expire(TimePoint now) {
  std::vector<QueuedRequest> expired;
  for (auto& [workspace, flow] : this->flows) {
    std::erase_if(flow.requests, [&](const QueuedRequest& request) {
      if (request.latest_start > now) {
        return false;
      }
      expired.push_back(request);
      return true;
    });
  }
  for (const QueuedRequest& request : expired) {
    this->NoteRemoved(request);
  }
  return expired;
}

bool FairQueue::Remove(const WorkspaceName& workspace, std::uint64_t id) {
  const auto flow = this->flows.find(workspace);
  if (flow == this->flows.end()) {
    return false;
  }
  auto& requests = flow->second.requests;
  const auto found =
      std::find_if(requests.begin(), requests.end(),
                   [&](const QueuedRequest& r) { return r.id == id; });
  if (found == requests.end()) {
    return false;
  }
  this->NoteRemoved(*found);
  requests.erase(found);
  return true;
}

std::vector<QueuedRequest> FairQueue::TakeEvicted() {
  return std::exchange(this->evicted, {});
}

void FairQueue::NoteServedElsewhere(const WorkspaceName& workspace,
                                    std::uint32_t weight,
                                    TokenCount tokens) {
  Flow& flow = this->flows[workspace];
  flow.virtual_time = std::max(flow.virtual_time, this->virtual_time) +
                      VirtualCost(tokens, weight);
  this->DiscardIdleFlows();
}

std::map<WorkspaceName, TokenCount> FairQueue::TakeServed() {
  return std::exchange(this->served, {});
}

std::size_t FairQueue::Ahead(const WorkspaceName& workspace) const {
  std::size_t own = 0;
  std::size_t waiting_flows = 0;
  for (const auto& [name, flow] : this->flows) {
    if (name == workspace) {
      own = flow.requests.size();
    } else if (!flow.requests.empty()) {
      waiting_flows += 1;
    }
  }
  // Ignores weights and sizes: each other waiting workspace gets about one turn
  // for each of this workspace's.
  return std::min(this->size, own + (own + 1) * waiting_flows);
}

bool FairQueue::MakeRoomFor(const WorkspaceName& workspace) {
  const auto longest = std::max_element(
      this->flows.begin(), this->flows.end(), [](const auto& a, const auto& b) {
        return a.second.requests.size() < b.second.requests.size();
      });
  const auto own = this->flows.find(workspace);
  const std::size_t own_size =
      own == this->flows.end() ? 0 : own->second.requests.size();
  if (longest == this->flows.end() ||
      longest->second.requests.size() <= own_size + 1) {
    return false;
  }
  QueuedRequest newest = std::move(longest->second.requests.back());
  longest->second.requests.pop_back();
  this->NoteRemoved(newest);
  this->evicted.push_back(std::move(newest));
  return true;
}

void FairQueue::NoteRemoved(const QueuedRequest& request) {
  this->size -= 1;
  this->waiting_tokens -= request.tokens;
}

void FairQueue::DiscardIdleFlows() {
  if (this->flows.size() <= kMaxIdleFlows) {
    return;
  }
  std::erase_if(this->flows, [&](const auto& flow) {
    return flow.second.requests.empty() &&
           flow.second.virtual_time <= this->virtual_time;
  });
}

}  // namespace tamarackwing::policy
