// Leaving: no new work within seconds, and nothing in flight is cut.
#define BOOST_TEST_MODULE leaving
#include "fake/fake_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests speak of nothing else

namespace {

constexpr std::size_t Instances = 6;
// The stated target for a leaving backend server to receive no new work.
constexpr Millis NoNewWorkAfter{3000};
constexpr std::size_t Leaving = 2;

// A fleet with ticket 1 in force.
void join(FakeFleet &fleet)
{
    fleet.runFor(Millis(5000));
    fleet.submit(0, standardTicket(1));
    fleet.runFor(Millis(5000));
    BOOST_REQUIRE(fleet.allHaveTicket(1));
}

// Calls through every daemon in turn for a while, 200 a second.
void makeTraffic(FakeFleet &fleet, Millis span)
{
    const Millis end = fleet.now() + span;
    for (int number = 0; fleet.now() < end; ++number) {
        const std::string name = "t" + std::to_string(fleet.calls_.size());
        fleet.call(static_cast<std::size_t>(number) % Instances, FakeCall{.token_ = name, .action_ = name});
        fleet.runFor(Millis(5));
    }
    // Lets the last calls end.
    fleet.runFor(Millis(1000));
}

// Hand-overs at an instance after a time.
std::ptrdiff_t handOversAfter(const FakeFleet &fleet, std::size_t index, Millis time)
{
    const auto &times = fleet.instances_[index].handOvers_;
    return std::count_if(times.begin(), times.end(), [&](Millis moment) { return moment > time; });
}

// Calls that were not answered.
std::ptrdiff_t unanswered(const FakeFleet &fleet)
{
    return std::count_if(fleet.results_.begin(), fleet.results_.end(), [](const CallResult &result) { return !result.answer_.has_value(); });
}

// Starts an upload that the backend server works on for minutes.
std::size_t startUpload(FakeFleet &fleet, std::size_t through)
{
    for (FakeInstance &instance : fleet.instances_) {
        instance.work_ = Millis(180000);
    }
    const std::size_t upload = fleet.call(through, FakeCall{.token_ = "upload", .action_ = "upload", .class_ = "upload", .mayRide_ = false});
    fleet.runFor(Millis(100));
    for (FakeInstance &instance : fleet.instances_) {
        instance.work_ = Millis(5);
    }
    return upload;
}

// The instance whose backend server runs a request.
std::size_t runningAt(const FakeFleet &fleet)
{
    const auto found = std::find_if(fleet.instances_.begin(), fleet.instances_.end(), [](const FakeInstance &instance) { return instance.running_ > 0; });
    BOOST_REQUIRE((found != fleet.instances_.end()));
    return static_cast<std::size_t>(found - fleet.instances_.begin());
}

} // namespace

BOOST_AUTO_TEST_CASE(a_draining_backend_server_receives_no_new_work_and_no_call_fails)
{
    FakeFleet fleet(Instances, 21);
    join(fleet);
    makeTraffic(fleet, Millis(1000));
    BOOST_TEST(handOversAfter(fleet, Leaving, Millis()) > 0);
    const Millis leftAt = fleet.now();
    fleet.instances_[Leaving].announces_ = BackendState::Draining;
    makeTraffic(fleet, Millis(8000));
    BOOST_TEST(handOversAfter(fleet, Leaving, leftAt + NoNewWorkAfter) == 0);
    BOOST_TEST(unanswered(fleet) == 0);
}

BOOST_AUTO_TEST_CASE(a_draining_backend_server_receives_no_new_work_when_gossip_is_cut)
{
    FakeFleet fleet(Instances, 27);
    join(fleet);
    makeTraffic(fleet, Millis(1000));
    const Millis leftAt = fleet.now();
    fleet.datagramLoss_ = 1000;
    fleet.instances_[Leaving].announces_ = BackendState::Draining;
    makeTraffic(fleet, Millis(8000));
    BOOST_TEST(handOversAfter(fleet, Leaving, leftAt + NoNewWorkAfter) == 0);
    BOOST_TEST(unanswered(fleet) == 0);
}

BOOST_AUTO_TEST_CASE(no_new_work_when_gossip_is_cut_and_the_announcement_is_lost)
{
    FakeFleet fleet(Instances, 22);
    join(fleet);
    makeTraffic(fleet, Millis(1000));
    const Millis leftAt = fleet.now();
    fleet.datagramLoss_ = 1000;
    fleet.instances_[Leaving].announcing_ = false;
    makeTraffic(fleet, Millis(8000));
    BOOST_TEST(handOversAfter(fleet, Leaving, leftAt + NoNewWorkAfter) == 0);
    BOOST_TEST(unanswered(fleet) == 0);
}

BOOST_AUTO_TEST_CASE(a_drain_by_ticket_is_obeyed_and_undone)
{
    FakeFleet fleet(Instances, 23);
    join(fleet);
    Ticket ticket;
    ticket.number_ = TicketNumber(2);
    ticket.submission_ = "drain";
    ticket.objects_ = {TicketObject{"i2", TicketNumber(2), DrainSpec{true}}};
    fleet.submit(0, ticket);
    const Millis submittedAt = fleet.now();
    makeTraffic(fleet, Millis(8000));
    BOOST_TEST(handOversAfter(fleet, Leaving, submittedAt + NoNewWorkAfter) == 0);
    ticket.number_ = TicketNumber(3);
    ticket.submission_ = "undo";
    ticket.objects_ = {TicketObject{"i2", TicketNumber(3), DrainSpec{false}}};
    fleet.submit(0, ticket);
    const Millis undoneAt = fleet.now();
    makeTraffic(fleet, Millis(8000));
    BOOST_TEST(handOversAfter(fleet, Leaving, undoneAt) > 0);
    BOOST_TEST(unanswered(fleet) == 0);
}

BOOST_AUTO_TEST_CASE(an_upload_of_minutes_survives_the_drain_of_its_backend_server)
{
    FakeFleet fleet(Instances, 24);
    join(fleet);
    const std::size_t upload = startUpload(fleet, 0);
    fleet.instances_[runningAt(fleet)].announces_ = BackendState::Draining;
    fleet.runFor(Millis(200000));
    BOOST_TEST(fleet.results_[upload].answer_.has_value());
}

BOOST_AUTO_TEST_CASE(an_upload_of_minutes_survives_the_shutdown_of_its_daemons_and_backend_server_together)
{
    FakeFleet fleet(Instances, 25);
    join(fleet);
    const std::size_t upload = startUpload(fleet, 1);
    const std::size_t server = runningAt(fleet);
    fleet.instances_[server].announces_ = BackendState::Draining;
    fleet.post(server, ShutdownAsked{});
    fleet.post(1, ShutdownAsked{});
    makeTraffic(fleet, Millis(3000));
    BOOST_TEST(!fleet.instances_[server].exited_);
    fleet.runFor(Millis(200000));
    BOOST_TEST(fleet.results_[upload].answer_.has_value());
    BOOST_TEST(fleet.instances_[server].exited_);
    BOOST_TEST(fleet.instances_[1].exited_);
}

BOOST_AUTO_TEST_CASE(a_shutting_daemon_refuses_new_calls_as_not_run_and_ends)
{
    FakeFleet fleet(Instances, 26);
    join(fleet);
    fleet.post(4, ShutdownAsked{});
    const std::size_t call = fleet.call(4, FakeCall{.token_ = "late", .action_ = "late"});
    fleet.runFor(Millis(2000));
    BOOST_TEST((fleet.results_[call].failure_ == ResultCode::DaemonLeaving));
    BOOST_TEST(fleet.executions("late") == 0);
    BOOST_TEST(fleet.instances_[4].exited_);
}
