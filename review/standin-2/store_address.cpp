// The platform's store moves to another address. The settings files of all machines name the new address, and SIGHUP tells the daemons so. Later the
// operator moves a route to another service.
#include "rig.h"

namespace {

// Bounds of the pages: stableWindowS, configApplyS and maxStretchS.
constexpr std::int64_t StableWindow = 3000;
constexpr std::int64_t ConfigApply = 2000;
constexpr std::int64_t MaxStretch = 5000;
// Both addresses serve for this long after the signal.
constexpr std::int64_t Overlap = 8000;
constexpr std::size_t Machines = 4;
constexpr int RequestsPerMachine = 10;

int run(const rig::Options &options)
{
    rig::Record record(options.recordPath_);
    rig::Deployment deployment(options, {"desk", "desk", "counter", "counter"});
    const std::vector<std::string> services{"desk", "counter"};
    deployment.configure(7, {{"rolls", "/rolls/", "safe", "desk"}}, services);
    std::mutex mutex;
    // The service that ran a request, by attempt.
    std::map<std::string, std::string> ranBy;
    const auto run = [&](const rig::Upstream &server, const rig::Message &request) -> std::optional<rig::Message> {
        const std::string attempt = request.field("Attempt-Id");
        record.add("server " + server.id() + " of " + server.service() + " runs " + request.target_ + " " + attempt);
        const std::lock_guard lock(mutex);
        ranBy[attempt] = server.service();
        return rig::makeResponse(200, "served " + attempt);
    };
    std::vector<std::unique_ptr<rig::Upstream>> servers;
    for (std::size_t index = 0; index < Machines; ++index) {
        const rig::Machine &machine = deployment.machine(index);
        servers.push_back(std::make_unique<rig::Upstream>("i-" + std::to_string(index + 1), machine, machine.service_, run));
    }
    if (!deployment.startAll() || !deployment.awaitServers(Machines)) {
        record.add("the deployment did not start");
        return rig::CouldNotRun;
    }
    rig::pause(StableWindow);
    if (rig::call(deployment.machine(0), {"GET", "/rolls/0", "before", 1000, ""}, record) != 200 || ranBy["before"] != "desk") {
        return rig::CouldNotRun;
    }
    if (options.hasTrouble_) {
        const rig::Endpoint newAddress = deployment.moveStore();
        record.add("the store also serves at " + newAddress.text());
        for (std::size_t index = 0; index < Machines; ++index) {
            rig::Daemon &daemon = deployment.daemon(index);
            daemon.writeSettings(daemon.machine().settings(newAddress));
            daemon.signal(SIGHUP);
        }
        record.add("the settings files name the new address; SIGHUP to all daemons");
        rig::pause(Overlap);
        deployment.closeOldStore();
        record.add("the store no longer serves at the old address");
        rig::pause(StableWindow);
    }
    deployment.configure(9, {{"rolls", "/rolls/", "safe", "counter"}}, services);
    record.add("the store has confirmed desired state r9, which moves the route to counter");
    rig::pause(ConfigApply + MaxStretch + 1000);
    int ran = 0;
    int wrong = 0;
    for (std::size_t index = 0; index < Machines; ++index) {
        for (int count = 1; count <= RequestsPerMachine; ++count) {
            const std::string id = "after" + std::to_string(index + 1) + "-" + std::to_string(count);
            rig::call(deployment.machine(index), {"GET", "/rolls/" + std::to_string(count), id, 1000, ""}, record);
            const std::lock_guard lock(mutex);
            ran += ranBy.contains(id) ? 1 : 0;
            wrong += ranBy.contains(id) && ranBy[id] != "counter" ? 1 : 0;
        }
    }
    record.add("requests that ran: " + std::to_string(ran) + "; by the service that only the older version names: " + std::to_string(wrong));
    if (ran == 0) {
        return rig::CouldNotRun;
    }
    return wrong > 0 ? rig::Broken : rig::Held;
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
