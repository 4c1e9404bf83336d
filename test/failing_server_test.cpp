// Backend servers that fail part of their requests while their health check passes must get fewer requests. The health check alone does not
// show such a failure.
#define BOOST_TEST_MODULE failing_server
#include "fake/load_pattern.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

constexpr std::size_t Instances = 12;
constexpr std::size_t FailingServers = 2;
constexpr double FailedShare = 0.45;

// A fleet whose first servers fail part of their requests while isFailing_ is true.
struct PartiallyFailingFleet {
    FakeFleet fleet_;
    Random random_{91};
    bool isFailing_ = true;

    explicit PartiallyFailingFleet(bool avoidsFailing)
        : fleet_(Instances, 90, settings(avoidsFailing))
    {
        for (FakeInstance &instance : fleet_.instances_) {
            instance.slots_ = 12;
            instance.serviceTime_ = Millis(100);
        }
        startRoutedFleet(fleet_);
    }

    static WorldSettings settings(bool avoidsFailing)
    {
        WorldSettings settings = routedSettings();
        settings.usesFailureShare_ = avoidsFailing;
        return settings;
    }

    // Decides at random whether a server fails its next request.
    bool fails(std::size_t index)
    {
        return isFailing_ && index < FailingServers && random_.uniformReal() < FailedShare;
    }

    // Returns the number of requests started at the failing servers while load is applied for a time.
    std::size_t startedAtFailing(Millis span)
    {
        std::size_t before = 0;
        std::size_t after = 0;
        for (std::size_t index = 0; index < FailingServers; ++index) {
            before += fleet_.instances_[index].handOverTimes_.size();
        }
        replayLoad(fleet_, {{800, span}}, 93);
        for (std::size_t index = 0; index < FailingServers; ++index) {
            after += fleet_.instances_[index].handOverTimes_.size();
        }
        return after - before;
    }
};

void printOutcome(const char *name, const LoadOutcome &outcome)
{
    BOOST_TEST_MESSAGE(name << ": calls " << outcome.calls_ << ", on time " << outcome.onTime_ << ", late " << outcome.late_ << ", unanswered "
                            << outcome.unanswered_);
}

} // namespace

// Load pattern: two thirds of the servers' capacity; two of twelve servers refuse 45 in 100 requests.
BOOST_AUTO_TEST_CASE(servers_that_refuse_get_less_work)
{
    std::array<std::size_t, 2> started{};
    std::array<int, 2> unanswered{};
    for (const bool avoidsFailing : {false, true}) {
        PartiallyFailingFleet setup(avoidsFailing);
        setup.fleet_.refuses_ = [&](std::size_t index) { return setup.fails(index); };
        const LoadOutcome outcome = replayLoad(setup.fleet_, {{800, Millis(6000)}}, 92);
        printOutcome(avoidsFailing ? "failures considered" : "failures ignored", outcome);
        unanswered[avoidsFailing ? 1 : 0] = outcome.unanswered_;
        started[avoidsFailing ? 1 : 0] = setup.startedAtFailing(Millis(3000));
    }
    BOOST_TEST_MESSAGE("started at failing servers: " << started[0] << " ignored, " << started[1] << " considered");
    BOOST_TEST(started[1] * 3 < started[0]);
    BOOST_TEST(unanswered[1] * 3 < unanswered[0]);
}

// Load pattern: as above, but the requests hang instead. A write that hangs gets no response.
BOOST_AUTO_TEST_CASE(servers_that_hang_get_less_work)
{
    std::array<int, 2> unanswered{};
    for (const bool avoidsFailing : {false, true}) {
        PartiallyFailingFleet setup(avoidsFailing);
        setup.fleet_.hangs_ = [&](std::size_t index) { return setup.fails(index); };
        const LoadOutcome outcome = replayLoad(setup.fleet_, {{800, Millis(8000)}}, 92);
        printOutcome(avoidsFailing ? "hangs considered" : "hangs ignored", outcome);
        unanswered[avoidsFailing ? 1 : 0] = outcome.unanswered_;
    }
    BOOST_TEST(unanswered[1] * 2 < unanswered[0]);
}

BOOST_AUTO_TEST_CASE(a_server_that_recovers_gets_its_share_back)
{
    PartiallyFailingFleet setup(true);
    setup.fleet_.refuses_ = [&](std::size_t index) { return setup.fails(index); };
    replayLoad(setup.fleet_, {{800, Millis(4000)}}, 92);
    const std::size_t during = setup.startedAtFailing(Millis(2000));
    setup.isFailing_ = false;
    replayLoad(setup.fleet_, {{800, Millis(6000)}}, 94);
    const std::size_t afterwards = setup.startedAtFailing(Millis(2000));
    BOOST_TEST_MESSAGE("started at failing servers: " << during << " while failing, " << afterwards << " afterwards");
    BOOST_TEST(afterwards > 2 * during);
    BOOST_TEST(afterwards > 50U);
}

// When all servers of a service fail alike, none is better than another, and none may be left out.
BOOST_AUTO_TEST_CASE(no_server_is_left_out_when_all_fail_alike)
{
    PartiallyFailingFleet setup(true);
    setup.fleet_.refuses_ = [&](std::size_t /*index*/) { return setup.random_.uniformReal() < FailedShare; };
    const LoadOutcome outcome = replayLoad(setup.fleet_, {{800, Millis(6000)}}, 92);
    printOutcome("all refuse", outcome);
    for (const FakeInstance &instance : setup.fleet_.instances_) {
        BOOST_TEST(instance.handOverTimes_.size() > 40U);
    }
}
