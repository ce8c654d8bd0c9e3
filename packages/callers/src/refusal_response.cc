#include "tamarackwing/callers/refusal_response.h"

#include <nlohmann/json.hpp>

namespace tamarackwing::callers {
namespace {

std::string RefusalBody(const Refusal& refusal) {
  nlohmann::ordered_json body;
  body["title"] = "request refused";
  body["status"] = RefusalStatus(refusal.code);
  body["code"] = RefusalName(refusal.code);
  body["ran"] = refusal.ran == Ran::kNo ? "no" : "unknown";
  if (refusal.retry_after.count() > 0) {
    body["retry_after_ms"] = refusal.retry_after.count();
  }
  if (!refusal.hosts.empty()) {
    for (const HostName& host : refusal.hosts) {
      body["hosts"].push_back(host.Text());
    }
  }
  return body.dump();
}

}  // namespace

http::Response MakeRefusalResponse(const Refusal& refusal) {
  http::Response response =
      http::MakeResponse(RefusalStatus(refusal.code),
                         "application/problem+json", RefusalBody(refusal));
  response.head.headers.Add("Cache-Control", "no-store");
  return response;
}

std::string MakeRefusalEvent(const Refusal& refusal) {
  return "event: error\ndata: " + RefusalBody(refusal) + "\n\n";
}

}  // namespace tamarackwing::callers
