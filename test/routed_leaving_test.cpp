// A daemon of a routed deployment that is asked to end: callers go on coming for a while, and none is cut.
#define BOOST_TEST_MODULE routed_leaving
#include "fake/routed_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests speak of nothing else

namespace {

constexpr std::size_t Instances = 6;

// Calls through one daemon every so often for a span; returns their numbers.
std::vector<std::size_t> keepCalling(FakeFleet &fleet, std::size_t index, Millis span)
{
    std::vector<std::size_t> numbers;
    const Millis end = fleet.now() + span;
    while (fleet.now() < end && !fleet.instances_[index].exited_) {
        numbers.push_back(fleet.call(index, routedCall("call" + std::to_string(fleet.calls_.size()), numbers.size() % 2 == 0)));
        fleet.runFor(Millis(40));
    }
    return numbers;
}

} // namespace

// Found on yukiguni-mesh (trouble-2) and ppc-mesh (scale-2): the daemon took calls until its end, and cut the last ones.
BOOST_AUTO_TEST_CASE(no_call_is_cut_by_a_shutdown)
{
    FakeFleet fleet(Instances, 61, routedSettings());
    joinRouted(fleet);
    for (FakeInstance &instance : fleet.instances_) {
        instance.work_ = Millis(120);
    }
    fleet.post(2, ShutdownAsked{});
    const Millis asked = fleet.now();
    const std::vector<std::size_t> numbers = keepCalling(fleet, 2, Millis(6000));
    fleet.runFor(Millis(2000));
    BOOST_TEST(fleet.instances_[2].exited_);
    int served = 0;
    for (const std::size_t number : numbers) {
        const CallResult &result = fleet.results_[number];
        BOOST_TEST(!result.cut_);
        BOOST_TEST(result.isOver());
        const bool early = result.startedAt_ < asked + routedSettings().leaveRefuse_;
        served += result.answer_ ? 1 : 0;
        BOOST_TEST((!early || result.answer_.has_value()));
    }
    BOOST_TEST(served > 80);
}

BOOST_AUTO_TEST_CASE(a_daemon_without_callers_ends_soon)
{
    FakeFleet fleet(Instances, 62, routedSettings());
    joinRouted(fleet);
    fleet.post(2, ShutdownAsked{});
    fleet.runFor(routedSettings().leaveLeast_ + Millis(500));
    BOOST_TEST(fleet.instances_[2].exited_);
}

// Found by a hunt on yukiguni-mesh (trouble-1, seed 483560469666): in the moment between the decision to end and the end of the process
// a call was still sent to a backend server, and cut.
BOOST_AUTO_TEST_CASE(a_call_that_comes_after_the_decision_to_end_is_refused)
{
    FakeFleet fleet(Instances, 64, routedSettings());
    joinRouted(fleet);
    fleet.post(2, ShutdownAsked{});
    fleet.runFor(routedSettings().leaveLeast_ + Millis(500));
    BOOST_REQUIRE(fleet.instances_[2].exited_);
    bool refused = false;
    bool offered = false;
    fleet.watch_ = [&](std::size_t index, const Effect &effect) {
        const auto *failure = std::get_if<FailCall>(&effect);
        refused = refused || (index == 2 && failure != nullptr && failure->code_ == ResultCode::DaemonLeaving);
        offered = offered || (index == 2 && std::holds_alternative<StartExchange>(effect));
    };
    CallArrived late;
    late.handle_ = CallHandle(fleet.calls_.size() + 1);
    fleet.calls_.emplace_back();
    fleet.results_.emplace_back();
    fleet.callAtExited(2, late);
    BOOST_TEST(refused);
    BOOST_TEST(!offered);
}

BOOST_AUTO_TEST_CASE(changed_settings_come_into_force)
{
    FakeFleet fleet(1, 63, routedSettings());
    WorldSettings changed = routedSettings();
    changed.repeatSlack_ = 7;
    fleet.post(0, SettingsChanged{changed});
    BOOST_TEST(fleet.world(0).settings_.repeatSlack_ == 7);
    BOOST_TEST(fleet.world(0).settings_.name_.value() == "i0");
}
