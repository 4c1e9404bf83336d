// Tests of the platform's HTTP adapters and parsers: desired state, announcements, responses, settings, store requests and refusals.
#define BOOST_TEST_MODULE platform
#include "core/error.h"
#include "fake/routed_fleet.h"
#include "platform/adapters.h"
#include "platform/desired_state.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace
namespace json = boost::json;

namespace {

const char *const Config = R"({"version":"r12","routes":{"columns":["name","host","prefix","routeType","timeoutS","targetLatencyS","priority",
"service","maxAttempts","trafficSplit"],"rows":[["w","a.example","/w/","unsafe",0.8,0.3,1,"one",2,null],
["r","a.example","/r/","safe",1.2,0.3,2,null,3,[{"service":"one","weight":90},{"service":"two","weight":10}]],
["u","a.example","/u/","upload",null,null,null,"two",null,null]]},
"services":{"columns":["name","healthPath"],"rows":[["one","/health"],["two","/up"]]},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutS":3,"idleTimeoutS":15},"baseVersion":"r5"})";

const char *const Settings = R"({"nodeName":"n1","ip":"10.1.0.35","zone":"z-a","region":"z","zones":{"z-a":"z","y-a":"y"},
"listenAddrs":{"inbound":"10.1.0.35:1","outbound":"10.1.0.35:2","ready":"10.1.0.35:3","control":"10.1.0.35:4"},"portRange":[7660,7675],
"seeds":["10.1.0.9:4"],"heartbeatS":1.5,"bounds":["graceS=6","retryBudgetRatio=0.2","retryBudgetSlack=64","budgetWindowS=10","probesPerS=60"],
"appAddr":"10.1.0.35:8147","service":"one","platform":{"address":"10.200.1.7:8142"},"fieldOfTomorrow":true})";

// Builds a response header from a status and fields.
BackendResponseHeader responseHeader(unsigned status, std::initializer_list<std::pair<const char *, const char *>> fields)
{
    BackendResponseHeader header;
    header.result(status);
    for (const auto &[name, value] : fields) {
        header.insert(name, value);
    }
    return header;
}

// Builds a request in which a backend server announces itself.
HttpRequest announcementRequest(const std::string &target, const std::string &body)
{
    return makeRequest(http::verb::post, target, body);
}

// Classifies a response to a request with the attempt id "1".
ResponseKind classifyResponse(const BackendResponseHeader &header)
{
    return platform::httpAdapters().backend_.classifyResponse(header, {HeaderField{"Attempt-Id", "1"}});
}

// One daemon that has applied the desired state above.
struct RoutedFixture {
    FakeFleet fleet_{1, 5, routedSettings()};

    RoutedFixture()
    {
        fleet_.store_.putRouting(platform::parseDesiredState(Config));
        fleet_.runFor(Millis(1500));
    }

    // Parses a GET request for /r/1 with these header fields.
    ParsedCallHeader readHeader(std::initializer_list<std::pair<const char *, const char *>> fields)
    {
        CallerHeader header;
        header.method(http::verb::get);
        header.target("/r/1");
        for (const auto &[name, value] : fields) {
            header.insert(name, value);
        }
        return platform::httpAdapters().calls_.readCall(fleet_.world(0), header);
    }
};

// Encodes text as base64.
std::string toBase64(const std::string &text)
{
    std::string encoded(boost::beast::detail::base64::encoded_size(text.size()), '\0');
    encoded.resize(boost::beast::detail::base64::encode(encoded.data(), text.data(), text.size()));
    return encoded;
}

// A response of the store with rows.
HttpResponse responseWithRows(const json::array &rows)
{
    return makeResponse(200, "application/json", json::serialize(json::object{{"rows", rows}, {"hasMore", false}, {"ver", 9}, {"nowS", 1.5}}));
}

// Values that are not rows, or rows whose value cannot be decoded.
json::array invalidRows(const char *key)
{
    return json::array{json::object{{"key", key}, {"value", "?"}},  json::object{{"key", key}, {"value", 7}},          json::object{{"key", key}},
                       json::object{{"key", 7}, {"value", "eA=="}}, json::object{{"key", key}, {"value", "eA=="}},     7,
                       json::object{{"key", key}, {"value", ""}},   json::object{{"key", key}, {"deleted", "perhaps"}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(all_parts_of_a_desired_state_are_parsed)
{
    const TicketObject object = platform::parseDesiredState(Config);
    BOOST_TEST(object.number_.value() == 12U);
    const auto &spec = std::get<RoutingSpec>(object.spec_);
    BOOST_REQUIRE(spec.routes_.size() == 3U);
    BOOST_TEST(!spec.routes_[0].isIdempotent_);
    BOOST_TEST(spec.routes_[0].timeout_.count() == 800);
    BOOST_TEST(spec.routes_[0].maxBackends_ == 2);
    BOOST_TEST(spec.routes_[1].isIdempotent_);
    BOOST_REQUIRE(spec.routes_[1].weightedServices_.size() == 2U);
    BOOST_TEST(spec.routes_[1].weightedServices_[1].weight_ == 10);
    BOOST_TEST(spec.routes_[1].latencyTarget_.count() == 300);
    // Large bodies must not run twice.
    BOOST_TEST(!spec.routes_[2].isIdempotent_);
    BOOST_TEST(spec.routes_[2].isStreamed_);
    BOOST_TEST(spec.services_[1].healthPath_ == "/up");
    BOOST_TEST(spec.requestLimits_.maxBody_.value() == 1000);
    BOOST_TEST(spec.requestLimits_.headerTimeout_.count() == 3000);
}

BOOST_AUTO_TEST_CASE(only_safe_and_download_routes_may_run_again)
{
    const std::vector<std::pair<std::string, bool>> cases{{"safe", true},    {"download", true}, {"unsafe", false},
                                                          {"upload", false}, {"", false},        {"odd", false}};
    for (const auto &[type, isIdempotent] : cases) {
        const TicketObject object = platform::parseDesiredState(R"({"version":"r1","routes":{"columns":["host","prefix","routeType","service"],
"rows":[["a.example","/d/",")" + type + R"(","one"]]},"services":{"columns":["name"],"rows":[["one"]]}})");
        BOOST_TEST(std::get<RoutingSpec>(object.spec_).routes_.at(0).isIdempotent_ == isIdempotent, type);
    }
}

BOOST_AUTO_TEST_CASE(an_invalid_desired_state_is_rejected)
{
    const std::string text = Config;
    const auto withReplacement = [&](const std::string &from, const std::string &to) {
        std::string changed = text;
        changed.replace(changed.find(from), from.size(), to);
        return changed;
    };
    BOOST_CHECK_THROW(platform::parseDesiredState("{"), Error);
    BOOST_CHECK_THROW(platform::parseDesiredState("[]"), Error);
    BOOST_CHECK_THROW(platform::parseDesiredState("{}"), Error);
    BOOST_CHECK_THROW(platform::parseDesiredState(withReplacement("\"r12\"", "12")), Error);
    BOOST_CHECK_THROW(platform::parseDesiredState(withReplacement("\"r12\"", "\"v12\"")), Error);
    BOOST_CHECK_THROW(platform::parseDesiredState(withReplacement("\"r12\"", "\"r12x\"")), Error);
    BOOST_CHECK_THROW(platform::parseDesiredState(withReplacement("0.8", "\"soon\"")), Error);
    BOOST_CHECK_THROW(platform::parseDesiredState(withReplacement("[{\"service\":\"one\",\"weight\":90}", "[{\"weight\":90}")), Error);
}

// A part that is missing or out of range made routes that no call or every call matches, or limits that refuse all calls.
BOOST_AUTO_TEST_CASE(a_partly_invalid_desired_state_is_rejected)
{
    const std::string text = Config;
    const std::pair<const char *, const char *> replacements[] = {
        {"\"host\",\"prefix\"", "\"prefix\""},
        {"\"host\"", "\"hostname\""},
        {"\"prefix\"", "\"path\""},
        {"\"service\",\"maxAttempts\"", "\"services\",\"maxAttempts\""},
        {"\"a.example\",\"/w/\"", "\"\",\"/w/\""},
        {"\"/w/\"", "null"},
        {"\"/w/\"", "\"w/\""},
        {"\"/w/\"", "\"/w\""},
        {"0.8,0.3", "-1,0.3"},
        {"0.8,0.3", "0,0.3"},
        {"0.8,0.3", "1e300,0.3"},
        {"0.8,0.3", "0.8,-0.3"},
        {"\"one\",2,null", "\"one\",0,null"},
        {"\"one\",2,null", "\"one\",1e300,null"},
        {"\"one\",2,null", "\"\",2,null"},
        {"\"weight\":90},{\"service\":\"two\",\"weight\":10}", "\"weight\":0},{\"service\":\"two\",\"weight\":0}"},
        {"{\"service\":\"two\",\"weight\":10}", "{\"service\":\"\",\"weight\":10}"},
        {"[\"one\",\"/health\"]", "[\"\",\"/health\"]"},
        {"\"maxHeaderBytes\":16384", "\"maxHeaderBytes\":-1"},
        {"\"maxHeaderBytes\":16384", "\"maxHeaderBytes\":\"many\""},
        {"\"maxBodyBytes\":1000", "\"maxBodyBytes\":1e300"},
        {"\"headerTimeoutS\":3", "\"headerTimeoutS\":0"},
        {"\"idleTimeoutS\":15", "\"idleTimeoutS\":-15"},
        {"\"limits\":{", "\"limits\":7,\"unused\":{"},
    };
    for (const auto &[from, to] : replacements) {
        std::string changed = text;
        BOOST_REQUIRE(changed.find(from) != std::string::npos);
        changed.replace(changed.find(from), std::string_view(from).size(), to);
        BOOST_TEST_CONTEXT(from << " replaced by " << to)
        {
            BOOST_CHECK_THROW(platform::parseDesiredState(changed), Error);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_heartbeat_is_parsed_with_start_time_and_sequence)
{
    const std::string body = R"({"address":"10.128.0.9:8080","born":1700000000000,"info":{"service":"one","version":"v1","zone":"z","slots":17},
"status":{"state":"draining","sequence":4,"coldRemainingS":0.5}})";
    const Event event = platform::httpAdapters().backend_.readAnnouncement(announcementRequest("/Instances.Heartbeat/i-7f", body));
    const auto &heartbeat = std::get<BackendAnnounced>(event);
    BOOST_TEST(heartbeat.id_.value() == "i-7f");
    BOOST_TEST(heartbeat.incarnation_.value() == 1700000000000U);
    BOOST_TEST(heartbeat.sequence_ == 4U);
    BOOST_TEST((heartbeat.state_ == BackendState::Draining));
    BOOST_TEST(heartbeat.slots_.value() == 17);
    const Event left = platform::httpAdapters().backend_.readAnnouncement(announcementRequest("/Instances.Deregister/i-7f", ""));
    BOOST_TEST(std::get<BackendDeregistered>(left).id_.value() == "i-7f");
}

BOOST_AUTO_TEST_CASE(malformed_heartbeats_are_rejected)
{
    const auto &backend = platform::httpAdapters().backend_;
    for (const char *body : {"", "{", "[]", "{}", R"({"address":"x","info":{},"status":{}})",
                             R"({"address":"10.0.0.1:1","info":{"service":7,"slots":1},"status":{"state":"ready","sequence":1}})",
                             R"({"address":"10.0.0.1:1","info":{"service":"a","slots":0},"status":{"state":"ready","sequence":1}})",
                             R"({"address":"10.0.0.1:1","info":{"service":"a","slots":1},"status":{"state":"odd","sequence":1}})",
                             R"({"address":"10.0.0.1:1","info":{"service":"a","slots":1},"status":{"state":"ready","sequence":"1"}})",
                             R"({"address":"10.0.0.1:1","born":1.5,"info":{"service":"a","slots":1},"status":{"state":"ready","sequence":1}})"}) {
        BOOST_CHECK_THROW(backend.readAnnouncement(announcementRequest("/Instances.Heartbeat/i", body)), Error);
    }
    BOOST_CHECK_THROW(backend.readAnnouncement(announcementRequest("/elsewhere", "{}")), Error);
    BOOST_CHECK_THROW(backend.readAnnouncement(makeRequest(http::verb::get, "/Instances.Heartbeat/i")), Error);
}

BOOST_AUTO_TEST_CASE(only_a_signed_response_to_the_same_attempt_is_accepted)
{
    BOOST_TEST((classifyResponse(responseHeader(200, {{"Attempt-Id", "1"}, {"Response-Signature", "s"}})) == ResponseKind::Matching));
    BOOST_TEST((classifyResponse(responseHeader(500, {{"Attempt-Id", "1"}, {"Response-Signature", "s"}})) == ResponseKind::Matching));
    BOOST_TEST((classifyResponse(responseHeader(200, {{"Attempt-Id", "2"}, {"Response-Signature", "s"}})) == ResponseKind::Stale));
    BOOST_TEST((classifyResponse(responseHeader(200, {{"Attempt-Id", "1"}})) == ResponseKind::Invalid));
    BOOST_TEST((classifyResponse(responseHeader(200, {{"Response-Signature", "s"}})) == ResponseKind::Invalid));
    BOOST_TEST(
        (classifyResponse(responseHeader(200, {{"Attempt-Id", "1"}, {"Response-Signature", "s"}, {"Content-Encoding", "gzip"}})) == ResponseKind::Invalid));
    BOOST_TEST(
        (classifyResponse(responseHeader(200, {{"Attempt-Id", "1"}, {"Response-Signature", "s"}, {"Response-Signature", "t"}})) == ResponseKind::Invalid));
    BOOST_TEST((classifyResponse(responseHeader(503, {{"Attempt-Id", "1"}, {"Not-Executed", "1"}})) == ResponseKind::Refused));
    BOOST_TEST((classifyResponse(responseHeader(421, {{"Instance-Id", "other"}})) == ResponseKind::WrongInstance));
    // Without the field that says that the request was not run, a failure does not guarantee it.
    BOOST_TEST((classifyResponse(responseHeader(503, {{"Attempt-Id", "1"}})) == ResponseKind::Invalid));
}

BOOST_AUTO_TEST_CASE(missing_load_values_are_read_as_zero)
{
    const auto &backend = platform::httpAdapters().backend_;
    const BackendLoad full = backend.readLoad(responseHeader(200, {{"Server-Load", "3,1,12,500"}}));
    BOOST_TEST(full.running_.value() == 3);
    BOOST_TEST(full.waiting_.value() == 1);
    BOOST_TEST(full.slots_.value() == 12);
    BOOST_TEST(full.slowness_.value() == 500);
    BOOST_TEST(backend.readLoad(responseHeader(200, {{"Server-Load", "3,0,8"}})).slowness_.value() == 0);
    BOOST_TEST(backend.readLoad(responseHeader(200, {})).slots_.value() == 0);
    BOOST_TEST(backend.readLoad(responseHeader(200, {{"Server-Load", "x"}})).slots_.value() == 0);
}

// Guards against a limit that cannot be read and ends, lifts or multiplies the one in force.
BOOST_AUTO_TEST_CASE(unusual_request_limits_have_a_meaning)
{
    struct Case {
        std::vector<std::string> values_;
        // The limit that counts; negative when there is none.
        double limit_;
        bool isKnown_;
        bool isUnusual_;
    };
    const std::vector<Case> cases{
        {{}, -1, true, false},
        {{"24.2"}, 24.2, true, false},
        {{"0.25"}, 0.25, true, false},
        {{"1e2"}, 100, true, false},
        {{"0"}, 0, true, true},
        {{"1e400"}, 1e6, true, true},
        {{"1e-400"}, 0, true, true},
        {{"30", "12.5"}, 12.5, true, true},
        {{"12.5", "x"}, 12.5, true, true},
        {{"-5"}, -1, false, true},
        {{"NaN"}, -1, false, true},
        {{"inf"}, -1, false, true},
        {{"0x10"}, -1, false, true},
        {{"12,5"}, -1, false, true},
        {{"12 "}, 12, true, false},
        {{""}, -1, false, true},
        {{"1e"}, -1, false, true},
        {{"-1", "x"}, -1, false, true},
    };
    for (const Case &odd : cases) {
        BackendResponseHeader header = responseHeader(200, {});
        for (const std::string &value : odd.values_) {
            header.insert("Server-Limit", value);
        }
        const BackendNotice notice = platform::httpAdapters().backend_.readNotice(header);
        const std::string name = odd.values_.empty() ? "none" : odd.values_.front();
        BOOST_TEST((notice.limit_ ? notice.limit_->value() : -1) == odd.limit_, name);
        BOOST_TEST(notice.isLimitKnown_ == odd.isKnown_, name);
        BOOST_TEST(!notice.unusualLimit_.empty() == odd.isUnusual_, name << ": \"" << notice.unusualLimit_ << "\"");
    }
}

BOOST_AUTO_TEST_CASE(only_one_says_that_a_server_leaves)
{
    const auto &backend = platform::httpAdapters().backend_;
    BOOST_TEST(backend.readNotice(responseHeader(200, {{"Server-Leaving", "1"}})).isLeaving_);
    for (const char *value : {"0", "", "11", "true"}) {
        BOOST_TEST(!backend.readNotice(responseHeader(200, {{"Server-Leaving", value}})).isLeaving_, value);
    }
    BOOST_TEST(!backend.readNotice(responseHeader(200, {})).isLeaving_);
}

BOOST_AUTO_TEST_CASE(a_settings_file_is_parsed)
{
    const DaemonSettings settings = platform::parseSettings(Settings);
    BOOST_TEST(settings.world_.isRouted_);
    BOOST_TEST(toText(settings.world_.address_) == "10.1.0.35:7660");
    BOOST_TEST(toText(settings.callerAddress_) == "10.1.0.35:2");
    BOOST_TEST(toText(settings.world_.adminAddress_) == "10.1.0.35:3");
    BOOST_TEST(toText(settings.announcementAddress_) == "10.1.0.35:4");
    BOOST_TEST(toText(settings.storeAddress_) == "10.200.1.7:8142");
    BOOST_TEST(toText(settings.world_.backendAddress_) == "10.1.0.35:8147");
    BOOST_REQUIRE(settings.world_.seeds_.size() == 1U);
    BOOST_TEST(toText(settings.world_.seeds_.front()) == "10.1.0.9:7660");
    BOOST_TEST(settings.world_.retryWindowAllowance_ == 64);
    BOOST_TEST(settings.world_.backendChecksPerSecond_ == 48.0);
    BOOST_TEST((settings.world_.maxShutdownTime_ < Millis(6000)));
}

BOOST_AUTO_TEST_CASE(settings_without_a_required_key_are_rejected)
{
    const std::string text = Settings;
    for (const char *key : {"nodeName", "zones", "zone", "listenAddrs", "portRange", "appAddr", "platform", "ip"}) {
        std::string changed = text;
        changed.replace(changed.find("\"" + std::string(key) + "\""), std::string(key).size() + 2, "\"gone\"");
        BOOST_CHECK_THROW(platform::parseSettings(changed), Error);
    }
}

BOOST_AUTO_TEST_CASE(reserved_fields_of_callers_are_removed)
{
    RoutedFixture fixture;
    const ParsedCallHeader parsedHeader = fixture.readHeader({{"Host", "a.example"},
                                                              {"Attempt-Id", "1"},
                                                              {"Deadline-Ms", "700"},
                                                              {"Caller-Service", "forged"},
                                                              {"Expect-Instance", "forged"},
                                                              {"X-Own", "kept"},
                                                              {"Connection", "x-hop"},
                                                              {"X-Hop", "dropped"}});
    BOOST_TEST((parsedHeader.code_ == ResultCode::Ok));
    BOOST_TEST(parsedHeader.event_.timeout_.count() == 700);
    const auto countOf = [&](const char *name) {
        return std::count_if(parsedHeader.fields_.begin(), parsedHeader.fields_.end(),
                             [&](const HeaderField &field) { return beast::iequals(field.name_, name); });
    };
    BOOST_TEST(countOf("Deadline-Ms") == 0);
    BOOST_TEST(countOf("Expect-Instance") == 0);
    BOOST_TEST(countOf("X-Hop") == 0);
    BOOST_TEST(countOf("X-Own") == 1);
    BOOST_TEST(countOf("Attempt-Id") == 1);
    BOOST_REQUIRE(countOf("Caller-Service") == 1);
    BOOST_TEST(parsedHeader.fields_.back().value_ == "booking");
}

BOOST_AUTO_TEST_CASE(requests_without_a_route_are_refused)
{
    RoutedFixture fixture;
    BOOST_TEST((fixture.readHeader({{"Host", "b.example"}, {"Attempt-Id", "1"}}).code_ == ResultCode::NoRoute));
    BOOST_TEST((fixture.readHeader({{"Host", "a.example"}}).code_ == ResultCode::BadRequest));
    BOOST_TEST((fixture.readHeader({{"Host", "a.example"}, {"Host", "b.example"}, {"Attempt-Id", "1"}}).code_ == ResultCode::BadRequest));
    BOOST_TEST((fixture.readHeader({{"Host", "a.example"}, {"Attempt-Id", "1"}, {"Attempt-Id", "2"}}).code_ == ResultCode::BadRequest));
    FakeFleet unroutedFleet(1, 6, routedSettings());
    CallerHeader header;
    header.insert("Host", "a.example");
    BOOST_TEST((platform::httpAdapters().calls_.readCall(unroutedFleet.world(0), header).code_ == ResultCode::NotReady));
}

BOOST_AUTO_TEST_CASE(only_requests_that_were_not_run_are_answered_with_503)
{
    const auto &calls = platform::httpAdapters().calls_;
    for (const ResultCodeInfo &info :
         {resultCodeInfo(ResultCode::Overloaded), resultCodeInfo(ResultCode::DeadlineNotRun), resultCodeInfo(ResultCode::Quarantined),
          resultCodeInfo(ResultCode::AnswerLost), resultCodeInfo(ResultCode::DeadlineUnknown), resultCodeInfo(ResultCode::AnswerSpoiled)}) {
        CallFailure failure;
        failure.code_ = info.code_;
        failure.retryAfter_ = Millis(250);
        const HttpResponse response = calls.makeFailureResponse(failure);
        const bool guaranteesNotRun = response.result_int() == 503;
        BOOST_TEST(guaranteesNotRun == (info.outcome_ == Outcome::NotRun), info.name_);
        BOOST_TEST((response.count(http::field::retry_after) == 1) == guaranteesNotRun, info.name_);
    }
    CallFailure unknown;
    unknown.code_ = ResultCode::NoRoute;
    BOOST_TEST(calls.makeFailureResponse(unknown).result_int() == 404U);
}

BOOST_AUTO_TEST_CASE(store_rows_are_encoded_and_decoded)
{
    const auto &store = platform::httpAdapters().store_;
    const HttpRequest put = store.encode(MemberPut{MemberRow{InstanceName("n1"), parseAddress("10.0.0.1:7660")}});
    const json::object body = json::parse(put.body()).get_object();
    const json::value &row = body.at("writes").get_array().at(0);
    const std::string value(row.at("value").as_string());
    const json::object rows{{"rows", json::array{json::object{{"table", "daemons"}, {"part", ""}, {"key", "n1"}, {"value", value}, {"ver", 3}}}},
                            {"hasMore", false},
                            {"ver", 9},
                            {"nowS", 1.5}};
    const StoreResponse storeResponse = store.decode(MemberList{}, makeResponse(200, "application/json", json::serialize(rows)));
    BOOST_TEST(storeResponse.ok_);
    BOOST_TEST(storeResponse.revision_.value() == 9U);
    BOOST_REQUIRE(storeResponse.members_.size() == 1U);
    BOOST_TEST(toText(storeResponse.members_.front().address_) == "10.0.0.1:7660");
    BOOST_TEST(store.decode(RoutingWatch{}, makeResponse(410, "", "")).isHistoryCompacted_);
    BOOST_TEST(!store.decode(RoutingRead{}, makeResponse(503, "", "")).ok_);
    BOOST_TEST(!store.decode(RoutingRead{}, makeResponse(429, "", "")).ok_);
    BOOST_CHECK_THROW(store.decode(RoutingRead{}, makeResponse(200, "", "{")), Error);
    BOOST_CHECK_THROW(store.encode(TicketRead{}), Error);
}

BOOST_AUTO_TEST_CASE(requests_in_quarantine_are_kept_beside_the_list_of_daemons)
{
    const auto &store = platform::httpAdapters().store_;
    const std::vector<SuspectFailure> failures{{FailureId(1), true, false}, {FailureId(~0ULL), false, false}, {FailureId(7), true, true}};
    const SuspectRecord record{Fingerprint(0x1267), failures, false, {}};
    const json::value written = json::parse(store.encode(QuarantinePut{record}).body()).at("writes").at(0);
    const json::value removed = json::parse(store.encode(QuarantineDelete{record.fingerprint_}).body()).at("remove").at(0);
    BOOST_TEST(written.at("key") == removed.at("key"));
    const json::value odd = json::object{{"key", "quarantine/x"}, {"value", toBase64("1+,")}};
    const StoreResponse response
        = store.decode(MemberList{}, responseWithRows({json::object{{"key", "n1"}, {"value", toBase64("10.0.0.1:7660")}}, odd, written}));
    BOOST_TEST(response.members_.size() == 1U);
    BOOST_TEST(response.rowErrors_.size() == 1U);
    BOOST_REQUIRE(response.quarantines_.size() == 1U);
    BOOST_TEST((response.quarantines_.front().fingerprint_ == record.fingerprint_));
    // A failure that is cleared is not stored.
    BOOST_TEST((response.quarantines_.front().failures_ == std::vector(failures.begin(), failures.begin() + 2)));
}

// One row that cannot be decoded hid the rows of all other daemons.
BOOST_AUTO_TEST_CASE(an_invalid_row_does_not_hide_the_list_of_daemons)
{
    const auto &store = platform::httpAdapters().store_;
    const json::value valid = json::object{{"key", "n1"}, {"value", toBase64("10.0.0.1:7660")}};
    for (const json::value &invalid : invalidRows("n2")) {
        const StoreResponse response = store.decode(MemberList{}, responseWithRows({invalid, valid}));
        BOOST_TEST(response.ok_);
        BOOST_TEST(response.rowErrors_.size() == 1U);
        BOOST_REQUIRE(response.members_.size() == 1U);
        BOOST_TEST(response.members_.front().name_.value() == "n1");
    }
}

// The desired state in a row that cannot be decoded counts as none; it must not look like a failure of the store.
BOOST_AUTO_TEST_CASE(an_invalid_row_of_the_desired_state_is_left_out)
{
    const auto &store = platform::httpAdapters().store_;
    for (const json::value &invalid : invalidRows("config")) {
        const StoreResponse response = store.decode(RoutingRead{}, responseWithRows({invalid}));
        BOOST_TEST(response.ok_);
        BOOST_TEST(response.rowErrors_.size() == 1U);
        BOOST_TEST(response.routing_.empty());
        BOOST_TEST(response.revision_.value() == 9U);
    }
}

// A change was lost when another row of the same response could not be decoded.
BOOST_AUTO_TEST_CASE(an_invalid_row_does_not_hide_a_desired_state)
{
    const auto &store = platform::httpAdapters().store_;
    const json::value valid = json::object{{"key", "config"}, {"value", toBase64(Config)}};
    for (const char *key : {"config", "other"}) {
        for (const json::value &invalid : invalidRows(key)) {
            const StoreResponse response = store.decode(RoutingWatch{}, responseWithRows({valid, invalid}));
            BOOST_TEST(response.ok_);
            BOOST_REQUIRE(response.routing_.size() == 1U);
            BOOST_TEST(response.routing_.front().number_.value() == 12U);
        }
    }
}

// Without a position, a watch would begin before all changes and end at once, again and again.
BOOST_AUTO_TEST_CASE(a_response_without_a_revision_is_no_position_for_a_watch)
{
    const auto &store = platform::httpAdapters().store_;
    const HttpResponse response = makeResponse(200, "application/json", R"({"rows":[]})");
    BOOST_CHECK_THROW(store.decode(RoutingRead{}, response), Error);
    BOOST_CHECK_THROW(store.decode(RoutingWatch{}, response), Error);
    BOOST_TEST(store.decode(MemberPut{}, makeResponse(200, "application/json", "{}")).ok_);
}

// Each response reports the era, also one that says that nothing was done.
BOOST_AUTO_TEST_CASE(the_era_of_the_store_is_read_from_any_response)
{
    const auto &store = platform::httpAdapters().store_;
    for (const unsigned status : {200U, 410U, 412U, 429U, 503U}) {
        HttpResponse response = makeResponse(status, "application/json", "");
        BOOST_TEST(!store.readEra(response).has_value());
        response.set("store-era", "12");
        BOOST_TEST((store.readEra(response) == StoreEra(12)));
        for (const char *invalid : {"", "x", "12x", "-1", "1.5"}) {
            response.set("Store-Era", invalid);
            BOOST_TEST(!store.readEra(response).has_value());
        }
    }
    BOOST_TEST(!nativeHttpAdapters().store_.readEra(makeResponse(200, "application/json", "")).has_value());
}
