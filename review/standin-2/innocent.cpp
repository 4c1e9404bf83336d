// All servers of one zone crash at the same time and are back after some seconds. Many clients read the same page, whose route was added to the desired
// state later; it has crashed nothing.
#include "rig.h"

namespace {

// Bounds of the pages: recoverS, stableWindowS and configApplyS.
constexpr std::int64_t Recover = 15000;
constexpr std::int64_t StableWindow = 3000;
constexpr std::int64_t ConfigApply = 2000;
// How long the servers are down.
constexpr std::int64_t Outage = 3000;
// Time in which the requests of the steady state are counted.
constexpr std::int64_t Counted = 10000;
constexpr std::int64_t Work = 90;
constexpr std::int64_t ClientPause = 30;
constexpr std::size_t Machines = 6;
constexpr std::size_t ClientsOfMachine = 9;
// The least number of requests for which the rule holds, and the share of the first routes' service that it asks for.
constexpr int MinRequests = 20;
constexpr double MinShare = 0.25;

// Requests of one route that were sent and served.
struct Count {
    std::atomic<int> sent_ = 0;
    std::atomic<int> served_ = 0;

    void reset()
    {
        sent_ = 0;
        served_ = 0;
    }

    [[nodiscard]] double share() const
    {
        return sent_ == 0 ? 0.0 : static_cast<double>(served_) / sent_;
    }

    [[nodiscard]] std::string text() const
    {
        return std::to_string(served_) + " of " + std::to_string(sent_);
    }
};

int run(const rig::Options &options)
{
    rig::Record record(options.recordPath_);
    rig::Deployment deployment(options, std::vector<std::string>(Machines, "desk"), {"goodlands", "goodlands", "pamplemousses"});
    deployment.configure(7, {{"rolls", "/rolls/", "safe", "desk"}}, {"desk"});
    const auto run = [](const rig::Upstream & /*server*/, const rig::Message &request) -> std::optional<rig::Message> {
        rig::pause(Work);
        return rig::makeResponse(200, "served " + request.field("Attempt-Id"));
    };
    std::vector<std::unique_ptr<rig::Upstream>> servers;
    const auto start = [&](std::size_t index, int count) {
        const std::string id = "i-" + std::to_string(index + 1) + "-" + std::to_string(count);
        return std::make_unique<rig::Upstream>(id, deployment.machine(index), "desk", run);
    };
    for (std::size_t index = 0; index < Machines; ++index) {
        servers.push_back(start(index, 1));
    }
    if (!deployment.startAll() || !deployment.awaitServers(Machines)) {
        record.add("the deployment did not start");
        return rig::CouldNotRun;
    }
    deployment.configure(9, {{"rolls", "/rolls/", "safe", "desk"}, {"notices", "/notices/", "safe", "desk"}}, {"desk"});
    record.add("the store has confirmed desired state r9, which adds the route /notices/");
    rig::pause(ConfigApply + StableWindow);
    std::atomic<bool> isOver = false;
    std::atomic<int> attempts = 0;
    Count rolls;
    Count notices;
    std::vector<std::thread> clients;
    for (std::size_t index = 0; index < Machines; ++index) {
        for (std::size_t client = 0; client < ClientsOfMachine; ++client) {
            clients.emplace_back([&, index]() {
                while (!isOver) {
                    const int number = ++attempts;
                    Count &count = number % 2 == 0 ? rolls : notices;
                    const std::string path = number % 2 == 0 ? "/rolls/" + std::to_string(number) : "/notices/today";
                    const int status = rig::call(deployment.machine(index), {"GET", path, "a" + std::to_string(number), 800, ""}, record);
                    ++count.sent_;
                    count.served_ += status == 200 ? 1 : 0;
                    rig::pause(ClientPause);
                }
            });
        }
    }
    rig::pause(StableWindow);
    record.add("before: first route " + rolls.text() + ", later route " + notices.text());
    if (options.hasTrouble_) {
        for (std::size_t index = 0; index < Machines; ++index) {
            if (deployment.machine(index).zone_ == "goodlands") {
                servers[index]->crash();
                record.add("server " + servers[index]->id() + " crashes");
            }
        }
        rig::pause(Outage);
        for (std::size_t index = 0; index < Machines; ++index) {
            if (servers[index]->isOver()) {
                servers[index].reset();
                servers[index] = start(index, 2);
                record.add("server " + servers[index]->id() + " started");
            }
        }
    }
    rig::pause(Recover + StableWindow);
    rolls.reset();
    notices.reset();
    rig::pause(Counted);
    const double first = rolls.share();
    const double later = notices.share();
    const bool isBroken = notices.sent_ >= MinRequests && later < first * MinShare;
    record.add("in steady state: first route " + rolls.text() + ", later route " + notices.text());
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    return isBroken ? rig::Broken : rig::Held;
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
