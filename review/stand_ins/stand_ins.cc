#include "stand_ins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <utility>

namespace review {
namespace {

constexpr const char* kProgram = "target/programs/tamarackwingd/tamarackwingd";
constexpr int kHeartbeatMs = 1'200;
constexpr std::size_t kReadBytes = 16 * 1024;
//! Peer and forward ports follow the control port.
constexpr int kPeerPort = 3;
constexpr int kForwardPort = 4;
constexpr int kMetricsPort = 5;
constexpr int kPorts = 7;
constexpr int kSeeds = 3;

int MsUntil(Clock::time_point deadline) {
  const auto left =
      std::chrono::ceil<Milliseconds>(deadline - Clock::now()).count();
  return static_cast<int>(std::max<std::int64_t>(0, left));
}

sockaddr_in AddressOf(const std::string& address, int port) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, address.c_str(), &result.sin_addr);
  return result;
}

bool EqualNames(const std::string& a, const std::string& b) {
  return a.size() == b.size() && ::strcasecmp(a.c_str(), b.c_str()) == 0;
}

bool CanListen(const std::string& address, int port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = AddressOf(address, port);
  const bool can = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&at),
                          sizeof(at)) == 0;
  ::close(descriptor);
  return can;
}

std::string Quoted(const std::string& text) {
  return "\"" + text + "\"";
}

}  // namespace

bool IsTroubleOff() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

void Sleep(int ms) {
  std::this_thread::sleep_for(Milliseconds(ms));
}

Record::Record(const std::string& path, bool continues, Clock::time_point start)
    : start(start) {
  if (!continues) {
    std::remove(path.c_str());
  }
  this->file = std::fopen(path.c_str(), "a");
}

Record::~Record() {
  if (this->file != nullptr) {
    std::fclose(this->file);
  }
}

std::int64_t Record::Now() const {
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - this->start)
      .count();
}

void Record::Write(const std::string& line) {
  const std::lock_guard lock(this->mutex);
  const long long now = this->Now();
  if (this->file != nullptr) {
    std::fprintf(this->file, "%7lld ms  %s\n", now, line.c_str());
    std::fflush(this->file);
  }
  std::printf("%7lld ms  %s\n", now, line.c_str());
  std::fflush(stdout);
}

std::string HttpMessage::Field(const std::string& name) const {
  for (const auto& [known, value] : this->fields) {
    if (EqualNames(known, name)) {
      return value;
    }
  }
  return {};
}

std::string MakeAnswer(const std::string& status_line,
                       const Fields& fields,
                       const std::string& body) {
  std::string bytes = "HTTP/1.1 ";
  bytes.append(status_line).append("\r\n");
  for (const auto& [name, value] : fields) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  }
  bytes.append("Content-Length: ").append(std::to_string(body.size()));
  return bytes.append("\r\n\r\n").append(body);
}

Socket::~Socket() {
  this->Close();
}

void Socket::Close() {
  if (this->descriptor >= 0) {
    ::close(this->descriptor);
    this->descriptor = -1;
  }
}

void Socket::Reset() {
  const linger at_once{1, 0};
  ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &at_once,
               sizeof(at_once));
  this->Close();
}

bool Socket::Send(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(this->descriptor, bytes.data() + sent,
                                 bytes.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Socket::AwaitInput(Clock::time_point deadline) const {
  pollfd wanted{this->descriptor, POLLIN, 0};
  return ::poll(&wanted, 1, MsUntil(deadline)) > 0;
}

bool Socket::Fill(Clock::time_point deadline) {
  if (!this->AwaitInput(deadline)) {
    return false;
  }
  std::string bytes(kReadBytes, '\0');
  const ssize_t count = ::recv(this->descriptor, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return false;
  }
  this->buffer.append(bytes, 0, static_cast<std::size_t>(count));
  return true;
}

bool Socket::ReadLine(Clock::time_point deadline, std::string& line) {
  std::size_t end = this->buffer.find("\r\n");
  while (end == std::string::npos) {
    if (!this->Fill(deadline)) {
      return false;
    }
    end = this->buffer.find("\r\n");
  }
  line = this->buffer.substr(0, end);
  this->buffer.erase(0, end + 2);
  return true;
}

bool Socket::ReadBytes(Clock::time_point deadline,
                       std::size_t count,
                       std::string& bytes) {
  while (this->buffer.size() < count) {
    if (!this->Fill(deadline)) {
      return false;
    }
  }
  bytes += this->buffer.substr(0, count);
  this->buffer.erase(0, count);
  return true;
}

std::optional<HttpMessage> Socket::Read(Clock::time_point deadline) {
  HttpMessage message;
  std::string line;
  if (!this->ReadLine(deadline, line)) {
    return std::nullopt;
  }
  std::istringstream first(line);
  std::string word;
  first >> message.method >> message.target;
  if (message.method.rfind("HTTP/", 0) == 0) {
    message.status = std::atoi(message.target.c_str());
  }
  while (true) {
    if (!this->ReadLine(deadline, line)) {
      return std::nullopt;
    }
    if (line.empty()) {
      break;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      return std::nullopt;
    }
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.fields.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
  }
  if (EqualNames(message.Field("Transfer-Encoding"), "chunked")) {
    while (true) {
      if (!this->ReadLine(deadline, line)) {
        return std::nullopt;
      }
      const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
      if (!this->ReadBytes(deadline, size, message.body) ||
          !this->ReadLine(deadline, line)) {
        return std::nullopt;
      }
      if (size == 0) {
        return message;
      }
    }
  }
  const std::size_t length =
      std::strtoul(message.Field("Content-Length").c_str(), nullptr, 10);
  if (!this->ReadBytes(deadline, length, message.body)) {
    return std::nullopt;
  }
  return message;
}

std::unique_ptr<Socket> Connect(const std::string& address,
                                int port,
                                int timeout_ms) {
  const int descriptor =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in at = AddressOf(address, port);
  static_cast<void>(::connect(
      descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof(at)));
  pollfd wanted{descriptor, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof(error);
  const bool answered = ::poll(&wanted, 1, timeout_ms) > 0;
  ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
  if (!answered || error != 0) {
    ::close(descriptor);
    return std::make_unique<Socket>(-1);
  }
  ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_unique<Socket>(descriptor);
}

HttpMessage Call(const std::string& address,
                 int port,
                 const std::string& method,
                 const std::string& target,
                 const Fields& fields,
                 const std::string& body,
                 int timeout_ms) {
  const auto deadline = Clock::now() + Milliseconds(timeout_ms);
  const auto socket = Connect(address, port, std::min(timeout_ms, 1'000));
  if (!socket->IsOpen()) {
    return {};
  }
  std::string bytes = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : fields) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  }
  if (!body.empty() || method == "POST" || method == "PUT") {
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  bytes += "\r\n" + body;
  if (!socket->Send(bytes)) {
    return {};
  }
  auto answer = socket->Read(deadline);
  return answer ? *answer : HttpMessage();
}

Listener::Listener(const std::string& address, int port, Serve serve)
    : serve(std::move(serve)),
      descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int on = 1;
  ::setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in at = AddressOf(address, port);
  const bool listens =
      ::bind(this->descriptor, reinterpret_cast<const sockaddr*>(&at),
             sizeof(at)) == 0 &&
      ::listen(this->descriptor, SOMAXCONN) == 0;
  if (!listens) {
    ::close(this->descriptor);
    this->descriptor = -1;
    return;
  }
  this->acceptor = std::thread([this] { this->Run(); });
}

Listener::~Listener() {
  this->stopping = true;
  if (this->acceptor.joinable()) {
    ::shutdown(this->descriptor, SHUT_RDWR);
    this->acceptor.join();
  }
  for (std::thread& connection : this->connections) {
    connection.join();
  }
  if (this->descriptor >= 0) {
    ::close(this->descriptor);
  }
}

void Listener::Run() {
  while (!this->stopping) {
    const int accepted =
        ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    const int on = 1;
    ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    this->connections.emplace_back([this, accepted] {
      Socket socket(accepted);
      this->serve(socket);
    });
  }
}

Deployment::Deployment(std::vector<Machine> given, Record& record)
    : machines(std::move(given)), record(record) {
  std::string path =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  this->folder = ::mkdtemp(path.data()) == nullptr ? "" : path;
  std::random_device seed;
  bool is_free = false;
  while (!is_free) {
    this->network = static_cast<int>(2 + seed() % 250);
    this->base_port = static_cast<int>(20'000 + 10 * (seed() % 1'000));
    is_free = true;
    for (std::size_t i = 0; i < this->machines.size(); ++i) {
      this->machines[i].address = "127.77." + std::to_string(this->network) +
                                  "." + std::to_string(i + 1);
      for (int port = 0; port < kPorts; ++port) {
        is_free = is_free &&
                  CanListen(this->machines[i].address, this->base_port + port);
      }
    }
  }
  this->processes.assign(this->machines.size(), 0);
}

Deployment::~Deployment() {
  this->EndAll();
  if (!this->folder.empty()) {
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }
}

std::string Deployment::OtherAddress(int number) const {
  return "127.77." + std::to_string(this->network) + "." +
         std::to_string(100 + number);
}

std::vector<std::size_t> Deployment::Cores() const {
  std::vector<std::size_t> cores;
  for (std::size_t i = 0; i < this->machines.size(); ++i) {
    if (this->machines[i].is_core) {
      cores.push_back(i);
    }
  }
  return cores;
}

//! Fills in deploy/settings.toml.template for one machine.
std::string Deployment::Settings(std::size_t machine, bool bootstraps) const {
  const Machine& self = this->machines[machine];
  const auto at = [&](int port) {
    return Quoted(self.address + ":" + std::to_string(port));
  };
  std::string seeds;
  int count = 0;
  for (const std::size_t core : this->Cores()) {
    if (count++ < kSeeds) {
      seeds += (seeds.empty() ? "" : ", ") +
               Quoted(this->machines[core].address + ":" +
                      std::to_string(this->ControlPort()));
    }
  }
  std::ostringstream text;
  text << "name = " << Quoted(self.address) << "\n"
       << "region = " << Quoted(self.region) << "\n"
       << "data_centre = " << Quoted(self.zone) << "\n"
       << "cluster_secret = \"keeps-strangers-bytes-off-the-port\"\n"
       << "traffic_threads = 1\n"
       << "found_log = " << (bootstraps ? "true" : "false") << "\n";
  if (self.is_core) {
    text << "data_folder = "
         << Quoted(this->folder + "/" + std::to_string(machine)) << "\n";
  }
  text << "[membership]\nseeds = [" << seeds << "]\n"
       << "peer_port = " << this->base_port + kPeerPort << "\n"
       << "tolerated_losses = 1\n"
       << "[[hosts]]\nname = " << Quoted(self.address) << "\n"
       << "region = " << Quoted(self.region) << "\n"
       << "data_centre = " << Quoted(self.zone) << "\n";
  if (!self.is_core) {
    text << "callers = " << at(this->FrontPort()) << "\n";
  }
  text << "peer_address = " << Quoted(self.address) << "\n"
       << "peer_port = " << this->base_port + kPeerPort << "\n"
       << "forward_port = " << this->base_port + kForwardPort << "\n"
       << "disk = " << (self.is_core ? "true" : "false") << "\n";
  std::set<std::string> zones;
  for (const Machine& other : this->machines) {
    if (zones.insert(other.zone).second) {
      text << "[[data_centres]]\nname = " << Quoted(other.zone)
           << "\nregion = " << Quoted(other.region) << "\n";
    }
  }
  if (self.is_core) {
    text << "[adapter_control]\nlisten = " << at(this->ControlPort()) << "\n";
  } else {
    text << "[adapter_callers]\nlisten = " << at(this->FrontPort()) << "\n"
         << "[adapter_readiness]\nlisten = " << at(this->ReadyPort()) << "\n";
  }
  text << "[metrics]\nlisten = " << at(this->base_port + kMetricsPort) << "\n"
       << "[limits]\nfleet_retries = 56\nrate_tolerance_tokens = 110000\n"
       << "rate_tolerance_percent = 10\nprefill_rate = 8000\n"
       << "decode_rate = 150\nrate_tolerance_span_s = 8\n"
       << "[times]\nheartbeat_ms = 300\nelection_ms = 900\n"
       << "host_lost_ms = 3000\nkey_withdrawn_ms = 5000\nstop_grace_s = 8\n"
       << "server_lease_ms = 6000\nserver_lapsed_ms = 30000\n"
       << "server_pause_ms = 4000\nserver_silence_ms = 1500\n"
       << "server_ramp_ms = 1\nidle_ms = 60000\n";
  return text.str();
}

void Deployment::Start(std::size_t machine, bool bootstraps) {
  const std::string stem = this->folder + "/" + std::to_string(machine);
  const std::string settings = stem + ".toml";
  std::ofstream(settings) << this->Settings(machine, bootstraps);
  const pid_t process = ::fork();
  if (process == 0) {
    // Ends with the thread that started it, whatever ends that.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::setenv("TAMARACKWING_CONFIG", settings.c_str(), 1);
    const int log =
        ::open((stem + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execl(kProgram, kProgram, nullptr);
    ::_exit(127);
  }
  this->processes[machine] = process;
}

bool Deployment::StartAll() {
  if (::access(kProgram, X_OK) != 0 || this->folder.empty()) {
    return false;
  }
  for (std::size_t i = 0; i < this->machines.size(); ++i) {
    this->Start(i, true);
  }
  return true;
}

void Deployment::Signal(std::size_t machine, int signal) {
  ::kill(this->processes[machine], signal);
}

void Deployment::Kill(std::size_t machine) {
  if (this->processes[machine] > 0) {
    ::kill(this->processes[machine], SIGKILL);
    ::waitpid(this->processes[machine], nullptr, 0);
    this->processes[machine] = 0;
  }
}

bool Deployment::HasEnded(std::size_t machine) {
  const pid_t process = this->processes[machine];
  if (process > 0 && ::waitpid(process, nullptr, WNOHANG) == process) {
    this->processes[machine] = 0;
  }
  return this->processes[machine] == 0;
}

void Deployment::EndAll() {
  for (std::size_t i = 0; i < this->machines.size(); ++i) {
    this->Kill(i);
  }
}

HttpMessage Deployment::Control(std::size_t machine,
                                const std::string& method,
                                const std::string& target,
                                const std::string& body,
                                int timeout_ms) const {
  Fields fields = {{"Host", this->machines[machine].address}};
  if (!body.empty()) {
    fields.emplace_back("Content-Type", "application/json");
  }
  return Call(this->machines[machine].address, this->ControlPort(), method,
              target, fields, body, timeout_ms);
}

bool Deployment::Order(const std::string& method,
                       const std::string& target,
                       const std::string& body,
                       std::size_t first,
                       int total_ms) {
  const auto cores = this->Cores();
  const auto end = Clock::now() + Milliseconds(total_ms);
  for (std::size_t i = first; Clock::now() < end; ++i) {
    const std::size_t core = cores[i % cores.size()];
    const HttpMessage answer = this->Control(core, method, target, body, 1'000);
    std::string line = "operator: ";
    line.append(method).append(" ").append(target).append(" to ");
    line.append(this->machines[core].address).append(" -> ");
    this->record.Write(line + std::to_string(answer.status));
    if (answer.status == 200) {
      return true;
    }
    Sleep(100);
  }
  return false;
}

bool Deployment::AwaitReady(int total_ms) const {
  const auto end = Clock::now() + Milliseconds(total_ms);
  while (Clock::now() < end) {
    bool all = true;
    for (const Machine& machine : this->machines) {
      if (!machine.is_core) {
        all = all && Call(machine.address, this->ReadyPort(), "GET",
                          "/readiness", {{"Host", machine.address}}, "", 1'000)
                             .status == 200;
      }
    }
    if (all) {
      return true;
    }
    Sleep(50);
  }
  return false;
}

std::optional<std::size_t> Deployment::Leader() const {
  for (const std::size_t core : this->Cores()) {
    const Machine& machine = this->machines[core];
    const HttpMessage answer =
        Call(machine.address, this->base_port + kMetricsPort, "GET", "/metrics",
             {{"Host", machine.address}}, "", 500);
    if (answer.body.find("tamarackwing_is_leader 1") != std::string::npos) {
      return core;
    }
  }
  return std::nullopt;
}

Heartbeats::Heartbeats(Deployment& deployment,
                       std::string id,
                       std::string service,
                       std::string address,
                       std::string zone)
    : deployment(deployment),
      id(std::move(id)),
      service(std::move(service)),
      address(std::move(address)),
      zone(std::move(zone)),
      born(std::chrono::duration_cast<Milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()),
      thread([this] { this->Run(); }) {}

Heartbeats::~Heartbeats() {
  this->stopping = true;
  this->thread.join();
}

std::string Heartbeats::Body(const std::string& state) {
  std::string body = R"({"Service":")";
  body.append(this->service).append(R"(","Address":")");
  body.append(this->address).append(R"(","Zone":")").append(this->zone);
  body.append(R"(","Version":"v1","Slots":6,"State":")").append(state);
  body.append(R"(","WarmupRemainingMs":0,"born":)");
  body.append(std::to_string(this->born)).append(R"(,"Sequence":)");
  return body + std::to_string(this->sequence += 1);
}

bool Heartbeats::Drain(int remaining_ms) {
  this->is_draining = true;
  for (const std::size_t core : this->deployment.Cores()) {
    const std::string body = this->Body("draining") + R"(,"RemainingMs":)" +
                             std::to_string(remaining_ms) + "}";
    const HttpMessage answer = this->deployment.Control(
        core, "PUT", "/instances/" + this->id, body, 1'000);
    if (answer.status == 200) {
      return true;
    }
  }
  return false;
}

void Heartbeats::Run() {
  const auto cores = this->deployment.Cores();
  std::size_t next = 0;
  while (!this->stopping) {
    for (std::size_t tries = 0;
         tries < cores.size() && !this->is_draining && !this->stopping;
         ++tries) {
      const HttpMessage answer = this->deployment.Control(
          cores[next % cores.size()], "PUT", "/instances/" + this->id,
          this->Body("ready") + "}", 1'000);
      if (answer.status == 200) {
        break;
      }
      next += 1;
    }
    for (int waited = 0; waited < kHeartbeatMs && !this->stopping;
         waited += 50) {
      Sleep(50);
    }
  }
}

}  // namespace review
