// A request crashes every backend server that begins to run it, and comes again. A request of another caller with the same path, which crashes nothing,
// is served in between.
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
constexpr int Sends = 16;
constexpr std::size_t CrashesBefore = 3;
// Machines of the service whose requests crash a server, of the service whose requests do not, and of the called service.
constexpr std::size_t CrashingCaller = 0;
constexpr std::size_t OtherCaller = 1;
constexpr std::size_t FirstServer = 2;
constexpr std::size_t Machines = 5;

const std::string Path = "/rolls/17";

// The servers of the called service, each of which is started again after a crash.
class Servers
{
public:
    Servers(rig::Deployment &deployment, rig::Record &record, bool hasTrouble)
        : deployment_(deployment)
        , record_(record)
        , hasTrouble_(hasTrouble)
        , servers_(Machines)
    {
        for (std::size_t index = FirstServer; index < Machines; ++index) {
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

    // Times at which the request crashed a server.
    std::vector<std::int64_t> crashes()
    {
        const std::lock_guard lock(mutex_);
        return crashes_;
    }

    // Ids of the attempts that crashed a server.
    std::set<std::string> crashing()
    {
        const std::lock_guard lock(mutex_);
        return crashing_;
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
        const std::string caller = request.field("Caller-Service");
        if (request.target_.starts_with("/orders/order")) {
            rig::pause(Work);
            return rig::makeResponse(200, "served " + attempt);
        }
        record_.add("server " + server.id() + " runs " + request.method_ + " " + request.target_ + " " + attempt + " of " + caller);
        const bool crashes = hasTrouble_ && request.target_ == Path && caller == deployment_.machine(CrashingCaller).service_;
        if (!crashes) {
            rig::pause(5);
            return rig::makeResponse(200, "served " + attempt);
        }
        record_.add("server " + server.id() + " crashes");
        const std::lock_guard lock(mutex_);
        crashes_.push_back(rig::now());
        crashing_.insert(attempt);
        const_cast<rig::Upstream &>(server).crash();
        return std::nullopt;
    }

    // Starts crashed servers again.
    void keep()
    {
        std::vector<std::int64_t> crashedAt(Machines, 0);
        while (!isOver_) {
            for (std::size_t index = FirstServer; index < Machines; ++index) {
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
    bool hasTrouble_;
    std::vector<std::unique_ptr<rig::Upstream>> servers_;
    int starts_ = 0;
    std::mutex mutex_;
    std::vector<std::int64_t> crashes_;
    std::set<std::string> crashing_;
    std::atomic<bool> isOver_ = false;
    std::thread keeper_;
};

int run(const rig::Options &options)
{
    rig::Record record(options.recordPath_);
    rig::Deployment deployment(options, {"printing", "billing", "desk", "desk", "desk"});
    deployment.configure(7, {{"rolls", "/rolls/", "safe", "desk"}, {"orders", "/orders/", "unsafe", "desk"}}, {"desk", "printing", "billing"});
    const auto serveNothing = [](const rig::Upstream & /*server*/, const rig::Message & /*request*/) { return std::optional(rig::makeResponse(200)); };
    const rig::Upstream crashingCaller("i-1", deployment.machine(CrashingCaller), deployment.machine(CrashingCaller).service_, serveNothing);
    const rig::Upstream otherCaller("i-2", deployment.machine(OtherCaller), deployment.machine(OtherCaller).service_, serveNothing);
    Servers servers(deployment, record, options.hasTrouble_);
    if (!deployment.startAll() || !deployment.awaitServers(Machines)) {
        record.add("the deployment did not start");
        return rig::CouldNotRun;
    }
    rig::pause(StableWindow);
    rig::Orders orders(deployment.machine(OtherCaller), OrderClients);
    std::map<std::string, std::int64_t> sentAt;
    int served = 0;
    for (int send = 1; send <= Sends; ++send) {
        const std::string id = "crash" + std::to_string(send);
        sentAt[id] = rig::now();
        rig::call(deployment.machine(CrashingCaller), {"GET", Path, id, 1000, ""}, record);
        rig::pause(ResendInterval / 2);
        const std::string otherId = "other" + std::to_string(send);
        served += rig::call(deployment.machine(OtherCaller), {"GET", Path, otherId, 1000, ""}, record) == 200 ? 1 : 0;
        rig::pause(ResendInterval / 2);
    }
    std::size_t retries = 0;
    const std::vector<std::int64_t> crashes = servers.crashes();
    if (crashes.size() >= CrashesBefore) {
        const std::int64_t countedFrom = crashes[CrashesBefore - 1] + StableWindow;
        for (const std::string &id : servers.crashing()) {
            retries += sentAt[id] > countedFrom ? 1 : 0;
        }
    }
    orders.stop();
    record.add(orders.text());
    record.add("requests of the other caller that were served: " + std::to_string(served) + " of " + std::to_string(Sends));
    record.add("crashes: " + std::to_string(crashes.size()) + "; retries that reached a server later than stableWindowS after the third one: "
               + std::to_string(retries) + ", allowed: " + std::to_string(MaxRetries));
    if (!options.hasTrouble_ && served != Sends) {
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
