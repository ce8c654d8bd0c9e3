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

class RegionHosts;
class ServerDirectory;
class SnapshotHolder;
class TokenBudget;

//! What every gateway works with; everything outlives it.
struct TrafficDependencies {
  http::IoThreads& threads;
  //! The clock of timeouts.
  const Clock& clock;
  //! The clock by which the snapshot's word is aged.
  const Clock& freshness_clock;
  Metrics& metrics;
  SpanSink& spans;
  SnapshotHolder& snapshots;
  ServerDirectory& servers;
  TokenBudget& budget;
  RegionHosts& regions;
};

}  // namespace tamarackwing::gateway
