// Measures memory, time and bytes of each role by the size of the fleet, for docs/CAPACITY.md.
#include "core/hash.h"
#include "fleet/gossip_func.h"
#include "fleet/instance_func.h"
#include "measure/measurement_budget_func.h"
#include "measure/selection_func.h"
#include "ticket/ticket_func.h"
#include "world/world.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>

namespace radishford {

namespace {

constexpr std::size_t InstancesPerService = 12;
constexpr std::size_t Places = 15;
constexpr std::size_t Regions = 4;

// Returns the bytes that the process has allocated.
double allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

// Returns the time in seconds that an action takes.
template<typename Action>
double secondsOf(Action action)
{
    const auto start = std::chrono::steady_clock::now();
    action();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

// Returns the settings of the measured daemon.
WorldSettings makeSettings()
{
    WorldSettings settings;
    settings.name_ = InstanceName("self");
    settings.address_ = Address{1, 1};
    settings.incarnation_ = Incarnation(1);
    for (std::size_t place = 0; place < Places; ++place) {
        settings.places_.push_back(Place{"domain-" + std::to_string(place), "region-" + std::to_string(place % Regions)});
    }
    settings.failureDomain_ = "domain-0";
    return settings;
}

// Returns the record of one instance of a large fleet.
InstanceRecord makeRecord(std::size_t number, std::uint32_t version)
{
    InstanceRecord record;
    record.name_ = InstanceName("instance-" + std::to_string(number));
    record.address_ = Address{0x0A000000U + static_cast<std::uint32_t>(number), 7401};
    record.adminAddress_ = Address{record.address_.ip_, 7404};
    record.failureDomain_ = "domain-" + std::to_string(number % Places);
    record.incarnation_ = Incarnation(5);
    record.version_ = version;
    record.service_ = ServiceName("service-" + std::to_string(number / InstancesPerService));
    record.slots_ = Slots(12);
    record.backend_ = BackendState::Ready;
    return record;
}

// Returns a service with four request classes.
TicketObject makeService(std::size_t number, std::uint64_t ticket)
{
    ServiceSpec spec;
    for (const char *name : {"read", "write", "check", "upload"}) {
        RequestClass row;
        row.name_ = ClassName(name);
        row.methods_ = {"GET", "HEAD"};
        row.pathPrefix_ = std::string("/") + name;
        row.deadline_ = Millis(1000);
        spec.classes_.push_back(row);
    }
    return TicketObject{"service-" + std::to_string(number), TicketNumber(ticket), spec};
}

// Simulates one second of a daemon: its heartbeats are acknowledged, and a peer pings it once with some changed records.
void simulateSecond(World &world, Millis &now, std::size_t members, std::uint32_t version, double changesPerSecond, std::int64_t &bytes)
{
    const auto count = [&](const Outbox &outbox) {
        for (const Effect &effect : outbox) {
            if (const auto *datagram = std::get_if<SendDatagram>(&effect)) {
                bytes += maxDatagramWireSize(datagram->datagram_).value();
            }
        }
    };
    now = now + Millis(1000);
    const Outbox own = world.tick(now, {});
    count(own);
    Inbox inbox;
    for (const Effect &effect : own) {
        const auto *datagram = std::get_if<SendDatagram>(&effect);
        const auto *ping = datagram == nullptr ? nullptr : std::get_if<Ping>(&datagram->datagram_);
        if (ping != nullptr) {
            Ack ack{ping->header_};
            ack.header_.tableHash_ = world.fleet_.tableHash_;
            inbox.push_back(DatagramArrived{datagram->to_, ack});
        }
    }
    Ping ping;
    ping.header_.sender_ = InstanceName("instance-1");
    ping.header_.tableHash_ = world.fleet_.tableHash_;
    static double pendingChanges = 0;
    for (pendingChanges += changesPerSecond; pendingChanges >= 1; pendingChanges -= 1) {
        ping.header_.records_.push_back(makeRecord(std::size_t{version} * 7919U % members, version));
    }
    inbox.push_back(DatagramArrived{makeRecord(1, 1).address_, ping});
    count(world.tick(now, inbox));
}

// Membership: prints the memory of a row, and the processor time and bytes per second of heartbeats.
void measureMembers(std::size_t members)
{
    const double before = allocatedBytes();
    Millis now(1000);
    World world(makeSettings(), 1, now);
    for (std::size_t number = 0; number < members; ++number) {
        mergeRecord(world, makeRecord(number, 1));
    }
    const double memory = allocatedBytes() - before;
    // In the first minutes every row is sent once. The measurement starts after that, in the steady state.
    std::int64_t bytes = 0;
    world.fleet_.gossipQueue_.clear();
    world.fleet_.rows_.forEach([](InstanceId /*id*/, Instance &row) { row.remainingTransmissions_ = 0; });
    constexpr int Seconds = 600;
    // In a fleet of 30,000, 1,947 instances fail, restart or are replaced per day, with about four state changes each.
    const double changesPerSecond = 1947.0 * 4 / 86400 * static_cast<double>(members) / 30000;
    const double seconds = secondsOf([&]() {
        for (int second = 0; second < Seconds; ++second) {
            simulateSecond(world, now, members, 2 + static_cast<std::uint32_t>(second), changesPerSecond, bytes);
        }
    });
    std::printf("member rows %6zu: %7.1f KiB, %5.0f B/row, heartbeats %.4f%% of a core, %.0f B/s sent\n", members, memory / 1024,
                memory / static_cast<double>(members), seconds / Seconds * 100, static_cast<double>(bytes) / Seconds);
}

// Outbound side: prints the time to select one of a service's instances, by the size of the fleet.
void measureSelection(std::size_t members)
{
    Millis now(1000);
    World world(makeSettings(), 1, now);
    for (std::size_t number = 0; number < members; ++number) {
        mergeRecord(world, makeRecord(number, 1));
    }
    Call call;
    constexpr int Choices = 100000;
    std::vector<ServiceName> services;
    for (std::size_t number = 0; number * InstancesPerService < members; ++number) {
        services.emplace_back("service-" + std::to_string(number));
    }
    const double seconds = secondsOf([&]() {
        for (int choice = 0; choice < Choices; ++choice) {
            call.service_ = services[static_cast<std::size_t>(choice) % services.size()];
            selectInstance(world, call);
        }
    });
    std::printf("choice among %zu of %6zu rows: %.2f us\n", InstancesPerService, members, seconds / Choices * 1e6);
}

// Tickets: prints the memory of an object, and the time to apply one and to respond to a pull for the newest one.
void measureTickets(std::size_t services)
{
    const double before = allocatedBytes();
    Millis now(1000);
    World world(makeSettings(), 1, now);
    for (std::size_t number = 0; number < services; ++number) {
        applyObject(world, makeService(number, number + 1));
    }
    const double memory = allocatedBytes() - before;
    constexpr int Changes = 2000;
    const double apply = secondsOf([&]() {
        for (int change = 0; change < Changes; ++change) {
            applyObject(world, makeService(static_cast<std::size_t>(change) % services, services + static_cast<std::size_t>(change) + 1));
        }
    });
    constexpr int Pulls = 200;
    const double pull = secondsOf([&]() {
        for (int count = 0; count < Pulls; ++count) {
            objectsSetAfter(world, TicketNumber(services + Changes - 1));
        }
    });
    std::printf("services %5zu: %8.1f KiB, %5.0f B/object, apply %.2f us, answer a pull %.1f us\n", services, memory / 1024,
                memory / static_cast<double>(services), apply / Changes * 1e6, pull / Pulls * 1e6);
}

} // namespace

} // namespace radishford

int main()
{
    for (const std::size_t members : {24U, 240U, 2400U, 30000U}) {
        radishford::measureMembers(members);
    }
    for (const std::size_t members : {24U, 240U, 2400U, 30000U}) {
        radishford::measureSelection(members);
    }
    for (const std::size_t services : {2U, 24U, 240U, 2400U}) {
        radishford::measureTickets(services);
    }
    return 0;
}
