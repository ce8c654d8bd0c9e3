//! Benchmarks of what a path call costs beside its routing decision.

#include <benchmark/benchmark.h>

#include "tamarackwing/gateway/path_call.h"
#include "tamarackwing/gateway/stream_origins.h"

namespace tamarackwing::gateway {
namespace {

//! Measures the digest that identifies a request, by the size of its body.
void ContentDigestOfARequest(benchmark::State& state) {
  PathCall call;
  call.authority = "desk.example";
  call.method = "POST";
  call.target = "/quote/4c4c48";
  call.body.assign(static_cast<std::size_t>(state.range(0)), 'x');
  const WorkspaceName workspace("order-desk");
  for (auto _ : state) {
    benchmark::DoNotOptimize(DigestContent(workspace, call));
  }
}
BENCHMARK(ContentDigestOfARequest)->Arg(0)->Arg(18'000)->Arg(4 << 20);

//! Measures recording where a stream began, with as many as are remembered.
void StreamOriginAtItsBounds(benchmark::State& state) {
  ManualClock clock;
  StreamOrigins origins(clock);
  std::uint64_t stream = 0;
  for (; stream < StreamOrigins::kMaxStreams; ++stream) {
    origins.NoteBegun(stream, {1, 2, RegionName("muscat")});
  }
  for (auto _ : state) {
    origins.NoteBegun(stream++, {1, 2, RegionName("muscat")});
  }
}
BENCHMARK(StreamOriginAtItsBounds);

}  // namespace
}  // namespace tamarackwing::gateway
