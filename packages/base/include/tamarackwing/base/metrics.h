#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace tamarackwing {

//! Counters, gauges and latency distributions of a host, keyed by metric name.
//! Thread safety: every method is callable from any thread.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  //! Adds to a counter. Precondition: `name` is a valid metric name.
  void Count(const std::string& name, std::uint64_t by = 1);
  //! Sets a gauge. Precondition: `name` is a valid metric name.
  void Set(const std::string& name, double value);
  //! Removes a gauge, if there is one, until it is set again.
  void Remove(const std::string& name);
  //! Records one latency, rendered in seconds. Precondition: `name` is a valid
  //! metric name.
  void Record(const std::string& name, std::chrono::nanoseconds latency);
  //! Returns all metrics in the Prometheus text format. Quantiles are
  //! estimates.
  std::string Render() const;

 private:
  struct Distribution;
  mutable std::mutex mutex;
  std::map<std::string, std::uint64_t> counters;
  std::map<std::string, double> gauges;
  std::map<std::string, std::unique_ptr<Distribution>> distributions;
};

}  // namespace tamarackwing
