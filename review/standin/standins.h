// Stand-ins for the cases of the review: the platform's store, backend servers and clients, with blocking sockets and one thread a connection.
#pragma once

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace review {

namespace json = boost::json;

using Clock = std::chrono::steady_clock;

// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int NotRun = 2;

// Sleeps for a time in seconds.
inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Writes what was sent, answered and run, with the time since its construction.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path)
        , start_(Clock::now())
    {
    }

    // Seconds since the start.
    [[nodiscard]] double now() const
    {
        return std::chrono::duration<double>(Clock::now() - start_).count();
    }

    // Appends a line.
    void write(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof(time), "%9.3f s  ", now());
        file_ << time << text << std::endl;
    }

private:
    std::ofstream file_;
    Clock::time_point start_;
    std::mutex mutex_;
};

// An HTTP message: its first line, its header fields in lower case, and its body.
struct Message {
    std::string firstLine_;
    std::map<std::string, std::string> fields_;
    std::string body_;

    // Returns a field; empty when it is absent.
    [[nodiscard]] std::string field(const std::string &name) const
    {
        const auto found = fields_.find(name);
        return found == fields_.end() ? std::string() : found->second;
    }

    // Status of a response; zero for other messages.
    [[nodiscard]] int status() const
    {
        return firstLine_.rfind("HTTP/1.1 ", 0) == 0 ? std::atoi(firstLine_.c_str() + 9) : 0;
    }

    // Target of a request.
    [[nodiscard]] std::string target() const
    {
        const std::size_t first = firstLine_.find(' ');
        const std::size_t second = firstLine_.find(' ', first + 1);
        return first == std::string::npos || second == std::string::npos ? std::string() : firstLine_.substr(first + 1, second - first - 1);
    }
};

// A blocking TCP connection that reads HTTP messages.
class Connection
{
public:
    explicit Connection(int descriptor)
        : descriptor_(descriptor)
    {
        const int on = 1;
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Connection()
    {
        close(descriptor_);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    // Sends bytes; false when the connection has failed.
    bool send(const std::string &bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Reads a head; none when the connection ended or the time, in seconds, is over.
    std::optional<Message> readHead(double timeout)
    {
        const Clock::time_point end = Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(timeout));
        std::size_t position = std::string::npos;
        while ((position = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(end)) {
                return std::nullopt;
            }
        }
        Message message = parseHead(buffer_.substr(0, position));
        buffer_.erase(0, position + 4);
        return message;
    }

    // Reads the body that the head announces by length or chunks. False when it ended early or the time is over.
    bool readBody(Message &message, double timeout)
    {
        const Clock::time_point end = Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(timeout));
        if (message.field("transfer-encoding") == "chunked") {
            return readChunks(message, end);
        }
        const std::size_t length = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
        while (buffer_.size() < length) {
            if (!readMore(end)) {
                return false;
            }
        }
        message.body_ = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return true;
    }

    // Reads a whole message.
    std::optional<Message> read(double timeout)
    {
        std::optional<Message> message = readHead(timeout);
        if (message && !readBody(*message, timeout)) {
            return std::nullopt;
        }
        return message;
    }

    // True when the other end closed or reset the connection.
    [[nodiscard]] bool isEnded() const
    {
        return ended_;
    }

private:
    static Message parseHead(const std::string &head)
    {
        Message message;
        std::size_t start = head.find("\r\n");
        message.firstLine_ = head.substr(0, start);
        while (start != std::string::npos) {
            const std::size_t next = head.find("\r\n", start + 2);
            const std::string line = head.substr(start + 2, next == std::string::npos ? next : next - start - 2);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                std::string name = line.substr(0, colon);
                std::transform(name.begin(), name.end(), name.begin(), [](unsigned char byte) { return static_cast<char>(std::tolower(byte)); });
                const std::size_t value = line.find_first_not_of(' ', colon + 1);
                message.fields_[name] = value == std::string::npos ? std::string() : line.substr(value);
            }
            start = next;
        }
        return message;
    }

    bool readMore(Clock::time_point end)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()).count();
        pollfd waiting{descriptor_, POLLIN, 0};
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char bytes[65536];
        const ssize_t count = recv(descriptor_, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            ended_ = true;
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool readChunks(Message &message, Clock::time_point end)
    {
        for (;;) {
            std::size_t line = std::string::npos;
            while ((line = buffer_.find("\r\n")) == std::string::npos) {
                if (!readMore(end)) {
                    return false;
                }
            }
            const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < line + 2 + size + 2) {
                if (!readMore(end)) {
                    return false;
                }
            }
            message.body_ += buffer_.substr(line + 2, size);
            buffer_.erase(0, line + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int descriptor_;
    std::string buffer_;
    bool ended_ = false;
};

// An address on loopback.
struct Endpoint {
    std::string ip_;
    int port_ = 0;

    [[nodiscard]] std::string text() const
    {
        return ip_ + ":" + std::to_string(port_);
    }

    [[nodiscard]] sockaddr_in socketAddress() const
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port_));
        inet_pton(AF_INET, ip_.c_str(), &address.sin_addr);
        return address;
    }
};

// Opens a connection; none when it is refused.
inline std::unique_ptr<Connection> connectTo(const Endpoint &endpoint)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = endpoint.socketAddress();
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(descriptor);
        return nullptr;
    }
    return std::make_unique<Connection>(descriptor);
}

// Sends a request on a new connection and returns the response.
inline std::optional<Message> request(const Endpoint &endpoint, const std::string &bytes, double timeout = 1.0)
{
    const auto connection = connectTo(endpoint);
    if (!connection || !connection->send(bytes)) {
        return std::nullopt;
    }
    return connection->read(timeout);
}

// Returns ports that are free for TCP and UDP on all the addresses.
inline std::vector<int> freePorts(const std::vector<std::string> &ips, std::size_t count)
{
    const auto isFree = [](const std::string &ip, int port, int type) {
        const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
        const sockaddr_in address = Endpoint{ip, port}.socketAddress();
        const bool bound = bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
        close(descriptor);
        return bound;
    };
    std::vector<int> ports;
    for (int port = 18000 + static_cast<int>(getpid()) % 7000; port < 32000 && ports.size() < count; ++port) {
        const bool free
            = std::all_of(ips.begin(), ips.end(), [&](const std::string &ip) { return isFree(ip, port, SOCK_STREAM) && isFree(ip, port, SOCK_DGRAM); });
        if (free) {
            ports.push_back(port);
        }
    }
    if (ports.size() < count) {
        throw std::runtime_error("no free ports");
    }
    return ports;
}

// Accepts connections and runs a function for each of them in a thread.
class Server
{
public:
    using Serve = std::function<void(Connection &)>;

    Server(const Endpoint &endpoint, Serve serve)
        : serve_(std::move(serve))
    {
        descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in address = endpoint.socketAddress();
        if (bind(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(descriptor_, 128) != 0) {
            throw std::runtime_error("cannot listen on " + endpoint.text());
        }
        std::thread([this]() { acceptLoop(); }).detach();
    }

private:
    void acceptLoop()
    {
        for (;;) {
            const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                return;
            }
            std::thread([this, accepted]() {
                Connection connection(accepted);
                serve_(connection);
            }).detach();
        }
    }

    Serve serve_;
    int descriptor_ = -1;
};

// Builds a response.
inline std::string response(int status, const std::string &reason, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Encodes bytes as base64.
inline std::string toBase64(const std::string &bytes)
{
    static const char *const Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            group = (group << 8U) | (at + offset < bytes.size() ? static_cast<unsigned char>(bytes[at + offset]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            text += at + digit > bytes.size() ? '=' : Digits[(group >> (18U - 6U * digit)) & 63U];
        }
    }
    return text;
}

// The platform's store: rows, transactions and the feed of changes.
class Store
{
public:
    explicit Store(const Endpoint &endpoint)
        : server_(endpoint, [this](Connection &connection) { serve(connection); })
    {
    }

    // Writes a row as the operator does.
    void put(const std::string &table, const std::string &key, const std::string &bytes)
    {
        const std::lock_guard lock(mutex_);
        rows_[{table, "", key}] = Row{toBase64(bytes), ++version_};
        changed_.notify_all();
    }

    // Number of rows in a table.
    std::size_t rowCount(const std::string &table)
    {
        const std::lock_guard lock(mutex_);
        return static_cast<std::size_t>(std::count_if(rows_.begin(), rows_.end(), [&](const auto &entry) { return std::get<0>(entry.first) == table; }));
    }

private:
    // Rows of one response at most.
    static constexpr std::size_t MaxRows = 500;

    struct Row {
        std::string value_;
        std::uint64_t version_ = 0;
    };
    using Key = std::tuple<std::string, std::string, std::string>;

    void serve(Connection &connection)
    {
        for (;;) {
            const std::optional<Message> message = connection.read(60);
            if (!message || !connection.send(respond(*message))) {
                return;
            }
        }
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const std::size_t query = target.find('?');
        std::size_t at = query;
        while (at != std::string::npos) {
            const std::size_t end = target.find('&', at + 1);
            const std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (pair.rfind(name + "=", 0) == 0) {
                return pair.substr(name.size() + 1);
            }
            at = end;
        }
        return {};
    }

    std::string respond(const Message &message)
    {
        const std::string target = message.target();
        json::object result;
        std::unique_lock lock(mutex_);
        if (target.rfind("/rows-tx", 0) == 0) {
            const json::value body = json::parse(message.body_);
            ++version_;
            for (const json::value &row : body.at("writes").as_array()) {
                rows_[{text(row, "table"), text(row, "part"), text(row, "key")}] = Row{text(row, "value"), version_};
            }
            changed_.notify_all();
        } else if (target.rfind("/rows-get", 0) == 0) {
            bool hasMore = false;
            result["rows"] = select(parameter(target, "table"), parameter(target, "from"), parameter(target, "limit"), hasMore);
            result["hasMore"] = hasMore;
        } else if (target.rfind("/rows-feed", 0) == 0) {
            const std::string table = parameter(target, "table");
            const std::uint64_t after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
            const auto wait = std::chrono::milliseconds(std::strtol(parameter(target, "waitMs").c_str(), nullptr, 10));
            changed_.wait_for(lock, wait, [&]() { return !changes(table, after).empty(); });
            result["rows"] = changes(table, after);
        } else {
            return response(404, "Not Found", "", "");
        }
        result["ver"] = version_;
        result["nowS"] = std::chrono::duration<double>(Clock::now().time_since_epoch()).count();
        return response(200, "OK", "Content-Type: application/json\r\n", json::serialize(result));
    }

    static std::string text(const json::value &row, const char *name)
    {
        return std::string(row.at(name).as_string());
    }

    static json::object toJson(const Key &key, const Row &row)
    {
        return json::object{{"table", std::get<0>(key)}, {"part", std::get<1>(key)}, {"key", std::get<2>(key)}, {"value", row.value_}, {"ver", row.version_}};
    }

    json::array select(const std::string &table, const std::string &from, const std::string &limit, bool &hasMore)
    {
        const std::size_t most = limit.empty() ? MaxRows : std::min<std::size_t>(MaxRows, std::strtoul(limit.c_str(), nullptr, 10));
        json::array rows;
        for (const auto &[key, row] : rows_) {
            if (std::get<0>(key) != table || std::get<2>(key) < from) {
                continue;
            }
            if (rows.size() == most) {
                hasMore = true;
                break;
            }
            rows.push_back(toJson(key, row));
        }
        return rows;
    }

    json::array changes(const std::string &table, std::uint64_t after)
    {
        json::array rows;
        for (const auto &[key, row] : rows_) {
            if (std::get<0>(key) == table && row.version_ > after) {
                rows.push_back(toJson(key, row));
            }
        }
        return rows;
    }

    std::map<Key, Row> rows_;
    std::uint64_t version_ = 0;
    std::mutex mutex_;
    std::condition_variable changed_;
    Server server_;
};

// Addresses of one machine. All machines use the same ports.
struct Machine {
    std::string name_;
    std::string ip_;
    std::vector<int> ports_;

    [[nodiscard]] Endpoint outbound() const
    {
        return {ip_, ports_[0]};
    }
    [[nodiscard]] Endpoint ready() const
    {
        return {ip_, ports_[1]};
    }
    [[nodiscard]] Endpoint control() const
    {
        return {ip_, ports_[2]};
    }
    [[nodiscard]] Endpoint application() const
    {
        return {ip_, ports_[3]};
    }
    [[nodiscard]] Endpoint inbound() const
    {
        return {ip_, ports_[4]};
    }
    [[nodiscard]] int meshPort() const
    {
        return ports_[5];
    }
};

// Number of ports that a machine uses.
constexpr std::size_t PortsPerMachine = 6;

// One daemon, started with the command of the deploy file and a settings file of its own.
class DaemonProcess
{
public:
    DaemonProcess(Machine machine, const std::string &service, const Endpoint &store, const std::string &folder)
        : machine_(std::move(machine))
        , settingsPath_(folder + "/" + machine_.name_ + ".json")
        , logPath_(folder + "/" + machine_.name_ + ".log")
    {
        const json::object settings{
            {"nodeName", machine_.name_},
            {"role", "daemon"},
            {"machineClass", "sidecar"},
            {"serves", {"sidecar"}},
            {"ip", machine_.ip_},
            {"zone", "moka"},
            {"region", "plateau"},
            {"zones", {{"moka", "plateau"}}},
            {"listenAddrs",
             {{"inbound", machine_.inbound().text()},
              {"outbound", machine_.outbound().text()},
              {"ready", machine_.ready().text()},
              {"control", machine_.control().text()}}},
            {"portRange", {machine_.meshPort(), machine_.meshPort()}},
            {"seeds", json::array()},
            {"bootstrap", true},
            {"limits", {{"linkMbps", 1000.0}}},
            {"heartbeatS", 1.5},
            {"bounds",
             {"addrReuseS=2", "stableWindowS=3", "ackS=4", "drainS=2", "graceS=6", "lossSlackS=0.2", "configApplyS=2", "retryBudgetRatio=0.2",
              "budgetWindowS=10", "retryBudgetSlack=60", "recoverS=15", "probesPerS=60"}},
            {"appAddr", machine_.application().text()},
            {"service", service},
            {"platform", {{"address", store.text()}, {"form", "table"}, {"writesPerS", 400}, {"readsPerS", 2000}}},
        };
        std::ofstream(settingsPath_) << json::serialize(settings);
    }
    ~DaemonProcess()
    {
        killNow();
    }
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    // Kills the process, or does nothing when it does not run.
    void killNow()
    {
        if (process_ > 0) {
            kill(process_, SIGKILL);
            waitpid(process_, nullptr, 0);
            process_ = -1;
        }
    }

    void start()
    {
        process_ = fork();
        if (process_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open(logPath_.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            execl("target/radishfordd", "target/radishfordd", "--platform-settings", settingsPath_.c_str(), nullptr);
            _exit(127);
        }
    }

    // Sends SIGTERM, waits for the end, and sends SIGKILL after the grace time as the platform does.
    void stop(double graceSeconds)
    {
        kill(process_, SIGTERM);
        const Clock::time_point end = Clock::now() + std::chrono::milliseconds(static_cast<int>(graceSeconds * 1000));
        while (waitpid(process_, nullptr, WNOHANG) == 0) {
            if (Clock::now() >= end) {
                kill(process_, SIGKILL);
                waitpid(process_, nullptr, 0);
                break;
            }
            sleepFor(0.01);
        }
        process_ = -1;
    }

    [[nodiscard]] const Machine &machine() const
    {
        return machine_;
    }

    // True when the process runs and says that it is ready.
    [[nodiscard]] bool isReady() const
    {
        const std::optional<Message> answer = request(machine_.ready(), "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        return answer && answer->status() == 200;
    }

private:
    Machine machine_;
    std::string settingsPath_;
    std::string logPath_;
    pid_t process_ = -1;
};

// Waits until a condition holds. Throws when it does not in time.
inline void await(const std::string &what, double seconds, const std::function<bool()> &condition)
{
    const Clock::time_point end = Clock::now() + std::chrono::milliseconds(static_cast<int>(seconds * 1000));
    while (!condition()) {
        if (Clock::now() > end) {
            throw std::runtime_error("timeout: " + what);
        }
        sleepFor(0.05);
    }
}

// The bytes of a ping of a backend server.
inline std::string pingBytes(const Machine &machine, const std::string &id, const std::string &service, std::int64_t born, int sequence, int slots)
{
    const json::object body{{"address", machine.application().text()},
                            {"born", born},
                            {"info", {{"service", service}, {"version", "v1"}, {"zone", "moka"}, {"slots", slots}}},
                            {"status", {{"state", "ready"}, {"sequence", sequence}, {"coldRemainingS", 0}}}};
    const std::string text = json::serialize(body);
    return "POST /Instances.Heartbeat/" + id + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size())
        + "\r\n\r\n" + text;
}

// Milliseconds since the Unix epoch.
inline std::int64_t unixMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// A temporary folder that is removed at the end.
class Folder
{
public:
    Folder()
    {
        char name[] = "/tmp/radishford-review-XXXXXX";
        if (mkdtemp(name) == nullptr) {
            throw std::runtime_error("no temporary folder");
        }
        path_ = name;
    }
    ~Folder()
    {
        const std::string command = "rm -rf '" + path_ + "'";
        if (std::system(command.c_str()) != 0) {
            std::perror("rm");
        }
    }
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    [[nodiscard]] const std::string &path() const
    {
        return path_;
    }

private:
    std::string path_;
};

// True unless the environment sets TROUBLE=0.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
