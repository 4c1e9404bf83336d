// Entries of other writers: deep nesting, numbers out of range, wrong types and broken bytes, through every reader of rows and heartbeats.
#define BOOST_TEST_MODULE platform_odd_entries
#include "core/error.h"
#include "platform/desired_state.h"
#include "standin/daemon_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// A value inside of this many arrays.
std::string nested(int depth)
{
    return std::string(static_cast<std::size_t>(depth), '[') + std::string(static_cast<std::size_t>(depth), ']');
}

// JSON values of any kind.
std::vector<std::string> oddValues()
{
    return {"null",
            "true",
            "-1",
            "0.5",
            "1e400",
            "-1e400",
            "99999999999999999999",
            "18446744073709551616",
            "65536",
            "\"\"",
            "[]",
            "{}",
            "[[]]",
            nested(20),
            R"({"a":{"a":{"a":{}}}})",
            R"("\u0000")",
            R"("\ud800\udc00")",
            "\"" + std::string(1000000, 'x') + "\""};
}

// Texts that are no address of a daemon.
std::vector<std::string> oddAddresses()
{
    return {"",
            ":",
            "10.0.0.1",
            "10.0.0.1:",
            "10.0.0.1:65536",
            "10.0.0.1:99999999999999999999",
            "10.0.0.1:-1",
            "10.0.0.1:1e3",
            "300.0.0.1:1",
            "10.0.0:1",
            "10.0.0.1:1 ",
            " 10.0.0.1:1",
            "[::1]:1",
            "localhost:1",
            nested(100000),
            std::string("\xff\xfe\x00\x01", 4),
            std::string(60000, '1')};
}

// A row of the list of daemons.
std::string memberRow(const std::string &key, const std::string &valueJson)
{
    return R"({"table":"daemons","part":"","key":)" + key + R"(,"value":)" + valueJson + R"(,"ver":2})";
}

std::string quotedBase64(const std::string &bytes)
{
    return "\"" + DaemonFixture::base64(bytes) + "\"";
}

// All odd rows of the list of daemons.
std::vector<std::string> oddRows()
{
    std::vector<std::string> rows;
    for (const std::string &value : oddValues()) {
        rows.push_back(memberRow("\"odd\"", value));
        rows.push_back(value);
    }
    for (const std::string &address : oddAddresses()) {
        rows.push_back(memberRow("\"odd\"", quotedBase64(address)));
    }
    for (const std::string &key : {std::string("null"), std::string("1e400"), std::string("[[[]]]")}) {
        rows.push_back(memberRow(key, quotedBase64("10.0.0.1:1")));
    }
    return rows;
}

const std::string Heartbeat = R"({"address":"127.0.0.1:1","born":1,"info":{"service":"booking","version":"v1","zone":"a","slots":4},)"
                              R"("status":{"state":"ready","sequence":9,"coldRemainingS":0}})";

// The heartbeat with the value of one key replaced.
std::string heartbeatWith(const std::string &key, const std::string &value)
{
    std::string text = Heartbeat;
    const std::size_t start = text.find("\"" + key + "\":") + key.size() + 3;
    const bool isObject = text[start] == '{';
    const std::size_t end = isObject ? text.find('}', start) + 1 : text.find_first_of(",}", start);
    return text.replace(start, end - start, value);
}

} // namespace

BOOST_AUTO_TEST_CASE(an_odd_row_hides_no_other_daemon)
{
    const HttpAdapters adapters = platform::httpAdapters();
    const std::string good = memberRow("\"good\"", quotedBase64("10.0.0.9:7660"));
    for (const std::string &row : oddRows()) {
        const std::string body = R"({"rows":[)" + good + "," + row + "," + good + R"(],"hasMore":false,"ver":3})";
        const StoreResponse response = adapters.store_.decode(MemberList{}, makeResponse(200, "application/json", body));
        BOOST_TEST(response.members_.size() == 2U, row.substr(0, 200));
        BOOST_TEST(response.rowErrors_.size() == 1U, row.substr(0, 200));
    }
}

BOOST_AUTO_TEST_CASE(an_unreadable_response_is_an_error_and_nothing_else)
{
    const HttpAdapters adapters = platform::httpAdapters();
    for (const std::string &body : {std::string(), std::string("{"), nested(100000), std::string(100000, '{'), std::string("{\"rows\":1e400}"),
                                    R"({"rows":[],"ver":-1})" + std::string(), R"({"rows":[],"ver":1e400})" + std::string()}) {
        BOOST_CHECK_THROW(static_cast<void>(adapters.store_.decode(RoutingRead{}, makeResponse(200, "application/json", body))), Error);
    }
}

BOOST_AUTO_TEST_CASE(an_odd_desired_state_is_rejected_whole)
{
    for (const std::string &value : oddValues()) {
        for (const char *key : {"version", "routes", "services", "limits"}) {
            const std::string text = std::string("{\"") + key + "\":" + value + "}";
            BOOST_CHECK_THROW(platform::parseDesiredState(text), Error);
        }
        BOOST_CHECK_THROW(platform::parseDesiredState(value), Error);
    }
    BOOST_CHECK_THROW(platform::parseDesiredState(nested(100000)), Error);
}

// The daemon contacts each address of the list, also those that no daemon can have.
BOOST_AUTO_TEST_CASE(a_daemon_that_reads_odd_entries_serves_on)
{
    std::string rows;
    for (const std::string &row : oddRows()) {
        rows += row + ",";
    }
    for (const std::string &address : {"0.0.0.0:0", "0.0.0.0:1", "127.0.0.1:0", "255.255.255.255:65535", "224.0.0.1:1", "240.0.0.1:1"}) {
        rows += memberRow("\"" + std::string(address) + "\"", quotedBase64(address)) + ",";
    }
    rows += memberRow("\"" + std::string(200, 'n') + "\"", quotedBase64("127.0.0.1:9"));
    DaemonFixture fixture(0, rows);
    BOOST_TEST(fixture.runUntil([&]() { return fixture.memberListReads_ > 0; }));
    fixture.runFor(Millis(2500));
    BOOST_TEST(fixture.request("GET", "/r/1").status_ == 200U);
    BOOST_TEST(fixture.daemon().worldRunner().counters().badMessages_ >= oddRows().size());
}

BOOST_AUTO_TEST_CASE(odd_heartbeats_are_rejected_and_the_server_stays_in_use)
{
    DaemonFixture fixture;
    for (const std::string &value : oddValues()) {
        for (const char *key : {"address", "service", "slots", "state", "sequence", "info", "status"}) {
            // A number in range for its key is a valid heartbeat of another address, which is ignored.
            const unsigned status = fixture.announceRaw(heartbeatWith(key, value));
            BOOST_TEST((status == 400U || status == 413U || status == 200U), key << ": " << value.substr(0, 100) << ": " << status);
        }
    }
    for (const std::string &address : oddAddresses()) {
        const bool isText = address.find_first_of(std::string("\xff\x00", 2)) == std::string::npos;
        const unsigned status = fixture.announceRaw(heartbeatWith("address", "\"" + (isText ? address : "?") + "\""));
        BOOST_TEST(status == 400U, address.substr(0, 100) << ": " << status);
    }
    for (const std::string &body : {nested(100000), std::string(100000, '{'), std::string("\xff\xfe"), std::string()}) {
        BOOST_TEST(fixture.announceRaw(body) == 400U, body.substr(0, 100));
    }
    BOOST_TEST(fixture.request("GET", "/r/1").status_ == 200U);
}
