#pragma once

#include <functional>
#include <memory>
#include <string>

#include "daemon.h"
#include "fake_server.h"
#include "tamarackwing/http/connection.h"
#include "tamarackwing/http/io_threads.h"

namespace tamarackwing::tests {

//! The example set of the tests: keys `desk-key` and `crew-key`, routes
//! `drafting` (a model), `booking` (not idempotent) and `gauge` (idempotent).
//! `regions` lists where data may be, in quotes and with commas.
std::string ExampleSet(const std::string& regions = "\"muscat\"");

//! A folder that goes with the test.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& Path() const { return this->path; }

 private:
  std::string path;
};

//! Settings of a host alone on 127.0.0.1, its ports from `first_port` on.
daemon::Settings SingleHostSettings(std::uint16_t first_port,
                                    const std::string& data_folder);

//! Settings of host `index` of three in the regions muscat, sohar and salalah,
//! all voters, their ports from `first_port` on.
daemon::Settings ClusterSettings(std::size_t index,
                                 std::uint16_t first_port,
                                 const std::string& data_folder);

//! Publishes a set on a cluster that has none; whether it was applied.
bool PublishInitialSet(daemon::Daemon& host,
                       const state::ConfigurationSet& set);

//! An answer read to its end, or to where it was cut.
struct CallResult {
  unsigned status = 0;
  std::string body;
  //! Whether the answer came whole.
  bool complete = false;
};

//! Sends one request and reads the answer.
CallResult Call(http::IoThreads& threads,
                const http::Endpoint& endpoint,
                http::Request request);

//! Sends bytes as they are and reads until the host closes.
std::string CallRaw(http::IoThreads& threads,
                    const http::Endpoint& endpoint,
                    std::string bytes);

//! A request for a model route; `stream` asks for events.
http::Request ModelRequest(const std::string& key, int tokens, bool stream);

//! A request for a service route.
http::Request ServiceRequest(const std::string& key,
                             const std::string& route,
                             const std::string& idempotency_key);

//! Waits until `done`, at most ten seconds; whether it came.
bool WaitFor(const std::function<bool()>& done);

}  // namespace tamarackwing::tests
