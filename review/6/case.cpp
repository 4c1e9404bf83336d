// The only server of a service crashes, and a server of another service starts at its address. Its first heartbeat arrives while the daemon of a caller's
// machine stands still for less than a tenth of a second, between its offer of a request and the confirmation.
#include "../standin-2/rig.h"

namespace {

// Bounds of the pages: addrReuseS and stableWindowS.
constexpr std::int64_t AddressReuse = 2000;
constexpr std::int64_t StableWindow = 3000;
// How long the daemon stands still: within one tenth of a second, as with an allotment of the processor that is used up.
constexpr std::int64_t Stall = 80;
constexpr std::size_t Caller = 0;
constexpr std::size_t Reused = 1;

int run(const rig::Options &options)
{
    rig::Record record(options.recordPath_);
    rig::Deployment deployment(options, {"counter", "desk"});
    deployment.configure(7, {{"orders", "/orders/", "unsafe", "desk"}, {"bills", "/bills/", "unsafe", "billing"}}, {"desk", "billing", "counter"});
    std::mutex mutex;
    // The service that ran a request, by attempt.
    std::map<std::string, std::string> ranBy;
    const auto run = [&](const rig::Upstream &server, const rig::Message &request) -> std::optional<rig::Message> {
        const std::string attempt = request.field("Attempt-Id");
        record.add("server " + server.id() + " of " + server.service() + " runs " + request.method_ + " " + request.target_ + " " + attempt
                   + " with Expect-Instance " + request.field("Expect-Instance"));
        const std::lock_guard lock(mutex);
        ranBy[attempt] = server.service();
        return rig::makeResponse(200, "served " + attempt);
    };
    const rig::Machine &machine = deployment.machine(Reused);
    const rig::Upstream counter("i-1", deployment.machine(Caller), "counter", run);
    auto server = std::make_unique<rig::Upstream>("i-2-desk", machine, "desk", run);
    if (!deployment.startAll() || !deployment.awaitServers(2)) {
        record.add("the deployment did not start");
        return rig::CouldNotRun;
    }
    rig::pause(StableWindow);
    if (rig::call(deployment.machine(Caller), {"POST", "/orders/1", "order1", 1000, "order 1"}, record) != 200) {
        return rig::CouldNotRun;
    }
    rig::Daemon &callersDaemon = deployment.daemon(Caller);
    if (!options.hasTrouble_) {
        const int status = rig::call(deployment.machine(Caller), {"POST", "/orders/2", "order2", 1000, "order 2"}, record);
        return status == 200 && ranBy["order2"] == "desk" ? rig::Held : rig::CouldNotRun;
    }
    server.reset();
    record.add("server i-2-desk crashed");
    rig::pause(AddressReuse + 300);
    std::atomic<bool> isChecked = false;
    server = std::make_unique<rig::Upstream>("i-2-billing", machine, "billing", run, [&]() {
        if (isChecked.exchange(true)) {
            return;
        }
        record.add("server i-2-billing gets a health check; the daemon on " + deployment.machine(Caller).name_ + " stands still");
        callersDaemon.signal(SIGSTOP);
    });
    record.add("server i-2-billing of billing started at the address of i-2-desk");
    int status = 0;
    std::thread client([&]() { status = rig::call(deployment.machine(Caller), {"POST", "/orders/2", "order2", 1000, "order 2"}, record); });
    const std::int64_t waitsUntil = rig::now() + 1500;
    while (!isChecked && rig::now() < waitsUntil) {
        rig::pause(1);
    }
    const bool hasStalled = isChecked;
    rig::pause(Stall / 2);
    record.add("first heartbeat of i-2-billing: " + std::string(server->startBeats() ? "confirmed" : "not confirmed"));
    rig::pause(Stall / 2);
    callersDaemon.signal(SIGCONT);
    record.add("the daemon on " + deployment.machine(Caller).name_ + " runs again");
    client.join();
    rig::pause(1000);
    if (!hasStalled) {
        record.add("no health check came");
        return rig::CouldNotRun;
    }
    const std::lock_guard lock(mutex);
    if (!ranBy.contains("order2")) {
        record.add("order2 was not run");
        return rig::Held;
    }
    record.add("order2, for which the only desired state names desk, was run by " + ranBy["order2"]);
    return ranBy["order2"] == "desk" ? rig::Held : rig::Broken;
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
