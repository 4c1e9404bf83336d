// The service as which the requests of a machine begin, when its settings and its backend server change in any order.
#define BOOST_TEST_MODULE platform_caller_service
#include "fake/routed_fleet.h"
#include "platform/adapters.h"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// One daemon of a deployment with two services. Its settings name "booking" at first.
struct Machine {
    FakeFleet fleet_{1, 61, routedSettings()};

    Machine()
    {
        fleet_.instances_[0].sendsAnnouncements_ = false;
        TicketObject state = routing(1);
        std::get<RoutingSpec>(state.spec_).services_.push_back(RoutedService{ServiceName("billing"), "/health"});
        fleet_.store_.putRouting(state);
        fleet_.runFor(Millis(4000));
    }

    // Announces a start of a server at the machine's address.
    void announce(const char *service, std::uint64_t start, std::uint64_t sequence)
    {
        const Address address = fleet_.instances_[0].settings_.backendAddress_;
        const BackendId id("start-" + std::to_string(start));
        fleet_.post(0, BackendAnnounced{ServiceName(service), address, Slots(4), BackendState::Ready, Incarnation(start), id, sequence});
    }

    // Loads settings that name a service.
    void load(const char *service)
    {
        WorldSettings settings = fleet_.instances_[0].settings_;
        settings.backendService_ = ServiceName(service);
        fleet_.post(0, SettingsChanged{settings});
    }

    // The caller's service that a request gets that begins now.
    std::string callerService()
    {
        http::request<http::empty_body> header(http::verb::get, "/read/1", 11);
        header.set(http::field::host, "desk.example");
        header.set("Attempt-Id", "a1");
        const ParsedCallHeader call = platform::httpAdapters().calls_.readCall(fleet_.world(0), header);
        for (const HeaderField &field : call.fields_) {
            if (field.name_ == "Caller-Service") {
                return field.value_;
            }
        }
        return {};
    }
};

} // namespace

// Guards against requests that bear the service of the server that was at the machine's address before (review/10).
BOOST_AUTO_TEST_CASE(requests_begin_as_the_service_that_was_named_last)
{
    struct Order {
        const char *description_;
        std::function<void(Machine &)> change_;
        std::string expected_;
    };
    const std::vector<Order> orders{
        {"nothing changes", [](Machine &) {}, "booking"},
        {"a server of another service, before the settings", [](Machine &machine) { machine.announce("billing", 9, 1); }, "billing"},
        {"the settings, before the server", [](Machine &machine) { machine.load("billing"); }, "billing"},
        {"a late heartbeat of the former server after the settings",
         [](Machine &machine) {
             machine.load("billing");
             machine.announce("booking", 5, 3);
         },
         "billing"},
        {"the settings are loaded again without a change of service",
         [](Machine &machine) {
             machine.announce("billing", 9, 1);
             machine.load("booking");
         },
         "billing"},
        {"a heartbeat with a service that the desired state does not name", [](Machine &machine) { machine.announce("ghost", 9, 1); }, "booking"},
        {"back to the first service",
         [](Machine &machine) {
             machine.announce("billing", 9, 1);
             machine.load("billing");
             machine.announce("booking", 12, 1);
         },
         "booking"},
    };
    for (const Order &order : orders) {
        Machine machine;
        machine.announce("booking", 5, 1);
        order.change_(machine);
        BOOST_TEST(machine.callerService() == order.expected_, order.description_ << ": " << machine.callerService());
    }
}
