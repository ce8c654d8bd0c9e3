#include <gflags/gflags.h>

#include <csignal>
#include <sstream>

#include "fake_server.h"

DEFINE_string(name, "engine-1", "name that the server announces to the hosts");
DEFINE_string(region, "", "region");
DEFINE_string(data_centre, "", "data centre");
DEFINE_string(targets, "", "comma-separated model versions or services");
DEFINE_string(listen,
              "127.0.0.1:0",
              "IP address and port; port 0 picks a free one");
DEFINE_string(hosts, "", "comma-separated announcement addresses of hosts");
DEFINE_uint32(slots, 8, "maximum number of concurrent requests");
DEFINE_double(prefill_rate, 20'000, "prompt tokens per second");
DEFINE_double(decode_rate, 400, "output tokens per second");

namespace {

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    items.push_back(item);
  }
  return items;
}

tamarackwing::http::Endpoint ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  return {text.substr(0, colon),
          static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Fake backend server for tests and demonstrations.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  tamarackwing::http::IoThreads threads(1);
  tamarackwing::fakes::FakeIdentity identity;
  identity.name = FLAGS_name;
  identity.region = FLAGS_region;
  identity.data_centre = FLAGS_data_centre;
  identity.targets = Split(FLAGS_targets);
  for (const std::string& host : Split(FLAGS_hosts)) {
    identity.hosts.push_back(ParseEndpoint(host));
  }
  tamarackwing::fakes::FakeBehaviour behaviour;
  behaviour.slots = FLAGS_slots;
  behaviour.prefill_rate = FLAGS_prefill_rate;
  behaviour.decode_rate = FLAGS_decode_rate;
  tamarackwing::fakes::FakeServer server(threads, identity, behaviour);
  if (server.Start(ParseEndpoint(FLAGS_listen)) == 0) {
    return 1;
  }
  int received = 0;
  sigwait(&signals, &received);
  threads.Stop();
  return 0;
}
