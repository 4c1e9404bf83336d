// The standard output of the daemon's program.
#define BOOST_TEST_MODULE platform_output
#include "standin/daemon_process.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <thread>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// Settings of a daemon on an address of this process. Nothing else listens there, so that the daemon writes a line about each failure.
std::string settingsText()
{
    constexpr int AddressesPerOctet = 256;
    const int id = getpid() % (AddressesPerOctet * AddressesPerOctet);
    const std::string ip = "127.65." + std::to_string(id / AddressesPerOctet) + "." + std::to_string(id % AddressesPerOctet);
    const auto text = [&](int port) { return "\"" + ip + ":" + std::to_string(port) + "\""; };
    return R"({"nodeName":"live","zone":"a","zones":{"a":"r"},"seeds":[],"service":"booking","heartbeatS":1.5,"ip":")" + ip
        + R"(","portRange":[7401,7401],"appAddr":)" + text(7406) + R"(,"listenAddrs":{"outbound":)" + text(7402) + R"(,"control":)" + text(7403)
        + R"(,"ready":)" + text(7404) + R"(},"platform":{"address":)" + text(7405) + R"(},"bounds":["graceS=1"]})";
}

} // namespace

// Guards against an end by SIGPIPE at the next line of the log, with all requests that are in progress.
BOOST_AUTO_TEST_CASE(a_daemon_runs_on_after_the_reader_of_its_output_has_ended)
{
    DaemonProcess process(RADISHFORD_PROGRAM, settingsText(), false);
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    BOOST_TEST(!process.hasExited());
    process.sendSignal(SIGTERM);
    for (int waits = 0; waits < 100 && !process.hasExited(); ++waits) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    BOOST_TEST(process.hasSucceeded());
}
