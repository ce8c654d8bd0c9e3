#include "tamarackwing/control/message_kind.h"

#include <array>
#include <variant>

namespace tamarackwing::control {
namespace {

constexpr std::array<std::string_view, std::variant_size_v<PeerMessage>>
    kMessageKinds{"log",           "ledger",         "feed_request",
                  "feed_reply",    "propose",        "propose_reply",
                  "withdrawal",    "region_status",  "probe",
                  "probe_reply",   "chunk_request",  "chunk_grant",
                  "chunk_settled", "status_request", "status_reply",
                  "servers",       "rate_report",    "rate_grant",
                  "crash_report",  "quarantine",     "stream_begun",
                  "stream_query",  "stream_answer",  "roster_request",
                  "roster_reply",  "token_request",  "token_reply",
                  "token_return",  "relayed_notice", "load_report",
                  "load_summary",  "server_doubts"};

}  // namespace

std::string_view MessageKind(const PeerMessage& message) {
  return kMessageKinds.at(message.index());
}

bool IsRepeated(const PeerMessage& message) {
  if (const auto* request = std::get_if<FeedRequest>(&message)) {
    return request->next == FeedRequest::kNoEntries;
  }
  return std::holds_alternative<RosterRequest>(message) ||
         std::holds_alternative<policy::RateReport>(message) ||
         std::holds_alternative<policy::CrashReport>(message) ||
         std::holds_alternative<policy::LoadReport>(message);
}

}  // namespace tamarackwing::control
