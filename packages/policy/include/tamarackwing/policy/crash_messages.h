#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "tamarackwing/base/identifiers.h"

namespace tamarackwing::policy {

//! Digest of something that a request holds and that may crash servers: one
//! block of its prompt, wherever the block stands, or the request's whole
//! content, which stays the same if its caller repeats it.
using BlockDigest = std::uint64_t;

//! A block of a request that a server held when it crashed.
struct CrashSuspect {
  BlockDigest block = 0;
  //! The request's whole content.
  BlockDigest request = 0;
};

//! A crash of a backend server as one host saw it.
struct ServerCrash {
  BackendServerName server;
  //! Time since the crash when the message was sent.
  std::chrono::milliseconds age{0};
  //! Shared blocks of the sender's requests at the server.
  std::vector<CrashSuspect> suspects;
  //! Whole contents of the sender's requests at the server.
  std::vector<BlockDigest> requests;
};

//! A request with this block or content was answered in full.
struct BlockAnswered {
  BlockDigest block = 0;
  //! Time since the answer when the message was sent.
  std::chrono::milliseconds age{0};
};

//! A block or content whose requests are refused because they crash servers.
struct QuarantinedBlock {
  BlockDigest block = 0;
  //! Time until one request may be sent as a trial; zero if it is due.
  std::chrono::milliseconds next_trial{0};
  //! Trials that ended with a crash.
  std::uint32_t failed_trials = 0;
};

//! What a host has seen since its last acknowledged report.
struct CrashReport {
  //! Sequence number of the host's reports.
  std::uint64_t number = 0;
  std::vector<ServerCrash> crashes;
  //! Answers to requests with watched blocks.
  std::vector<BlockAnswered> answered;
  //! Quarantined blocks of which the host refused requests.
  std::vector<BlockDigest> refused;
  //! The host's quarantine, for a new leader.
  std::vector<QuarantinedBlock> held;
};

//! The leader's decisions; the reply to a report, and sent on each change.
struct QuarantineNotice {
  //! Number of the report that it acknowledges; zero if none.
  std::uint64_t number = 0;
  //! Term of the leader, which began it with neither crashes nor a quarantine;
  //! zero if unknown.
  std::uint64_t term = 0;
  //! Whether blocks that are not listed are released. A new leader does not
  //! know the quarantine until the hosts have reported it.
  bool complete = false;
  //! Blocks whose answers the leader wants to know.
  std::vector<BlockDigest> watched;
  std::vector<QuarantinedBlock> quarantined;
  //! Blocks of which the recipient, and no other host, may send one request.
  std::vector<BlockDigest> trials;
};

}  // namespace tamarackwing::policy
