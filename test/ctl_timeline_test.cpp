// Tests of request timelines built from log lines.
#define BOOST_TEST_MODULE ctl_timeline
#include "ctl/request_timeline.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// Lines of three daemons; the first two have a prefix that a log collector added.
const char *const Lines = R"(  3.1 one {"time_ms":5000,"instance":"one","event":"change","text":"store lost: watch without an answer"}
  3.2 two {"time_ms":5200,"instance":"two","event":"admission_ended","request":"ab","code":"1021","result":"BackendRefused","from":"one"}
{"time_ms":5100,"instance":"one","event":"attempt_ended","request":"ab","result":"PeerUnreachable","to":"three"}
{"time_ms":5250,"instance":"one","event":"call_failed","request":"ab","code":"1008","result":"DeadlineNotRun","last":"BackendRefused"}
{"time_ms":5230,"instance":"two","event":"call_failed","request":"ab.9","code":"1005","result":"Overloaded","last":"Overloaded"}
{"time_ms":5240,"instance":"one","event":"call_failed","request":"abc","code":"1005","result":"Overloaded","last":"Overloaded"}
{"time_ms":5260,"instance":"one","event":"lines_dropped","count":7}
{"time_ms":5270,"instance":"four","event":"change","text":"elsewhere"}
{"time_ms":90000,"instance":"one","event":"change","text":"much later"}
a line that is no object
{"time_ms":5270,"instance":"one"
)";

// Builds the timeline of a request from the lines above.
RequestTimeline timelineOf(const std::string &request)
{
    std::istringstream stream(Lines);
    LogReader reader;
    reader.add(stream);
    return reader.timelineOf(request);
}

} // namespace

BOOST_AUTO_TEST_CASE(lines_of_a_request_and_its_calls_are_ordered_by_time)
{
    const RequestTimeline timeline = timelineOf("ab");
    BOOST_REQUIRE(timeline.lines_.size() == 4U);
    BOOST_TEST(timeline.lines_[0].event_ == "attempt_ended");
    BOOST_TEST(timeline.lines_[2].request_ == "ab.9");
    BOOST_TEST(timeline.droppedLines_ == 7);
}

BOOST_AUTO_TEST_CASE(changes_on_involved_daemons_are_included)
{
    const RequestTimeline timeline = timelineOf("ab");
    BOOST_REQUIRE(timeline.changes_.size() == 1U);
    BOOST_TEST(timeline.changes_[0].field("text") == "store lost: watch without an answer");
}

BOOST_AUTO_TEST_CASE(the_conclusion_reports_how_the_request_itself_ended)
{
    const std::string text = toText(timelineOf("ab"));
    BOOST_TEST(text.find("conclusion: DeadlineNotRun: no backend server had capacity in time; it was not run; the last attempt ended with BackendRefused")
               != std::string::npos);
    BOOST_TEST(text.find("(call 9)") != std::string::npos);
    BOOST_TEST(toText(timelineOf("ab.9")).find("conclusion: Overloaded") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(requests_without_an_end_or_without_lines_are_reported)
{
    std::istringstream stream(R"({"time_ms":1,"instance":"one","event":"handed_over","request":"x"})");
    LogReader reader;
    reader.add(stream);
    BOOST_TEST(toText(reader.timelineOf("x")).find("no line says how the request ended") != std::string::npos);
    BOOST_TEST(toText(reader.timelineOf("y")) == "no log line mentions this request\n");
}
