// A request crashes every backend server that begins to run it. The daemons refuse it after the third crash. Then all daemons are stopped and started
// in turn, while the request comes again from time to time.
#include "../standin-2/rig.h"

namespace {

// Bounds of the pages: stableWindowS, and the number of retries that a crashing request may get after its third crash.
constexpr std::int64_t StableWindow = 3000;
constexpr std::size_t MaxRetries = 3;
// Clients that send ordinary orders, and the time that an order works.
constexpr int OrderClients = 4;
constexpr std::int64_t Work = 200;
// Time until a crashed server is back.
constexpr std::int64_t ServerRestart = 1500;
// Time between two sends of the request.
constexpr std::int64_t ResendInterval = 2500;
constexpr int CrashesBefore = 3;
constexpr std::size_t Machines = 4;

const std::string PoisonPath = "/orders/crash";

// The servers, each of which is started again after a crash.
class Servers
{
public:
    Servers(rig::Deployment &deployment, rig::Record &record)
        : deployment_(deployment)
        , record_(record)
    {
        for (std::size_t index = 0; index < deployment.size(); ++index) {
            servers_.push_back(nullptr);
            start(index);
        }
        keeper_ = std::thread([this]() { keep(); });
    }

    ~Servers()
    {
        isOver_ = true;
        keeper_.join();
        servers_.clear();
    }

    Servers(const Servers &) = delete;
    Servers &operator=(const Servers &) = delete;

    // Ids of the attempts of the crashing request that reached a server, in order.
    std::vector<std::string> reached()
    {
        const std::lock_guard lock(mutex_);
        return reached_;
    }

    // When the request crashed a server for the third time; zero before.
    std::int64_t thirdCrashAt()
    {
        const std::lock_guard lock(mutex_);
        return thirdCrashAt_;
    }

private:
    void start(std::size_t index)
    {
        const std::string id = "i-" + std::to_string(index + 1) + "-" + std::to_string(++starts_);
        const rig::Machine &machine = deployment_.machine(index);
        servers_[index] = std::make_unique<rig::Upstream>(id, machine, machine.service_,
                                                          [this](const rig::Upstream &server, const rig::Message &request) { return run(server, request); });
        record_.add("server " + id + " started on " + machine.name_);
    }

    std::optional<rig::Message> run(const rig::Upstream &server, const rig::Message &request)
    {
        const std::string attempt = request.field("Attempt-Id");
        if (request.target_.starts_with("/orders/order")) {
            rig::pause(Work);
            return rig::makeResponse(200, "served " + attempt);
        }
        record_.add("server " + server.id() + " runs " + request.method_ + " " + request.target_ + " " + attempt);
        if (request.target_ != PoisonPath) {
            rig::pause(5);
            return rig::makeResponse(200, "served " + attempt);
        }
        record_.add("server " + server.id() + " crashes");
        const std::lock_guard lock(mutex_);
        reached_.push_back(attempt);
        if (reached_.size() == CrashesBefore) {
            thirdCrashAt_ = rig::now();
        }
        const_cast<rig::Upstream &>(server).crash();
        return std::nullopt;
    }

    // Starts crashed servers again.
    void keep()
    {
        std::vector<std::int64_t> crashedAt(servers_.size(), 0);
        while (!isOver_) {
            for (std::size_t index = 0; index < servers_.size(); ++index) {
                if (!servers_[index]->isOver()) {
                    continue;
                }
                if (crashedAt[index] == 0) {
                    crashedAt[index] = rig::now();
                } else if (rig::now() >= crashedAt[index] + ServerRestart) {
                    servers_[index].reset();
                    start(index);
                    crashedAt[index] = 0;
                }
            }
            rig::pause(20);
        }
    }

    rig::Deployment &deployment_;
    rig::Record &record_;
    std::vector<std::unique_ptr<rig::Upstream>> servers_;
    int starts_ = 0;
    std::mutex mutex_;
    std::vector<std::string> reached_;
    std::int64_t thirdCrashAt_ = 0;
    std::atomic<bool> isOver_ = false;
    std::thread keeper_;
};

// Sends the crashing request once and returns its id.
std::string sendPoison(const rig::Machine &machine, rig::Record &record)
{
    static int count = 0;
    const std::string id = "crash" + std::to_string(++count);
    rig::call(machine, {"POST", PoisonPath, id, 1000, "order 17"}, record);
    return id;
}

int run(const rig::Options &options)
{
    rig::Record record(options.recordPath_);
    rig::Deployment deployment(options, std::vector<std::string>(Machines, "desk"));
    deployment.configure(7, {{"orders", "/orders/", "unsafe", "desk"}, {"rolls", "/rolls/", "safe", "desk"}}, {"desk"});
    Servers servers(deployment, record);
    if (!deployment.startAll() || !deployment.awaitServers(Machines)) {
        record.add("the deployment did not start");
        return rig::CouldNotRun;
    }
    rig::pause(StableWindow);
    rig::Orders orders(deployment.machine(Machines - 1), OrderClients);
    // The request comes until it has crashed three servers.
    for (std::size_t turn = 0; servers.thirdCrashAt() == 0 && turn < 8; ++turn) {
        sendPoison(deployment.machine(turn % Machines), record);
        rig::pause(ResendInterval);
    }
    if (servers.thirdCrashAt() == 0) {
        record.add("the request did not reach three servers");
        return rig::CouldNotRun;
    }
    const std::int64_t countedFrom = servers.thirdCrashAt() + StableWindow;
    std::set<std::string> counted;
    for (std::size_t index = 0; index < Machines; ++index) {
        rig::Daemon &daemon = deployment.daemon(index);
        if (options.hasTrouble_) {
            record.add("SIGTERM to the daemon on " + daemon.machine().name_);
            daemon.signal(SIGTERM);
            if (!daemon.waitForEnd(6000)) {
                record.add("the daemon did not end");
                return rig::CouldNotRun;
            }
            daemon.start();
            record.add("daemon on " + daemon.machine().name_ + " started again");
            if (!rig::Deployment::waitUntil([&]() { return daemon.isReady(); }, 5000)) {
                return rig::CouldNotRun;
            }
        }
        // From here on the machine is in touch.
        rig::pause(StableWindow + 500);
        for (int send = 0; send < 4; ++send) {
            const std::int64_t sentAt = rig::now();
            const std::string id = sendPoison(daemon.machine(), record);
            if (sentAt > countedFrom) {
                counted.insert(id);
            }
            rig::pause(ResendInterval);
        }
    }
    const int served = rig::call(deployment.machine(0), {"GET", "/rolls/1", "roll1", 1000, ""}, record);
    std::size_t retries = 0;
    for (const std::string &id : servers.reached()) {
        retries += counted.count(id);
    }
    orders.stop();
    record.add(orders.text());
    record.add("retries that reached a server later than stableWindowS after the third crash: " + std::to_string(retries)
               + ", allowed: " + std::to_string(MaxRetries));
    if (served != 200) {
        record.add("an ordinary request was not served at the end");
        return rig::CouldNotRun;
    }
    return retries > MaxRetries ? rig::Broken : rig::Held;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(rig::readOptions(argc, argv));
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return rig::CouldNotRun;
    }
}
