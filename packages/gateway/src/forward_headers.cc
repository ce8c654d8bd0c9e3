#include "tamarackwing/gateway/forward_headers.h"

#include "tamarackwing/base/digest.h"

namespace tamarackwing::gateway {
namespace {

constexpr const char* kSecretHeader = "Tamarackwing-Cluster-Secret";
constexpr const char* kWorkspaceHeader = "Tamarackwing-Forwarded-Workspace";
constexpr const char* kKeyHeader = "Tamarackwing-Forwarded-Key-Digest";
constexpr const char* kOriginHeader = "Tamarackwing-Origin";

std::string ValueOf(const http::Headers& headers, const char* name) {
  return std::string(headers.Find(name).value_or(""));
}

}  // namespace

void AddForwardHeaders(const ForwardHeaders& values, http::Headers& headers) {
  headers.Add(kSecretHeader, values.secret);
  headers.Add(kWorkspaceHeader, values.workspace.Text());
  headers.Add(kKeyHeader, values.key.Text());
  headers.Add(kOriginHeader, values.origin.Text());
}

std::optional<ForwardHeaders> ReadForwardHeaders(const http::Headers& headers,
                                                 const std::string& secret) {
  ForwardHeaders values;
  values.secret = ValueOf(headers, kSecretHeader);
  if (secret.empty() || !EqualInConstantTime(values.secret, secret)) {
    return std::nullopt;
  }
  values.workspace = WorkspaceName(ValueOf(headers, kWorkspaceHeader));
  values.key = KeyDigest(ValueOf(headers, kKeyHeader));
  values.origin = HostName(ValueOf(headers, kOriginHeader));
  return values;
}

}  // namespace tamarackwing::gateway
