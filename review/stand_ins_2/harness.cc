#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

namespace trial {
namespace {

using nlohmann::json;

constexpr const char* kProgram = "target/programs/tamarackwingd/tamarackwingd";
constexpr const char* kTemplate = "deploy/settings.toml.template";
constexpr double kBeatInterval = 1.2;
//! `FileDescriptors` of the machines.
constexpr rlim_t kDescriptors = 3'075;
constexpr std::size_t kReadBytes = 65'536;

const auto kStart = std::chrono::steady_clock::now();

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::uint64_t RandomNumber() {
  static std::mutex mutex;
  static std::mt19937_64 engine{std::random_device{}()};
  const std::lock_guard lock(mutex);
  return engine();
}

std::string RandomHex() {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(RandomNumber()));
  return text;
}

bool EqualNames(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

sockaddr_in AddressOf(const Place& place) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(place.port));
  inet_pton(AF_INET, place.address.c_str(), &address.sin_addr);
  return address;
}

bool AwaitSocket(int socket, short events, double timeout) {
  pollfd entry{socket, events, 0};
  const int ms = std::max(0, static_cast<int>(timeout * 1'000));
  return ::poll(&entry, 1, ms) > 0;
}

//! Reads the head and the body of a message; the first line is returned apart.
struct Message {
  std::string first_line;
  Fields fields;
  std::string body;
  bool has_head = false;
  bool complete = false;
};

class MessageReader {
 public:
  explicit MessageReader(int socket) : socket(socket) {}

  Message Read(double timeout, bool is_answer) {
    Message message;
    const double until = Now() + timeout;
    std::size_t end = std::string::npos;
    while ((end = this->rest.find("\r\n\r\n")) == std::string::npos) {
      if (!this->More(until)) {
        return message;
      }
    }
    std::istringstream head(this->rest.substr(0, end));
    this->rest.erase(0, end + 4);
    std::getline(head, message.first_line);
    for (std::string line; std::getline(head, line);) {
      while (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.fields.emplace_back(
            line.substr(0, colon),
            value == std::string::npos ? "" : line.substr(value));
      }
    }
    message.has_head = true;
    const std::string length = FieldOf(message.fields, "Content-Length");
    if (FieldOf(message.fields, "Transfer-Encoding") == "chunked") {
      message.complete = this->ReadChunks(until, message.body);
    } else if (!length.empty()) {
      message.complete =
          this->ReadBytes(until, std::stoull(length), message.body);
    } else if (is_answer) {
      while (this->More(until)) {
      }
      message.body = std::exchange(this->rest, {});
      message.complete = this->has_ended;
    } else {
      message.complete = true;
    }
    return message;
  }

  bool HasRest() const { return !this->rest.empty(); }

 private:
  bool More(double until) {
    if (!AwaitSocket(this->socket, POLLIN, until - Now())) {
      return false;
    }
    std::vector<char> bytes(kReadBytes);
    const ssize_t count = ::recv(this->socket, bytes.data(), bytes.size(), 0);
    this->has_ended = count == 0;
    if (count <= 0) {
      return false;
    }
    this->rest.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
  }

  bool ReadBytes(double until, std::size_t count, std::string& into) {
    while (this->rest.size() < count) {
      if (!this->More(until)) {
        return false;
      }
    }
    into += this->rest.substr(0, count);
    this->rest.erase(0, count);
    return true;
  }

  bool ReadChunks(double until, std::string& into) {
    while (true) {
      std::size_t end = std::string::npos;
      while ((end = this->rest.find("\r\n")) == std::string::npos) {
        if (!this->More(until)) {
          return false;
        }
      }
      const std::size_t size = std::strtoull(this->rest.c_str(), nullptr, 16);
      this->rest.erase(0, end + 2);
      std::string line_end;
      if (!this->ReadBytes(until, size, into) ||
          !this->ReadBytes(until, 2, line_end)) {
        return false;
      }
      if (size == 0) {
        return true;
      }
    }
  }

  int socket;
  std::string rest;
  bool has_ended = false;
};

std::optional<Request> ToRequest(Message message) {
  if (!message.complete) {
    return std::nullopt;
  }
  Request request;
  std::istringstream line(message.first_line);
  line >> request.method >> request.target;
  request.fields = std::move(message.fields);
  request.body = std::move(message.body);
  return request;
}

std::string EncodeAnswer(const Answer& answer) {
  std::string bytes =
      "HTTP/1.1 " + std::to_string(answer.status) + " Answer\r\n";
  for (const auto& [name, value] : answer.fields) {
    bytes += name;
    bytes += ": ";
    bytes += value;
    bytes += "\r\n";
  }
  return bytes + "Content-Length: " + std::to_string(answer.body.size()) +
         "\r\n\r\n" + answer.body;
}

//! Fills in a template as the page on the deploy file says.
class Template {
 public:
  explicit Template(const json& fields) { this->stack.push_back(&fields); }

  std::string Render(const std::string& text) {
    std::string result;
    std::size_t at = 0;
    while (true) {
      const std::size_t open = text.find("{{", at);
      if (open == std::string::npos) {
        return result + text.substr(at);
      }
      const std::size_t close = text.find("}}", open);
      std::string tag = text.substr(open + 2, close - open - 2);
      result += text.substr(at, open - at);
      at = close + 2;
      if (tag[0] == '#' || tag[0] == '^') {
        const bool is_inverted = tag[0] == '^';
        tag.erase(0, 1);
        const std::size_t end = text.find("{{/" + tag + "}}", at);
        result += this->Section(tag, is_inverted, text.substr(at, end - at));
        at = end + tag.size() + 5;
      } else {
        result += this->Value(tag);
      }
    }
  }

 private:
  const json* Find(const std::string& path) const {
    if (path == ".") {
      return this->stack.back();
    }
    std::istringstream names(path);
    std::vector<std::string> parts;
    for (std::string part; std::getline(names, part, '.');) {
      parts.push_back(part);
    }
    for (auto scope = this->stack.rbegin(); scope != this->stack.rend();
         ++scope) {
      const json* value = *scope;
      for (const std::string& part : parts) {
        if (value != nullptr && value->is_object() && value->contains(part)) {
          value = &value->at(part);
        } else if (value != nullptr && value->is_array() &&
                   std::isdigit(static_cast<unsigned char>(part[0])) != 0 &&
                   std::stoul(part) < value->size()) {
          value = &value->at(std::stoul(part));
        } else {
          value = nullptr;
        }
      }
      if (value != nullptr) {
        return value;
      }
    }
    return nullptr;
  }

  std::string Section(const std::string& name,
                      bool is_inverted,
                      const std::string& text) {
    const json* value = this->Find(name);
    const bool is_set = value != nullptr && !value->is_null() &&
                        !(value->is_boolean() && !value->get<bool>()) &&
                        !(value->is_structured() && value->empty());
    if (is_inverted) {
      return is_set ? "" : this->Render(text);
    }
    if (!is_set) {
      return "";
    }
    if (!value->is_structured()) {
      return this->Render(text);
    }
    std::string result;
    const std::string outer = this->key;
    for (const auto& entry : value->items()) {
      this->key = entry.key();
      this->stack.push_back(&entry.value());
      result += this->Render(text);
      this->stack.pop_back();
    }
    this->key = outer;
    return result;
  }

  std::string Value(const std::string& tag) const {
    if (tag == "@") {
      return this->key;
    }
    const std::size_t bar = tag.find('|');
    const json* value = this->Find(tag.substr(0, bar));
    if (value == nullptr) {
      return "";
    }
    if (bar != std::string::npos || !value->is_string()) {
      return value->dump();
    }
    return value->get<std::string>();
  }

  std::vector<const json*> stack;
  std::string key;
};

bool CanBind(const Place& place) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(place);
  const bool is_free =
      ::bind(socket, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0;
  ::close(socket);
  return is_free;
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       kStart)
      .count();
}

void Sleep(double seconds) {
  std::this_thread::sleep_for(
      std::chrono::duration<double>(std::max(0.0, seconds)));
}

bool IsCalm() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

Record::Record(const std::string& path)
    : file(::open(path.c_str(),
                  O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                  0644)) {}

Record::~Record() {
  ::close(this->file);
}

void Record::Add(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f  ", Now());
  const std::string bytes = time + line + "\n";
  const std::lock_guard lock(this->mutex);
  if (::write(this->file, bytes.data(), bytes.size()) < 0) {
    std::perror("record.txt");
  }
}

std::string Place::Text() const {
  return this->address + ":" + std::to_string(this->port);
}

std::string FieldOf(const Fields& fields, const std::string& name) {
  for (const auto& [field, value] : fields) {
    if (EqualNames(field, name)) {
      return value;
    }
  }
  return "";
}

int Connect(const Place& to, double timeout) {
  const int socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = AddressOf(to);
  const int result = ::connect(
      socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (result != 0 && errno == EINPROGRESS) {
    int error = 0;
    socklen_t size = sizeof(error);
    const bool is_done = AwaitSocket(socket, POLLOUT, timeout);
    ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
    if (is_done && error == 0) {
      return socket;
    }
  } else if (result == 0) {
    return socket;
  }
  ::close(socket);
  return -1;
}

bool WriteAll(int socket, const std::string& bytes, double timeout) {
  const double until = Now() + timeout;
  std::size_t at = 0;
  while (at < bytes.size()) {
    if (!AwaitSocket(socket, POLLOUT, until - Now())) {
      return false;
    }
    const ssize_t count = ::send(socket, bytes.data() + at, bytes.size() - at,
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && errno != EAGAIN) {
      return false;
    }
    at += static_cast<std::size_t>(std::max<ssize_t>(0, count));
  }
  return true;
}

std::string Encode(const Request& request) {
  std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.fields) {
    bytes += name;
    bytes += ": ";
    bytes += value;
    bytes += "\r\n";
  }
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT") {
    bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return bytes + "\r\n" + request.body;
}

Answer ReadAnswer(int socket, double timeout) {
  MessageReader reader(socket);
  Message message = reader.Read(timeout, true);
  Answer answer;
  if (message.has_head) {
    const std::size_t space = message.first_line.find(' ');
    answer.status = std::atoi(message.first_line.c_str() + space);
    answer.fields = std::move(message.fields);
    answer.body = std::move(message.body);
    answer.complete = message.complete;
  }
  return answer;
}

Answer Call(const Place& to, const Request& request, double timeout) {
  const double until = Now() + timeout;
  const int socket = Connect(to, timeout);
  if (socket < 0) {
    return {};
  }
  Answer answer;
  if (WriteAll(socket, Encode(request), until - Now())) {
    answer = ReadAnswer(socket, until - Now());
  }
  ::close(socket);
  return answer;
}

std::optional<Request> ReadRequest(int socket, double timeout) {
  MessageReader reader(socket);
  return ToRequest(reader.Read(timeout, false));
}

int Listen(const Place& at) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(at);
  if (::bind(socket, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(socket, 512) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  return socket;
}

Listener::Listener(Place given, Handler given_handler)
    : at(std::move(given)), handler(std::move(given_handler)) {
  this->socket = Listen(this->at);
  this->acceptor = std::thread([this] {
    while (!this->stopping.load()) {
      if (!AwaitSocket(this->socket, POLLIN, 0.1)) {
        continue;
      }
      const int accepted =
          ::accept4(this->socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      const int no_delay = 1;
      ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &no_delay,
                   sizeof(no_delay));
      const std::lock_guard lock(this->mutex);
      this->open.insert(accepted);
      this->workers.emplace_back([this, accepted] { this->Serve(accepted); });
    }
  });
}

Listener::~Listener() {
  this->Stop();
}

void Listener::Stop() {
  if (this->stopping.exchange(true)) {
    return;
  }
  this->acceptor.join();
  ::close(this->socket);
  {
    const std::lock_guard lock(this->mutex);
    for (const int accepted : this->open) {
      ::shutdown(accepted, SHUT_RDWR);
    }
  }
  for (std::thread& worker : this->workers) {
    worker.join();
  }
}

void Listener::Serve(int accepted) {
  MessageReader reader(accepted);
  while (!this->stopping.load()) {
    if (!reader.HasRest() && !AwaitSocket(accepted, POLLIN, 0.2)) {
      continue;
    }
    const auto request = ToRequest(reader.Read(30, false));
    if (!request) {
      break;
    }
    const auto answer = this->handler(*request);
    if (!answer || !WriteAll(accepted, EncodeAnswer(*answer), 10)) {
      break;
    }
  }
  const std::lock_guard lock(this->mutex);
  this->open.erase(accepted);
  ::close(accepted);
}

Machine::Machine(std::string given,
                 nlohmann::json given_fields,
                 const std::string& parent)
    : name(std::move(given)),
      fields(std::move(given_fields)),
      folder(parent + "/" + this->name) {
  std::filesystem::create_directories(this->folder + "/data");
  if (this->fields["MachineClass"] == "core") {
    this->fields["DataDirectory"] = this->folder + "/data";
  }
}

Machine::~Machine() {
  this->Kill();
}

void Machine::Start() {
  const std::string settings = this->folder + "/settings.toml";
  {
    std::ofstream file(settings, std::ios::trunc);
    file << Template(this->fields).Render(ReadFile(kTemplate));
  }
  const std::string log = this->folder + "/log.txt";
  const std::string variable = "TAMARACKWING_CONFIG=" + settings;
  // Nothing is allocated between fork and exec.
  const char* const program = kProgram;
  char* const arguments[] = {const_cast<char*>(program), nullptr};
  char* const environment[] = {const_cast<char*>(variable.c_str()), nullptr};
  this->pid = ::fork();
  if (this->pid == 0) {
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    // It also ends if the case is ended from outside.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const rlimit descriptors{kDescriptors, kDescriptors};
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    ::execve(program, arguments, environment);
    ::_exit(127);
  }
}

void Machine::Signal(int number) const {
  if (this->pid > 0) {
    ::kill(this->pid, number);
  }
}

void Machine::Kill() {
  if (this->pid > 0) {
    ::kill(this->pid, SIGKILL);
    ::waitpid(this->pid, &this->status, 0);
    this->pid = -1;
  }
}

bool Machine::IsRunning() {
  if (this->pid > 0 && ::waitpid(this->pid, &this->status, WNOHANG) > 0) {
    this->pid = -1;
  }
  return this->pid > 0;
}

double Machine::MemoryMb() const {
  std::istringstream text(
      ReadFile("/proc/" + std::to_string(this->pid) + "/status"));
  for (std::string line; std::getline(text, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::atof(line.c_str() + 6) / 1'024;
    }
  }
  return 0;
}

int Machine::OpenDescriptors() const {
  int count = 0;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(
           "/proc/" + std::to_string(this->pid) + "/fd", error)) {
    count += entry.path().empty() ? 0 : 1;
  }
  return count;
}

namespace {

Place ReadPlace(const json& text) {
  const auto whole = text.get<std::string>();
  const std::size_t colon = whole.find(':');
  return {whole.substr(0, colon), std::atoi(whole.c_str() + colon + 1)};
}

}  // namespace

Place Machine::Front() const {
  return ReadPlace(this->fields["ListenAddresses"]["Front"]);
}

Place Machine::Ready() const {
  return ReadPlace(this->fields["ListenAddresses"]["Ready"]);
}

Place Machine::Control() const {
  return ReadPlace(this->fields["ListenAddresses"]["Control"]);
}

Deployment::Deployment(Record& record, const std::vector<Site>& sites)
    : record(record) {
  ::signal(SIGPIPE, SIG_IGN);
  char name[] = "/tmp/review-case-XXXXXX";
  this->folder = ::mkdtemp(name);
  for (const Site& site : sites) {
    this->zones.try_emplace(site.zone, static_cast<int>(this->zones.size()));
  }
  const auto address = [&](const std::string& zone, int number) {
    return "127." + std::to_string(this->second_byte) + "." +
           std::to_string(this->zones.at(zone) + 1) + "." +
           std::to_string(number);
  };
  // Each machine has an address of its own; ports are the same on all.
  constexpr int kPorts = 8;
  bool is_free = false;
  while (!is_free) {
    this->second_byte = 16 + static_cast<int>(RandomNumber() % 200);
    this->base_port = 20'000 + static_cast<int>(RandomNumber() % 10'000);
    is_free = true;
    for (std::size_t i = 0; i < sites.size(); ++i) {
      for (int port = 0; port < kPorts; ++port) {
        is_free =
            is_free && CanBind({address(sites[i].zone, static_cast<int>(i) + 1),
                                this->base_port + port});
      }
    }
  }
  json zone_regions = json::object();
  for (const auto& [zone, number] : this->zones) {
    zone_regions[zone] = zone.substr(0, zone.rfind('-'));
  }
  json seeds = json::array();
  for (std::size_t i = 0; i < sites.size(); ++i) {
    if (sites[i].is_core && seeds.size() < 3) {
      seeds.push_back(address(sites[i].zone, static_cast<int>(i) + 1) + ":" +
                      std::to_string(this->base_port));
    }
  }
  for (std::size_t i = 0; i < sites.size(); ++i) {
    const Site& site = sites[i];
    const std::string own = address(site.zone, static_cast<int>(i) + 1);
    const auto at = [&](int port) {
      return own + ":" + std::to_string(this->base_port + port);
    };
    json fields;
    fields["IpAddress"] = own;
    fields["MachineClass"] = site.is_core ? "core" : "front";
    fields["Zone"] = site.zone;
    fields["Region"] = zone_regions[site.zone];
    fields["Zones"] = zone_regions;
    if (site.is_core) {
      fields["ListenAddresses"] = {{"Control", at(0)}, {"Directory", at(1)}};
    } else {
      fields["ListenAddresses"] = {{"Front", at(2)}, {"Ready", at(3)}};
    }
    fields["InternalPorts"] = {this->base_port + 4, this->base_port + 5};
    fields["SeedNodes"] = seeds;
    fields["Bootstrap"] = true;
    fields["DataDirectory"] = nullptr;
    fields["FaultTolerance"] = {{"Machines", 1}, {"Zones", 1}, {"Regions", 1}};
    fields["Bounds"] = {{"CatchUpS", 4},         {"RevocationMs", 5'000},
                        {"GraceS", 8},           {"BudgetSlack", 56},
                        {"QuotaSlack", 110'000}, {"QuotaWindowS", 8}};
    this->machines.push_back(
        std::make_unique<Machine>((site.is_core ? "core-" : "front-") +
                                      site.zone + "-" + std::to_string(i + 1),
                                  std::move(fields), this->folder));
    this->is_core.push_back(site.is_core);
  }
}

Deployment::~Deployment() {
  for (const auto& machine : this->machines) {
    machine->Kill();
  }
  if (std::getenv("KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  } else {
    std::printf("kept: %s\n", this->folder.c_str());
  }
}

void Deployment::StartAll() {
  for (const auto& machine : this->machines) {
    machine->Start();
    // Later starts find their disks as they left them.
    machine->Fields()["Bootstrap"] = false;
  }
  this->record.Add("all machines started");
}

std::vector<Machine*> Deployment::Cores() {
  std::vector<Machine*> found;
  for (std::size_t i = 0; i < this->machines.size(); ++i) {
    if (this->is_core[i]) {
      found.push_back(this->machines[i].get());
    }
  }
  return found;
}

std::vector<Machine*> Deployment::Fronts() {
  std::vector<Machine*> found;
  for (std::size_t i = 0; i < this->machines.size(); ++i) {
    if (!this->is_core[i]) {
      found.push_back(this->machines[i].get());
    }
  }
  return found;
}

Place Deployment::NewPlace(const std::string& zone) {
  constexpr int kPlaces = 100;
  const int number = this->next_place++;
  return {"127." + std::to_string(this->second_byte) + "." +
              std::to_string(this->zones.at(zone) + 1) + "." +
              std::to_string(100 + number % kPlaces),
          this->base_port + 6 + number / kPlaces};
}

bool Deployment::AwaitReady(Machine& front, double timeout) {
  const double until = Now() + timeout;
  Request request;
  request.target = "/readiness";
  request.fields = {{"Host", front.Ready().Text()}};
  while (Now() < until) {
    if (Call(front.Ready(), request, 1).status == 200) {
      return true;
    }
    Sleep(0.1);
  }
  return false;
}

bool Deployment::Order(const Request& request, double timeout) {
  const double until = Now() + timeout;
  const std::vector<Machine*> cores = this->Cores();
  for (std::size_t turn = 0; Now() < until; ++turn) {
    Machine& core = *cores[turn % cores.size()];
    Request sent = request;
    sent.fields.emplace_back("Host", core.Control().Text());
    const Answer answer = Call(core.Control(), sent, 1);
    this->record.Add("operator: " + request.method + " " + request.target +
                     " to " + core.Name() + ": " +
                     std::to_string(answer.status));
    if (answer.status >= 200 && answer.status < 300) {
      return true;
    }
    Sleep(0.2);
  }
  return false;
}

Replica::Replica(Record& given_record,
                 Deployment& deployment,
                 std::vector<Machine*> given_control,
                 ReplicaOptions given,
                 OnRun given_on_run)
    : record(given_record),
      control(std::move(given_control)),
      options(std::move(given)),
      on_run(std::move(given_on_run)),
      at(deployment.NewPlace(this->options.zone)),
      born(std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()) {
  this->listener = std::make_unique<Listener>(
      this->at,
      [this](const Request& request) { return this->Handle(request); });
  this->beats = std::thread([this] { this->Beat(); });
}

Replica::~Replica() {
  this->Stop();
}

void Replica::Stop() {
  this->beating.store(false);
  if (this->beats.joinable()) {
    this->beats.join();
  }
  this->listener->Stop();
}

void Replica::Beat() {
  std::size_t turn = 0;
  while (this->beating.load()) {
    const double next = Now() + kBeatInterval;
    bool is_taken = false;
    for (std::size_t tries = 0; tries < 3 && !is_taken && this->beating.load();
         ++tries) {
      Place to = this->control[turn % this->control.size()]->Control();
      {
        const std::lock_guard lock(this->mutex);
        to = this->beat_to.value_or(to);
      }
      json body = {{"Service", this->options.service},
                   {"Address", this->at.Text()},
                   {"Zone", this->options.zone},
                   {"Version", "v1"},
                   {"Slots", this->options.slots},
                   {"State", "ready"},
                   {"WarmupRemainingMs", 0},
                   {"Sequence", ++this->sequence},
                   {"born", this->born}};
      Request request;
      request.method = "PUT";
      request.target = "/instances/" + this->options.id;
      request.fields = {{"Host", to.Text()},
                        {"Content-Type", "application/json"}};
      request.body = body.dump();
      const Answer answer = Call(to, request, 1);
      is_taken = answer.status >= 200 && answer.status < 300;
      const std::lock_guard lock(this->mutex);
      if (!is_taken) {
        this->beat_to.reset();
        turn += 1;
        continue;
      }
      const json reply = json::parse(answer.body, nullptr, false);
      if (reply.is_object() && reply.contains("HeartbeatAddress")) {
        this->beat_to = ReadPlace(reply["HeartbeatAddress"]);
      } else {
        this->beat_to = to;
      }
    }
    while (this->beating.load() && Now() < next) {
      Sleep(0.02);
    }
  }
}

std::optional<Place> Replica::Deregister() {
  this->beating.store(false);
  this->beats.join();
  std::size_t turn = 0;
  for (int tries = 0; tries < 5; ++tries) {
    const Place to = this->beat_to.value_or(
        this->control[turn++ % this->control.size()]->Control());
    Request request;
    request.method = "DELETE";
    request.target = "/instances/" + this->options.id;
    request.fields = {{"Host", to.Text()},
                      {"Content-Type", "application/json"}};
    request.body = json{{"born", this->born}}.dump();
    request.fields.emplace_back("Content-Length",
                                std::to_string(request.body.size()));
    const Answer answer = Call(to, request, 1);
    this->record.Add("replica " + this->options.id + ": DELETE to " +
                     to.Text() + ": " + std::to_string(answer.status));
    if (answer.status >= 200 && answer.status < 300) {
      return to;
    }
    this->beat_to.reset();
  }
  return std::nullopt;
}

std::optional<Answer> Replica::Handle(const Request& request) {
  Answer answer;
  answer.fields = {{"Instance-Id", this->options.id},
                   {"Attempt-Id", FieldOf(request.fields, "Attempt-Id")}};
  if (request.target == "/health") {
    answer.status = 200;
    return answer;
  }
  const std::string expected = FieldOf(request.fields, "Expected-Instance");
  if (!expected.empty() && expected != this->options.id) {
    answer.status = 421;
    answer.fields.emplace_back("Not-Executed", "misdirected");
    return answer;
  }
  if (this->running.fetch_add(1) >= 4 * this->options.slots) {
    this->running.fetch_sub(1);
    answer.status = 503;
    answer.fields.emplace_back("Not-Executed", "full");
    return answer;
  }
  this->record.Add("replica " + this->options.id + ": runs " + request.method +
                   " " + request.target + " " +
                   FieldOf(request.fields, "Attempt-Id") + " of " +
                   FieldOf(request.fields, "Tenant"));
  if (this->on_run) {
    this->on_run(request);
  }
  Sleep(this->options.work_s);
  this->running.fetch_sub(1);
  answer.status = 200;
  answer.fields.emplace_back("Response-Seal", RandomHex());
  answer.body = "done by " + this->options.id;
  return answer;
}

nlohmann::json Configuration(int version) {
  json document = {{"Version", version},
                   {"Routes", json::array()},
                   {"Services", json::array()},
                   {"Tenants", json::array()}};
  document["Limits"] = {{"MaxHeaderBytes", 16'384},
                        {"MaxBodyBytes", 4'194'304},
                        {"HeaderTimeoutMs", 3'000},
                        {"IdleTimeoutMs", 15'000}};
  document["Tenants"].push_back({{"Name", "huka270"},
                                 {"ApiKeys", {kKey}},
                                 {"Priority", 1},
                                 {"Unit", "tokens"},
                                 {"PlainTokens", 200},
                                 {"RatePerS", 0},
                                 {"Burst", 0},
                                 {"HomeRegions", json::array()}});
  return document;
}

nlohmann::json Service(const std::string& name) {
  return {{"Name", name},
          {"HealthPath", "/health"},
          {"ConnectionLimit", 360},
          {"Protocol", "h1"},
          {"TransportSecurity", false},
          {"WarmupS", 0.0},
          {"WarmupPerS", 0.0}};
}

nlohmann::json Route(const std::string& name,
                     const std::string& prefix,
                     const std::string& kind,
                     const std::string& service) {
  return {{"Name", name},
          {"Host", kHostName},
          {"Prefix", prefix},
          {"Kind", kind},
          {"TimeoutMs", 5'000},
          {"TargetLatencyMs", 600},
          {"Priority", 0},
          {"Service", service},
          {"MaxAttempts", kind == "safe" ? 2 : 1},
          {"AllowAnonymous", false},
          {"SessionAffinity", false},
          {"HomeRegions", json::array()}};
}

Request ClientRequest(const std::string& method,
                      const std::string& target,
                      int deadline_ms,
                      std::string body) {
  Request request;
  request.method = method;
  request.target = target;
  request.body = std::move(body);
  request.fields = {{"Host", kHostName},
                    {"Attempt-Id", RandomHex()},
                    {"Deadline-Milliseconds", std::to_string(deadline_ms)},
                    {"Authorization", std::string("Bearer ") + kKey}};
  return request;
}

}  // namespace trial
