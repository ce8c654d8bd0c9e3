//! Stand-ins for the platform, the operator, clients and replicas, and what a
//! case needs to start the project's own programs and to judge a rule.

#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace trial {

//! Seconds since the program started, by the steady clock.
double Now();
void Sleep(double seconds);
//! Returns whether the disruption is left out (`TROUBLE=0`).
bool IsCalm();

//! Lines of what was sent, answered and run. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  void Add(const std::string& line);

 private:
  std::mutex mutex;
  int file = -1;
};

struct Place {
  std::string address;
  int port = 0;

  std::string Text() const;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

//! Returns the value of a header field, or an empty string.
std::string FieldOf(const Fields& fields, const std::string& name);

struct Request {
  std::string method = "GET";
  std::string target = "/";
  Fields fields;
  std::string body;
};

struct Answer {
  //! Zero if no head came.
  int status = 0;
  Fields fields;
  std::string body;
  bool complete = false;
};

//! Sends one request on a new connection. Gives up after `timeout` seconds and
//! closes the connection then.
Answer Call(const Place& to, const Request& request, double timeout);

//! Opens a connection within `timeout` seconds; -1 if that fails.
int Connect(const Place& to, double timeout);
bool WriteAll(int socket, const std::string& bytes, double timeout);
std::string Encode(const Request& request);
Answer ReadAnswer(int socket, double timeout);
std::optional<Request> ReadRequest(int socket, double timeout);
//! Listens at a place; exits with 2 if that fails.
int Listen(const Place& at);

//! A server with a thread for each connection, kept open between requests.
class Listener {
 public:
  //! Returns nullopt to close the connection without an answer.
  using Handler = std::function<std::optional<Answer>(const Request&)>;

  Listener(Place at, Handler handler);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  //! Closes the port and all connections.
  void Stop();

 private:
  void Serve(int socket);

  Place at;
  Handler handler;
  int socket = -1;
  std::atomic<bool> stopping{false};
  std::mutex mutex;
  std::set<int> open;
  std::thread acceptor;
  std::vector<std::thread> workers;
};

//! A machine of the system and the process on it.
class Machine {
 public:
  Machine(std::string name, nlohmann::json fields, const std::string& folder);
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  void Start();
  //! Sends a signal to the process that was started.
  void Signal(int number) const;
  //! Kills the process and waits for its end.
  void Kill();
  //! Returns whether the process still runs.
  bool IsRunning();
  //! Memory in use, in MB.
  double MemoryMb() const;
  int OpenDescriptors() const;
  const std::string& Name() const { return this->name; }
  Place Front() const;
  Place Ready() const;
  Place Control() const;
  nlohmann::json& Fields() { return this->fields; }
  //! How the last process ended, by the status of waitpid.
  int EndStatus() const { return this->status; }

 private:
  std::string name;
  nlohmann::json fields;
  std::string folder;
  pid_t pid = -1;
  int status = 0;
};

//! One machine of a deployment.
struct Site {
  std::string zone;
  bool is_core = false;
};

//! A small deployment on loopback addresses, with settings rendered from the
//! template of the deploy file.
class Deployment {
 public:
  //! Precondition: there are three machines of the core at least.
  Deployment(Record& record, const std::vector<Site>& sites);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void StartAll();
  std::vector<Machine*> Cores();
  std::vector<Machine*> Fronts();
  //! Returns a free address for a replica of a zone, at a port of its own.
  Place NewPlace(const std::string& zone);
  //! Waits until a front machine says that it is ready.
  bool AwaitReady(Machine& front, double timeout);
  //! Sends an order of the operator to the machines of the core in turn until
  //! one answers with 2xx; each gets a second.
  bool Order(const Request& request, double timeout);
  const std::string& Folder() const { return this->folder; }

 private:
  Record& record;
  std::string folder;
  int second_byte = 0;
  int base_port = 0;
  int next_place = 0;
  std::map<std::string, int> zones;
  std::vector<std::unique_ptr<Machine>> machines;
  std::vector<bool> is_core;
};

struct ReplicaOptions {
  std::string id;
  std::string service;
  std::string zone;
  int slots = 6;
  double work_s = 0.02;
};

//! A sound replica: says that it is ready, runs what it gets, and leaves as the
//! pages say.
class Replica {
 public:
  using OnRun = std::function<void(const Request&)>;

  Replica(Record& record,
          Deployment& deployment,
          std::vector<Machine*> control,
          ReplicaOptions options,
          OnRun on_run = nullptr);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  //! Ends its heartbeats and deregisters: the address of the machine that
  //! acknowledged, or nullopt.
  std::optional<Place> Deregister();
  const Place& At() const { return this->at; }
  void Stop();

 private:
  void Beat();
  std::optional<Answer> Handle(const Request& request);

  Record& record;
  std::vector<Machine*> control;
  ReplicaOptions options;
  OnRun on_run;
  Place at;
  std::int64_t born = 0;
  std::uint64_t sequence = 0;
  std::mutex mutex;
  std::optional<Place> beat_to;
  std::atomic<bool> beating{true};
  std::atomic<int> running{0};
  std::thread beats;
  std::unique_ptr<Listener> listener;
};

//! A configuration with one service and one route for it.
nlohmann::json Configuration(int version);
nlohmann::json Service(const std::string& name);
nlohmann::json Route(const std::string& name,
                     const std::string& prefix,
                     const std::string& kind,
                     const std::string& service);

//! A client's request with a new attempt id and the only tenant's key.
Request ClientRequest(const std::string& method,
                      const std::string& target,
                      int deadline_ms,
                      std::string body = {});

inline constexpr const char* kHostName = "desk.example";
inline constexpr const char* kKey = "i9n73hh2b9wu3fexd9dn";

}  // namespace trial
