// The time for which the backend server says that it keeps a connection, over real sockets.
#define BOOST_TEST_MODULE platform_keep_alive
#include "standin/daemon_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

// Guards against a time that overflows, so that no connection is used twice.
BOOST_AUTO_TEST_CASE(a_connection_is_used_again_after_a_response_with_a_huge_keep_alive_time)
{
    for (const char *const seconds : {"5", "99999999999", "99999999999999999", "9223372036854775807"}) {
        DaemonFixture fixture;
        fixture.scriptedResponses_.push_back({"HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: s\r\nKeep-Alive: timeout=" + std::string(seconds)
                                              + "\r\nContent-Length: 4\r\n\r\nseat"});
        BOOST_TEST(fixture.request("POST", "/w/1", "lesson").status_ == 200U);
        BOOST_TEST(fixture.request("POST", "/w/2", "lesson").status_ == 200U);
        BOOST_TEST(fixture.backendConnections_ == 1, seconds);
    }
}
