#include "tamarackwing/gateway/path_call.h"

#include "tamarackwing/base/digest.h"

namespace tamarackwing::gateway {

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::uint64_t DigestContent(const WorkspaceName& workspace,
                            const PathCall& call) {
  std::string identity;
  for (const std::string_view part :
       {std::string_view(workspace.Text()), std::string_view(call.authority),
        std::string_view(call.method), std::string_view(call.target)}) {
    identity += part;
    identity.push_back('\0');
  }
  identity += Sha256Hex(call.body);
  return Sha256Prefix(identity);
}

}  // namespace tamarackwing::gateway
