#include "tamarackwing/gateway/forward_headers.h"

#include <charconv>

#include "tamarackwing/base/digest.h"
#include "tamarackwing/base/hex.h"

namespace tamarackwing::gateway {
namespace {

constexpr const char* kSecretHeader = "Tamarackwing-Cluster-Secret";
constexpr const char* kWorkspaceHeader = "Tamarackwing-Forwarded-Workspace";
constexpr const char* kKeyHeader = "Tamarackwing-Forwarded-Key-Digest";
constexpr const char* kOriginHeader = "Tamarackwing-Origin";
constexpr const char* kStreamHeader = "Tamarackwing-Stream-Origin";
constexpr std::size_t kDigits = 16;
constexpr int kHexadecimal = 16;

std::string ValueOf(const http::Headers& headers, const char* name) {
  return std::string(headers.Find(name).value_or(""));
}

std::optional<std::uint64_t> ReadDigest(std::string_view text) {
  std::uint64_t digest = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(),
                                    digest, kHexadecimal);
  const bool is_complete = text.size() == kDigits && read.ec == std::errc() &&
                           read.ptr == text.data() + text.size();
  return is_complete ? std::optional(digest) : std::nullopt;
}

}  // namespace

void AddForwardHeaders(const ForwardHeaders& values, http::Headers& headers) {
  headers.Add(kSecretHeader, values.secret);
  headers.Add(kWorkspaceHeader, values.workspace.Text());
  headers.Add(kKeyHeader, values.key.Text());
  headers.Add(kOriginHeader, values.origin.Text());
  if (values.stream) {
    AddStreamOrigin(*values.stream, headers);
  }
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
  values.stream = ReadStreamOrigin(headers);
  return values;
}

void AddStreamOrigin(const policy::StreamOrigin& origin,
                     http::Headers& headers) {
  headers.Add(kStreamHeader, ToHex(origin.service) + "," +
                                 ToHex(origin.software) + "," +
                                 origin.region.Text());
}

std::optional<policy::StreamOrigin> ReadStreamOrigin(
    const http::Headers& headers) {
  const std::string_view text = headers.Find(kStreamHeader).value_or("");
  constexpr std::size_t kRegionAt = 2 * (kDigits + 1);
  if (text.size() < kRegionAt) {
    return std::nullopt;
  }
  const auto service = ReadDigest(text.substr(0, kDigits));
  const auto software = ReadDigest(text.substr(kDigits + 1, kDigits));
  if (!service || !software) {
    return std::nullopt;
  }
  return policy::StreamOrigin{*service, *software,
                              RegionName(std::string(text.substr(kRegionAt)))};
}

http::Headers WithoutStreamOrigin(const http::Headers& headers) {
  http::Headers result;
  for (const http::Header& field : headers.All()) {
    if (!http::EqualFieldNames(field.name, kStreamHeader)) {
      result.Add(field.name, field.value);
    }
  }
  return result;
}

}  // namespace tamarackwing::gateway
