// Signals that arrive before a daemon has started, with the daemon in a process of its own.
#define BOOST_TEST_MODULE platform_early_signal
#include "standin/daemon_fixture.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/test/unit_test.hpp>

#include <sys/wait.h>

#include <csignal>
#include <filesystem>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// Starts a daemon and sends a signal as soon as its program runs. Returns whether it ends by the signal instead of starting.
bool endsBySignal(int number)
{
    DaemonFixture fixture;
    // Addresses beside those of the fixture.
    const std::string settings = boost::replace_all_copy(fixture.settingsText(6), "127.64.", "127.65.");
    DaemonProcess process(RADISHFORD_PROGRAM, settings);
    const std::filesystem::path program = "/proc/" + std::to_string(process.id()) + "/exe";
    BOOST_REQUIRE(fixture.runUntil([&]() { return std::filesystem::equivalent(program, RADISHFORD_PROGRAM); }));
    process.sendSignal(number);
    BOOST_REQUIRE(fixture.runUntil([&]() { return process.hasExited() || process.hasLogged("started in"); }));
    return process.hasExited() && WIFSIGNALED(process.status());
}

} // namespace

BOOST_AUTO_TEST_CASE(a_reload_before_the_start_is_complete_does_not_end_the_daemon)
{
    BOOST_TEST(!endsBySignal(SIGHUP));
}

BOOST_AUTO_TEST_CASE(a_stop_before_the_start_is_complete_is_not_a_failure)
{
    BOOST_TEST(!endsBySignal(SIGTERM));
}
