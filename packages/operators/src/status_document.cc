#include "status_document.h"

namespace tamarackwing::operators {
namespace {

using nlohmann::ordered_json;

ordered_json HealthDocument(const control::VoterHealth& health) {
  ordered_json document;
  document["losses_left"] = health.losses_left;
  document["lost"] = ordered_json::array();
  for (const control::VoterSilence& voter : health.lost) {
    ordered_json lost;
    lost["name"] = voter.host.Text();
    lost["silent_ms"] = voter.silence.count();
    lost["reply_age_ms"] = nullptr;
    if (voter.reply_age) {
      lost["reply_age_ms"] = voter.reply_age->count();
    }
    document["lost"].push_back(std::move(lost));
  }
  document["joining"] = nullptr;
  if (!health.joining.IsEmpty()) {
    document["joining"] = health.joining.Text();
  }
  return document;
}

}  // namespace

ordered_json StatusDocument(const state::Snapshot& here,
                            const std::optional<control::StatusReply>& reply) {
  ordered_json body;
  body["here"]["version"] = here.version;
  body["here"]["applied"] = here.applied;
  body["here"]["ready"] = here.ready;
  body["leader"] = nullptr;
  if (!reply) {
    return body;
  }
  body["leader"] = reply->leader.Text();
  body["version"] = reply->version;
  for (const HostName& voter : reply->voters) {
    body["voters"].push_back(voter.Text());
  }
  body["voter_health"] = nullptr;
  if (reply->voter_health) {
    body["voter_health"] = HealthDocument(*reply->voter_health);
  }
  for (const control::HostProgress& host : reply->hosts) {
    body["hosts"].push_back({{"name", host.host.Text()},
                             {"version", host.version},
                             {"live", host.is_live}});
  }
  return body;
}

}  // namespace tamarackwing::operators
