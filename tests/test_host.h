#pragma once

#include <functional>
#include <memory>
#include <string>

#include "daemon.h"
#include "fake_server.h"
#include "tamarackwing/http/connection.h"
#include "tamarackwing/http/io_threads.h"

namespace tamarackwing::tests {

//! Returns the configuration set of the tests as TOML: keys `desk-key` and
//! `crew-key`, the model route `drafting`, and the service routes `booking`
//! (not idempotent) and `gauge` (idempotent). `regions` is a comma-separated
//! list of quoted names: the regions that the residency rule permits and the
//! home regions of workspace `desk`.
std::string ExampleSet(const std::string& regions = "\"muscat\"");

//! A temporary folder, removed with its contents on destruction.
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

//! Returns the settings of a single-host cluster on 127.0.0.1 that listens on
//! five consecutive ports from `first_port`.
daemon::Settings SingleHostSettings(std::uint16_t first_port,
                                    const std::string& data_folder);

//! Returns the settings of host `index` of a cluster of three voters, one each
//! in the regions muscat, sohar and salalah. Host i listens on five consecutive
//! ports from `first_port` + 10 * i.
daemon::Settings ClusterSettings(std::size_t index,
                                 std::uint16_t first_port,
                                 const std::string& data_folder);

//! Publishes the first configuration set of a cluster, retrying for at most
//! five seconds. Returns whether it was applied. Precondition: no set has been
//! published.
bool PublishInitialSet(daemon::Daemon& host,
                       const state::ConfigurationSet& set);

//! A response, read to its end or to the point where it was cut off.
struct CallResult {
  //! Zero if no response head was received.
  unsigned status = 0;
  http::Headers headers;
  std::string body;
  //! Whether the response was received to its end.
  bool complete = false;
};

//! Sends one request on a new connection and waits at most five seconds for the
//! response.
CallResult Call(http::IoThreads& threads,
                const http::Endpoint& endpoint,
                http::Request request);

//! Sends raw bytes and returns everything received until the host closes the
//! connection. There is no timeout.
std::string CallRaw(http::IoThreads& threads,
                    const http::Endpoint& endpoint,
                    std::string bytes);

//! Returns a request for the model route `drafting` that allows `tokens` output
//! tokens; `stream` requests server-sent events.
http::Request ModelRequest(const std::string& key, int tokens, bool stream);

//! Returns a request for a service route; an empty `idempotency_key` is left
//! out.
http::Request ServiceRequest(const std::string& key,
                             const std::string& route,
                             const std::string& idempotency_key);

//! Polls `condition` until it is true, for at most five seconds. Returns
//! whether it became true.
bool WaitFor(const std::function<bool()>& condition);

}  // namespace tamarackwing::tests
