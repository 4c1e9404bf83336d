// The address of an upstream that has ended is assigned to an upstream of another service. The settings file of the machine changes without a signal. The
// new upstream then makes calls through the daemon on its machine.
#include "../standin-2/rig.h"

namespace {

// Bounds of the pages: addrReuseS, drainS and configApplyS.
constexpr std::int64_t AddressReuse = 2000;
constexpr std::int64_t Drain = 2000;
constexpr std::int64_t ConfigApply = 2000;
// Number of calls and the time between two of them.
constexpr int Calls = 10;
constexpr std::int64_t CallInterval = 200;

const std::string OldService = "printing";
const std::string NewService = "billing";

int run(const rig::Options &options)
{
    rig::Record record(options.recordPath_);
    rig::Deployment deployment(options, {OldService, "desk"});
    deployment.configure(7, {{"rolls", "/rolls/", "safe", "desk"}, {"print", "/print/", "unsafe", OldService}, {"bill", "/bill/", "unsafe", NewService}},
                         {"desk", OldService, NewService});
    std::mutex mutex;
    // The caller's service that the server of "desk" was told, by attempt.
    std::map<std::string, std::string> callerServices;
    const auto run = [&](const rig::Upstream &server, const rig::Message &request) -> std::optional<rig::Message> {
        const std::string attempt = request.field("Attempt-Id");
        const std::string caller = request.field("Caller-Service");
        record.add("server " + server.id() + " of " + server.service() + " runs " + request.target_ + " " + attempt + " with Caller-Service " + caller);
        const std::lock_guard lock(mutex);
        callerServices[attempt] = caller;
        return rig::makeResponse(200, "served " + attempt);
    };
    const rig::Machine &machine = deployment.machine(0);
    auto server = std::make_unique<rig::Upstream>("i-1-old", machine, OldService, run);
    const rig::Upstream desk("i-2", deployment.machine(1), "desk", run);
    if (!deployment.startAll() || !deployment.awaitServers(2)) {
        record.add("the deployment did not start");
        return rig::CouldNotRun;
    }
    const auto startedAt = deployment.daemon(0).startedAt();
    std::string service = OldService;
    if (rig::call(machine, {"GET", "/rolls/0", "call0", 1000, ""}, record) != 200) {
        return rig::CouldNotRun;
    }
    if (options.hasTrouble_) {
        rig::pause(startedAt + 10000 - rig::now());
        record.add("server i-1-old reports that it drains: " + std::string(server->drain() ? "confirmed" : "not confirmed"));
        rig::pause(Drain + 200);
        record.add("server i-1-old deregisters: " + std::string(server->deregister() ? "confirmed" : "not confirmed"));
        server.reset();
        rig::pause(std::max(AddressReuse + 500, startedAt + 15700 - rig::now()));
        rig::Machine changed = machine;
        changed.service_ = NewService;
        deployment.daemon(0).writeSettings(changed.settings(deployment.storeEndpoint()));
        record.add("the settings file of " + machine.name_ + " changes: its service is " + NewService);
        server = std::make_unique<rig::Upstream>("i-1-new", machine, NewService, run);
        service = NewService;
        record.add("server i-1-new of " + NewService + " starts at the address of i-1-old");
        if (!deployment.awaitServers(2)) {
            return rig::CouldNotRun;
        }
        record.add("all daemons know the new server as ready");
        if (rig::call(deployment.machine(1), {"POST", "/bill/1", "bill1", 1000, "bill"}, record) != 200) {
            return rig::CouldNotRun;
        }
        rig::pause(ConfigApply);
    }
    int wrong = 0;
    int reached = 0;
    for (int index = 1; index <= Calls; ++index) {
        const std::string id = "call" + std::to_string(index);
        rig::call(machine, {"GET", "/rolls/" + std::to_string(index), id, 1000, ""}, record);
        const std::lock_guard lock(mutex);
        reached += callerServices.contains(id) ? 1 : 0;
        wrong += callerServices.contains(id) && callerServices[id] != service ? 1 : 0;
        rig::pause(CallInterval);
    }
    record.add(std::to_string(reached) + " calls of the server of " + service + " ran, " + std::to_string(wrong) + " of them with the name of another service");
    if (reached == 0) {
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
