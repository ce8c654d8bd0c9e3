#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

//! Stand-ins for the platform, clients, backend servers and the operator, and
//! the processes of the system under test. Plain sockets and threads.
namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using Fields = std::vector<std::pair<std::string, std::string>>;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

//! Returns whether the disruption is left out.
bool IsTroubleOff();
void Sleep(int ms);

//! The lines of record.txt, with the time since the start in milliseconds.
class Record {
 public:
  //! With `continues`, adds to the record of another process.
  explicit Record(const std::string& path,
                  bool continues = false,
                  Clock::time_point start = Clock::now());
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  void Write(const std::string& line);
  std::int64_t Now() const;
  Clock::time_point Start() const { return this->start; }

 private:
  std::mutex mutex;
  std::FILE* file = nullptr;
  Clock::time_point start;
};

struct HttpMessage {
  //! Zero if there was no complete answer.
  int status = 0;
  std::string method;
  std::string target;
  Fields fields;
  std::string body;

  std::string Field(const std::string& name) const;
};

//! Returns the bytes of an answer with a length.
std::string MakeAnswer(const std::string& status_line,
                       const Fields& fields,
                       const std::string& body);

//! A connected TCP socket with buffered reads.
class Socket {
 public:
  explicit Socket(int descriptor) : descriptor(descriptor) {}
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  bool IsOpen() const { return this->descriptor >= 0; }
  bool Send(const std::string& bytes) const;
  //! Reads a request or an answer with a length, or in chunks; nothing at the
  //! end of the connection or at the deadline.
  std::optional<HttpMessage> Read(Clock::time_point deadline);
  //! Waits until there is something to read; false at the deadline.
  bool AwaitInput(Clock::time_point deadline) const;
  //! Closes with a reset.
  void Reset();
  void Close();

 private:
  bool Fill(Clock::time_point deadline);
  bool ReadLine(Clock::time_point deadline, std::string& line);
  bool ReadBytes(Clock::time_point deadline,
                 std::size_t count,
                 std::string& bytes);

  int descriptor;
  std::string buffer;
};

std::unique_ptr<Socket> Connect(const std::string& address,
                                int port,
                                int timeout_ms);

//! One call on a new connection. The status is zero if no complete answer came
//! within the time.
HttpMessage Call(const std::string& address,
                 int port,
                 const std::string& method,
                 const std::string& target,
                 const Fields& fields,
                 const std::string& body,
                 int timeout_ms);

//! A listener that serves each connection in a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(Socket&)>;
  Listener(const std::string& address, int port, Serve serve);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  bool IsOpen() const { return this->descriptor >= 0; }

 private:
  void Run();

  Serve serve;
  int descriptor;
  std::atomic<bool> stopping{false};
  std::vector<std::thread> connections;
  std::thread acceptor;
};

struct Machine {
  std::string zone;
  std::string region;
  bool is_core = false;
  std::string address;
};

struct Bounds {
  int configuration_ms = 4'000;
  int evacuation_ms = 5'000;
  int revocation_ms = 5'000;
};

//! The machines of one deployment, each with one process, started with the
//! command of the deploy file.
class Deployment {
 public:
  Deployment(std::vector<Machine> machines, Record& record);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  bool StartAll();
  void Start(std::size_t machine, bool bootstraps);
  void Signal(std::size_t machine, int signal);
  //! Sends SIGKILL and waits for the end of the process.
  void Kill(std::size_t machine);
  bool HasEnded(std::size_t machine);
  void EndAll();

  const Machine& At(std::size_t machine) const {
    return this->machines[machine];
  }
  std::size_t Size() const { return this->machines.size(); }
  int FrontPort() const { return this->base_port; }
  int ReadyPort() const { return this->base_port + 1; }
  int ControlPort() const { return this->base_port + 2; }
  int ServerPort() const { return this->base_port + 6; }
  //! An address for a stand-in, which no machine has.
  std::string OtherAddress(int number) const;
  //! Calls the control interface of a core machine.
  HttpMessage Control(std::size_t machine,
                      const std::string& method,
                      const std::string& target,
                      const std::string& body,
                      int timeout_ms) const;
  //! Sends an order to core machines in turn, from `first`, as the operator
  //! does, until it is acknowledged.
  bool Order(const std::string& method,
             const std::string& target,
             const std::string& body,
             std::size_t first,
             int total_ms);
  //! Waits until all front machines say that they are ready.
  bool AwaitReady(int total_ms) const;
  //! Returns the core machine that says in its metrics that it leads.
  std::optional<std::size_t> Leader() const;
  std::vector<std::size_t> Cores() const;

 private:
  std::string Settings(std::size_t machine, bool bootstraps) const;

  std::vector<Machine> machines;
  Record& record;
  std::string folder;
  int network = 0;
  int base_port = 0;
  std::vector<pid_t> processes;
};

//! Sends the heartbeats of one backend server.
class Heartbeats {
 public:
  Heartbeats(Deployment& deployment,
             std::string id,
             std::string service,
             std::string address,
             std::string zone);
  ~Heartbeats();
  Heartbeats(const Heartbeats&) = delete;
  Heartbeats& operator=(const Heartbeats&) = delete;

  //! Reports at once that the server leaves, and that it is gone after the
  //! time. Returns whether that was acknowledged.
  bool Drain(int remaining_ms);
  //! Sends nothing more.
  void Stop() { this->stopping = true; }

 private:
  void Run();
  std::string Body(const std::string& state);

  Deployment& deployment;
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  std::int64_t born;
  std::atomic<int> sequence{0};
  std::atomic<bool> is_draining{false};
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace review
