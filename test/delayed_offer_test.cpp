// Offers that reach paused daemons and are processed when the daemons resume.
#define BOOST_TEST_MODULE delayed_offer
#include "fake/routed_fleet.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace radishford; // NOLINT: tests use only this namespace

// Fault: several daemons are paused at once. Offers with inline bodies wait in their sockets and are handed over when the daemons resume, long
// after the calls have ended elsewhere. So an offer beside a live attempt of the call has no inline body and waits for confirmation.
BOOST_AUTO_TEST_CASE(only_the_first_offer_of_a_call_can_run_without_confirmation)
{
    constexpr std::size_t Instances = 8;
    constexpr std::size_t PausedDaemons = 6;
    constexpr int Calls = 30;
    int answered = 0;
    int maxInlineOffers = 0;
    int offersSent = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FakeFleet fleet(Instances, seed, routedSettings());
        fleet.instances_[0].sendsAnnouncements_ = false;
        startRoutedFleet(fleet);
        // The announcement of the local backend server expires.
        fleet.runFor(Millis(8000));
        for (std::size_t index = 1; index <= PausedDaemons; ++index) {
            fleet.pause(index);
        }
        std::map<CallHandle, int> inlineOffers;
        fleet.effectObserver_ = [&](std::size_t index, const Effect &effect) {
            const auto *start = std::get_if<StartExchange>(&effect);
            if (index == 0 && start != nullptr) {
                ++offersSent;
                inlineOffers[start->call_] += start->offer_.isBodyInline_ ? 1 : 0;
            }
        };
        for (int number = 0; number < Calls; ++number) {
            fleet.call(0, routedCall("call" + std::to_string(number), true));
            fleet.runFor(Millis(3));
        }
        fleet.runFor(Millis(1500));
        for (const auto &[call, offers] : inlineOffers) {
            maxInlineOffers = std::max(maxInlineOffers, offers);
        }
        for (const CallResult &result : fleet.results_) {
            answered += result.responseToken_ ? 1 : 0;
        }
    }
    BOOST_TEST_MESSAGE("answered " << answered << " of 600, offers " << offersSent << ", most that could run for one call " << maxInlineOffers);
    BOOST_TEST(offersSent > 600);
    BOOST_TEST(maxInlineOffers <= 1);
}
