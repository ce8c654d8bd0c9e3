#include "tamarackwing/policy/slot_share.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace tamarackwing::policy {
namespace {

std::uint64_t TotalDemand(const std::map<HostName, std::uint32_t>& demand) {
  std::uint64_t total = 0;
  for (const auto& [host, wanted] : demand) {
    total += std::uint64_t{wanted} + 1;
  }
  return total;
}

}  // namespace

std::map<HostName, std::uint32_t> ShareSlots(
    std::uint32_t slots,
    const std::map<HostName, std::uint32_t>& demand) {
  std::map<HostName, std::uint32_t> shares;
  if (demand.empty()) {
    return shares;
  }
  const std::uint64_t total = TotalDemand(demand);
  // The largest-remainder method.
  std::vector<std::pair<std::uint64_t, HostName>> remainders;
  std::uint32_t assigned = 0;
  for (const auto& [host, wanted] : demand) {
    const std::uint64_t scaled = (std::uint64_t{wanted} + 1) * slots;
    const auto quotient = static_cast<std::uint32_t>(scaled / total);
    shares[host] = quotient;
    assigned += quotient;
    remainders.emplace_back(scaled % total, host);
  }
  std::sort(
      remainders.begin(), remainders.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
      });
  for (std::size_t i = 0; assigned < slots; ++i) {
    shares[remainders[i % remainders.size()].second] += 1;
    assigned += 1;
  }
  for (auto& [host, share] : shares) {
    share = std::max(share, 1U);
  }
  return shares;
}

}  // namespace tamarackwing::policy
