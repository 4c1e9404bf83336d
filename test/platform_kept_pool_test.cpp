// Connections between daemons that a refused upload on a kept connection leaves to other requests.
#define BOOST_TEST_MODULE platform_kept_pool
#include "standin/kept_caller.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

BOOST_AUTO_TEST_CASE(a_refused_upload_that_is_still_being_passed_on_spoils_the_connection_of_another_request)
{
    DaemonFixture fixture;
    // Safe requests start beside the refusal, so that they take the connection between daemons that the upload leaves.
    for (int handlers = 0; handlers < 60; ++handlers) {
        KeptCaller upload(fixture);
        KeptCaller other(fixture);
        const std::string id = std::to_string(handlers);
        fixture.scriptedResponses_.push_back({.bytes_ = refusal(), .respondsBeforeBody_ = true});
        upload.send(uploadHead(BodyFraming::Length, "u" + id, Millis(3000), StreamedBytes) + std::string(FirstBytes, 'b'));
        BOOST_REQUIRE(upload.awaitPassedOn("u" + id));
        upload.runHandlers(handlers);
        other.send(plainRequest("POST", "/w/1", "o" + id));
        BOOST_TEST(other.awaitStatus() == 200U, handlers);
        upload.close();
        other.runFor(Millis(100));
    }
}
