#include "tamarackwing/policy/server_load.h"

#include "tamarackwing/policy/rendezvous.h"

namespace tamarackwing::policy {

std::uint32_t ServerIdOf(const BackendServerName& server) {
  return static_cast<std::uint32_t>(RendezvousKey(server.Text()));
}

}  // namespace tamarackwing::policy
