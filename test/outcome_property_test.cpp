// Properties of outcomes under random interleavings of faults: a response is complete and belongs to its request, "not run" is true, and a
// request that is not idempotent runs at most once.
#define BOOST_TEST_MODULE outcome_property
#include "fake/fake_fleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

constexpr std::size_t Instances = 6;
constexpr int Actions = 60;
constexpr int MaxSends = 3;

// One fault of a random schedule.
struct FaultStep {
    int kind_ = 0;
    std::size_t target_ = 0;
    std::size_t other_ = 0;
    int startMs_ = 0;
    int lengthMs_ = 0;
};

// Starts one fault and schedules its end.
using FaultFunction = void (*)(FakeFleet &, const FaultStep &);

void killDaemon(FakeFleet &fleet, const FaultStep &step)
{
    fleet.kill(step.target_);
    fleet.at(fleet.now() + Millis(step.lengthMs_), [&fleet, step]() { fleet.start(step.target_); });
}

void pauseDaemon(FakeFleet &fleet, const FaultStep &step)
{
    fleet.pause(step.target_);
    fleet.at(fleet.now() + Millis(step.lengthMs_), [&fleet, step]() { fleet.resume(step.target_); });
}

void cutNetwork(FakeFleet &fleet, const FaultStep &step)
{
    fleet.setPartitioned(step.target_, step.other_, true);
    fleet.at(fleet.now() + Millis(step.lengthMs_), [&fleet, step]() { fleet.setPartitioned(step.target_, step.other_, false); });
}

void failServer(FakeFleet &fleet, const FaultStep &step)
{
    fleet.failBackend(step.target_, Millis(step.lengthMs_));
}

void stopStore(FakeFleet &fleet, const FaultStep &step)
{
    fleet.store_.down_ = true;
    fleet.at(fleet.now() + Millis(step.lengthMs_), [&fleet]() { fleet.store_.down_ = false; });
}

void loseStoreAnswers(FakeFleet &fleet, const FaultStep &step)
{
    fleet.store_.losesResponses_ = true;
    fleet.at(fleet.now() + Millis(step.lengthMs_), [&fleet]() { fleet.store_.losesResponses_ = false; });
}

void slowServer(FakeFleet &fleet, const FaultStep &step)
{
    fleet.instances_[step.target_].serviceTime_ = Millis(step.lengthMs_);
    fleet.at(fleet.now() + Millis(1000), [&fleet, step]() { fleet.instances_[step.target_].serviceTime_ = Millis(5); });
}

constexpr std::array<FaultFunction, 7> Faults{killDaemon, pauseDaemon, cutNetwork, failServer, stopStore, loseStoreAnswers, slowServer};

rc::Gen<FaultStep> anyFault()
{
    return rc::gen::build<FaultStep>(rc::gen::set(&FaultStep::kind_, rc::gen::inRange<int>(0, Faults.size())),
                                     rc::gen::set(&FaultStep::target_, rc::gen::inRange<std::size_t>(0, Instances)),
                                     rc::gen::set(&FaultStep::other_, rc::gen::inRange<std::size_t>(0, Instances)),
                                     rc::gen::set(&FaultStep::startMs_, rc::gen::inRange(0, 3000)),
                                     rc::gen::set(&FaultStep::lengthMs_, rc::gen::inRange(10, 2500)));
}

// Sends an action again through the next daemon until it has a response or MaxSends is reached.
void sendUntilAnswered(FakeFleet &fleet, const FakeCall &action, int send, std::size_t instance)
{
    FakeCall call = action;
    call.token_ += "/" + std::to_string(send);
    const std::size_t number = fleet.call(instance, call);
    fleet.at(fleet.now() + Millis(700), [&fleet, action, send, instance, number]() {
        const bool answered = fleet.results_[number].responseToken_.has_value();
        if (!answered && send < MaxSends) {
            sendUntilAnswered(fleet, action, send + 1, (instance + 1) % Instances);
        }
    });
}

// Waits until ticket 1 is active on the whole fleet.
void initFleetTable(FakeFleet &fleet)
{
    fleet.runFor(Millis(4000));
    fleet.submit(0, standardTicket(1));
    fleet.runFor(Millis(4000));
    RC_ASSERT(fleet.allUseTicket(1));
}

// Makes the calls while the faults happen, then waits until all faults have ended and all calls are over.
void runSchedule(FakeFleet &fleet, const std::vector<FaultStep> &faults)
{
    constexpr std::array<const char *, 3> Classes{"read", "write", "keyed"};
    const Millis start = fleet.now();
    for (const FaultStep &fault : faults) {
        fleet.at(start + Millis(fault.startMs_), [&fleet, fault]() { Faults[fault.kind_](fleet, fault); });
    }
    for (int number = 0; number < Actions; ++number) {
        FakeCall action;
        action.action_ = "action-" + std::to_string(number);
        action.token_ = action.action_;
        action.class_ = Classes[number % Classes.size()];
        action.key_ = action.class_ == std::string("keyed") ? action.action_ : "";
        action.canInlineBody_ = number % 5 != 0;
        fleet.at(start + Millis(50) * number, [&fleet, action, number]() { sendUntilAnswered(fleet, action, 1, number % Instances); });
    }
    fleet.runFor(Millis(30000));
}

// Checks the outcome of every call and action.
void checkOutcomes(const FakeFleet &fleet)
{
    for (std::size_t number = 0; number < fleet.calls_.size(); ++number) {
        const FakeCall &call = fleet.calls_[number];
        const CallResult &result = fleet.results_[number];
        const auto ran = fleet.executionsByToken_.find(call.token_);
        const int executions = ran == fleet.executionsByToken_.end() ? 0 : ran->second;
        RC_ASSERT(result.isOver());
        if (result.responseToken_) {
            RC_ASSERT(*result.responseToken_ == call.token_);
            RC_ASSERT(executions >= 1);
        }
        if (result.failure_ && provesNotRun(*result.failure_)) {
            RC_ASSERT(executions == 0);
        }
        if (call.class_ != "read") {
            RC_ASSERT(executions <= 1);
        }
        if (call.class_ == "keyed") {
            RC_ASSERT(fleet.executions(call.action_) <= 1);
        }
    }
}

// Share of calls with a response.
double answeredShare(const FakeFleet &fleet)
{
    const auto answered
        = std::count_if(fleet.results_.begin(), fleet.results_.end(), [](const CallResult &result) { return result.responseToken_.has_value(); });
    return static_cast<double>(answered) / static_cast<double>(fleet.results_.size());
}

} // namespace

RC_BOOST_PROP(outcomes_are_true_under_random_faults, ())
{
    const auto faults = *rc::gen::container<std::vector<FaultStep>>(anyFault());
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    FakeFleet fleet(Instances, seed);
    fleet.datagramFaultPermille_ = 20;
    fleet.delayedMessagePermille_ = 20;
    initFleetTable(fleet);
    runSchedule(fleet, faults);
    checkOutcomes(fleet);
}

BOOST_AUTO_TEST_CASE(without_faults_every_call_is_answered_once)
{
    FakeFleet fleet(Instances, 7);
    initFleetTable(fleet);
    runSchedule(fleet, {});
    checkOutcomes(fleet);
    BOOST_TEST(answeredShare(fleet) == 1.0);
    BOOST_TEST(fleet.calls_.size() == static_cast<std::size_t>(Actions));
    for (const auto &[action, count] : fleet.executions_) {
        BOOST_TEST(count == 1);
    }
}

// Equal seeds and events give equal runs.
BOOST_AUTO_TEST_CASE(runs_replay)
{
    std::array<std::vector<std::int64_t>, 2> ends;
    for (auto &run : ends) {
        FakeFleet fleet(Instances, 11);
        initFleetTable(fleet);
        runSchedule(fleet, {FaultStep{0, 2, 0, 300, 900}, FaultStep{5, 0, 0, 500, 800}});
        for (const CallResult &result : fleet.results_) {
            run.push_back(result.endedAt_.micros());
        }
    }
    BOOST_TEST((ends[0] == ends[1]));
}
