#pragma once

namespace tamarackwing {
class Clock;
class Metrics;
class SpanSink;
}  // namespace tamarackwing

namespace tamarackwing::http {
class IoThreads;
}

namespace tamarackwing::gateway {

class BlockQuarantine;
class RegionHosts;
class ServerDirectory;
class SnapshotHolder;
class StreamOrigins;
class TokenBudget;

//! Dependencies of every gateway; all of them must outlive it.
struct TrafficDependencies {
  http::IoThreads& threads;
  //! Clock for timeouts.
  const Clock& clock;
  //! Clock for the age of the snapshot's last leader contact; it also counts
  //! suspended time.
  const Clock& freshness_clock;
  Metrics& metrics;
  SpanSink& spans;
  SnapshotHolder& snapshots;
  ServerDirectory& servers;
  TokenBudget& budget;
  RegionHosts& regions;
  BlockQuarantine& quarantine;
  StreamOrigins& streams;
};

}  // namespace tamarackwing::gateway
