#include "tamarackwing/control/server_roster.h"

#include <algorithm>

namespace tamarackwing::control {
namespace {

using std::chrono::milliseconds;

//! Fifteen times the servers of the largest planned deployment, at some
//! 300 bytes each.
constexpr std::size_t kMaxServers = 16'384;
//! How long a server is remembered after its last report: hosts that missed its
//! shutdown must not take a late report of it for news.
constexpr std::chrono::seconds kRemembered{60};

//! Returns whether `report` was sent before `last` by the same server. Reports
//! without a start time or a number can't be ordered.
bool IsOlder(const policy::ServerReport& report,
             const policy::ServerReport& last) {
  const milliseconds unknown{0};
  if (report.started != last.started) {
    return report.started != unknown && report.started < last.started;
  }
  const bool reopens =
      last.leaving && !report.leaving && report.started != unknown;
  const bool is_late = report.sequence != 0 && report.sequence < last.sequence;
  return reopens || is_late;
}

//! Returns whether `report` says the same as `last`.
bool IsRenewal(const policy::ServerReport& report,
               const policy::ServerReport& last) {
  policy::ServerReport same = report;
  same.sequence = last.sequence;
  same.relayed_for = last.relayed_for;
  return same == last && report.cold_for == milliseconds(0);
}

}  // namespace

ServerRoster::ServerRoster(std::uint64_t epoch, milliseconds lease)
    : epoch(epoch), lease(lease) {}

bool ServerRoster::Note(const policy::ServerReport& report, TimePoint sent) {
  const auto known = this->servers.find(report.name);
  if (known == this->servers.end()) {
    if (this->servers.size() >= kMaxServers) {
      return false;
    }
    this->version += 1;
    this->servers[report.name] = {this->next_id++, report, sent, this->version,
                                  this->version};
    return true;
  }
  Server& server = known->second;
  if (IsOlder(report, server.report)) {
    return false;
  }
  policy::ServerReport next = report;
  if (next.leaving && next.address.empty()) {
    // A deregistration names only the server.
    next = server.report;
    next.leaving = true;
    next.started = std::max(next.started, report.started);
  }
  this->version += 1;
  server.renewed = this->version;
  server.sent = std::max(server.sent, sent);
  if (IsRenewal(next, server.report)) {
    server.report.sequence = next.sequence;
    return false;
  }
  server.report = std::move(next);
  server.changed = this->version;
  return true;
}

const policy::ServerReport* ServerRoster::Find(
    const BackendServerName& name) const {
  const auto known = this->servers.find(name);
  return known == this->servers.end() ? nullptr : &known->second.report;
}

RosterReply ServerRoster::Reply(const RosterRequest& request,
                                TimePoint now) const {
  const bool is_known = request.known.epoch == this->epoch;
  const std::uint64_t since = is_known ? request.known.version : 0;
  RosterReply reply;
  reply.number = request.number;
  reply.reached = {this->epoch, this->version};
  reply.since = since;
  for (const auto& [name, server] : this->servers) {
    const RegionName& region = server.report.region;
    const bool is_wanted = region.IsEmpty() || region == request.region;
    const bool is_current =
        server.report.leaving || now - server.sent < this->lease;
    if (!is_wanted || !is_current || server.renewed <= since) {
      continue;
    }
    const auto age = std::max(
        milliseconds(0), std::chrono::ceil<milliseconds>(now - server.sent));
    if (server.changed <= since) {
      reply.renewals.push_back({server.id, age});
      continue;
    }
    reply.entries.push_back({server.id, server.report});
    reply.entries.back().report.relayed_for = age;
  }
  return reply;
}

void ServerRoster::Expire(TimePoint now) {
  std::erase_if(this->servers, [&](const auto& entry) {
    return now - entry.second.sent >= kRemembered;
  });
}

}  // namespace tamarackwing::control
