// Names of requests: which requests are taken for the same when one has crashed backend servers.
#define BOOST_TEST_MODULE platform_fingerprint
#include "net/request_fingerprint.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace radishford; // NOLINT: tests use only this namespace

// Guards against a crashing request that another caller's, or another upload of the same length, clears (review/8).
BOOST_AUTO_TEST_CASE(requests_are_told_apart_by_caller_path_and_body)
{
    struct Request {
        const char *description_;
        std::string caller_ = "printing";
        std::string method_ = "GET";
        std::string target_ = "/rolls/17";
        std::string body_{};
        bool isWhole_ = true;
        bool hasLength_ = true;
        std::uint64_t length_ = 0;
    };
    const std::string start(MaxReplayableBodyBytes, 'a');
    const std::vector<Request> requests{
        {"plain"},
        {"another caller", "billing"},
        {"another method", "printing", "POST"},
        {"another target", "printing", "GET", "/rolls/17?x"},
        {"another body", "printing", "GET", "/rolls/17", "x"},
        {"streamed", "printing", "POST", "/rolls/17", start, false, true, 1000000},
        {"streamed, another length", "printing", "POST", "/rolls/17", start, false, true, 1000001},
        {"streamed, another first part", "printing", "POST", "/rolls/17", "b" + start, false, true, 1000000},
        {"streamed, in chunks", "printing", "POST", "/rolls/17", start, false, false, 0},
    };
    const auto nameOf = [](const Request &request, const std::string &furtherBytes) {
        const RequestHead head{0, request.method_, request.target_, {}, request.hasLength_, request.length_};
        return fingerprintOf(head, ServiceName(request.caller_), request.body_ + (request.isWhole_ ? "" : furtherBytes), request.isWhole_);
    };
    for (const Request &first : requests) {
        for (const Request &second : requests) {
            // How much more of a streamed body is buffered depends on its arrival.
            BOOST_TEST((nameOf(first, "") == nameOf(second, "more")) == (&first == &second), first.description_ << " and " << second.description_);
        }
    }
}
