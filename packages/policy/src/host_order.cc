#include "tamarackwing/policy/host_order.h"

#include <algorithm>
#include <string>
#include <utility>

#include "tamarackwing/base/digest.h"

namespace tamarackwing::policy {
namespace {

//! Uses a digest, since std::hash need not return the same value on every host.
std::string Weight(const WorkspaceName& workspace, const HostName& host) {
  std::string bytes = workspace.Text();
  bytes.push_back('\0');
  bytes += host.Text();
  return Sha256Hex(bytes);
}

}  // namespace

std::vector<HostName> OrderHosts(const WorkspaceName& workspace,
                                 std::vector<HostName> hosts) {
  std::vector<std::pair<std::string, HostName>> weighted;
  weighted.reserve(hosts.size());
  for (HostName& host : hosts) {
    std::string weight = Weight(workspace, host);
    weighted.emplace_back(std::move(weight), std::move(host));
  }
  std::sort(weighted.begin(), weighted.end());
  hosts.clear();
  for (auto& [weight, host] : weighted) {
    hosts.push_back(std::move(host));
  }
  return hosts;
}

}  // namespace tamarackwing::policy
