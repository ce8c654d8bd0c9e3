#include "tamarackwing/policy/rendezvous.h"

#include <algorithm>

namespace tamarackwing::policy {
namespace {

constexpr std::uint64_t kFnvBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

//! Continues an FNV-1a hash.
std::uint64_t Fnv1a(std::uint64_t hash, std::string_view text) {
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  }
  return hash;
}

//! The finalizer of MurmurHash3: with FNV alone, the high bits of similar texts
//! hardly differ.
std::uint64_t Mix(std::uint64_t hash) {
  constexpr unsigned kShift = 33;
  hash = (hash ^ (hash >> kShift)) * 0xff51afd7ed558ccdULL;
  hash = (hash ^ (hash >> kShift)) * 0xc4ceb9fe1a85ec53ULL;
  return hash ^ (hash >> kShift);
}

}  // namespace

std::uint64_t RendezvousWeight(std::uint64_t key, std::string_view node) {
  return Mix(Fnv1a(Mix(key), node));
}

std::uint64_t RendezvousKey(std::string_view text) {
  return Mix(Fnv1a(kFnvBasis, text));
}

bool IsAmongOwners(std::uint64_t key,
                   const HostName& host,
                   const std::vector<HostName>& hosts,
                   std::size_t owners) {
  const std::uint64_t own = RendezvousWeight(key, host.Text());
  const auto ahead =
      std::count_if(hosts.begin(), hosts.end(), [&](const HostName& other) {
        return other != host && RendezvousWeight(key, other.Text()) > own;
      });
  return static_cast<std::size_t>(ahead) < owners;
}

}  // namespace tamarackwing::policy
