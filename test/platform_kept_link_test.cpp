// Requests on kept connections whose daemon passes them on to another daemon, which stops for a moment around the times that matter.
#define BOOST_TEST_MODULE platform_kept_link
#include "standin/kept_caller.h"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// Two daemons. The first one takes requests of callers; the second one runs only while it is not held.
class TwoDaemons
{
public:
    TwoDaemons()
        : near_(0, {}, FixturePlace{"near", 0, {}})
        , far_(0, {}, FixturePlace{"far", 1, {near_.exchangeAddress()}})
    {
        isJoined_ = runUntil([this]() { return near_.daemon().worldRunner().world().fleet_.rows_.size() >= 2; }, Millis(8000));
        runFor(Millis(1500));
    }

    // Runs both daemons and the callers until a condition holds or the timeout expires.
    bool runUntil(const std::function<bool()> &condition, Millis timeout = Millis(5000))
    {
        return near_.runUntil(
            [&]() {
                if (heldUntil_ <= WorldRunner::now()) {
                    far_.context().restart();
                    far_.context().poll();
                }
                for (KeptCaller &caller : callers_) {
                    caller.pump();
                }
                return condition();
            },
            timeout);
    }

    void runFor(Millis duration)
    {
        runUntil([]() { return false; }, duration);
    }

    // Stops the second daemon and its server for a time.
    void hold(Millis duration)
    {
        heldUntil_ = WorldRunner::now() + duration;
    }

    // Opens a connection that has carried an answered request.
    KeptCaller &connect()
    {
        callers_.emplace_back(near_);
        return callers_.back();
    }

    // True when either server has received the request with this id.
    [[nodiscard]] bool isPassedOn(const std::string &id) const
    {
        return runs(near_, id) + runs(far_, id) > 0;
    }

    // How often a server has received the request with this id.
    [[nodiscard]] static std::size_t runs(const DaemonFixture &fixture, const std::string &id)
    {
        const auto &all = fixture.receivedRequests_;
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [&](const ReceivedRequest &request) { return request.message_["Attempt-Id"] == id; }));
    }

    DaemonFixture near_;
    DaemonFixture far_;
    std::deque<KeptCaller> callers_;
    bool isJoined_ = false;

private:
    Millis heldUntil_;
};

// Times for which the second daemon stops: around the offer's timeout of 100 ms, the hedge's delay and the time limit.
std::vector<Millis> holdTimes()
{
    std::vector<Millis> times;
    for (const int centre : {12, 100, 200, 300}) {
        for (const int offset : {-5, -2, -1, 0, 1, 2, 5}) {
            times.emplace_back(centre + offset);
        }
    }
    return times;
}

// Sends one request for each time, with the second daemon held from some moment after the request on. Returns how many reached the second server.
std::size_t checkHolds(const std::string &method, const std::string &target, std::size_t responseSize, Millis holdDelay)
{
    TwoDaemons daemons;
    BOOST_REQUIRE(daemons.isJoined_);
    std::size_t reachedFar = 0;
    int number = 0;
    for (const Millis holdTime : holdTimes()) {
        KeptCaller &caller = daemons.connect();
        BOOST_REQUIRE(caller.wasAnswered());
        const std::string id = "a" + std::to_string(++number);
        const ScriptedResponse response{.lateBytes_ = longResponse(responseSize), .lateDelay_ = Millis(20)};
        daemons.near_.responsesById_[id] = response;
        daemons.far_.responsesById_[id] = response;
        caller.send(plainRequest(method, target, id, Millis(300)));
        daemons.runFor(holdDelay);
        daemons.hold(holdTime);
        daemons.runUntil([&]() { return caller.hasEnded() || caller.responses().size() >= 2; });
        const std::size_t answers = caller.responses().size();
        BOOST_TEST((answers == 2U || !daemons.isPassedOn(id)), method << " held for " << holdTime.count());
        const std::size_t farRuns = TwoDaemons::runs(daemons.far_, id);
        reachedFar += farRuns;
        BOOST_TEST((method == "GET" || farRuns + TwoDaemons::runs(daemons.near_, id) <= 1U));
        if (answers == 2) {
            const unsigned status = caller.responses()[1].result_int();
            BOOST_TEST((status == 200U || status == 502U || status == 503U || status == 504U), method << " held for " << holdTime.count() << " got " << status);
            BOOST_TEST((status != 200U || caller.responses()[1].body().size() == responseSize));
        }
        caller.close();
        daemons.runFor(holdTime);
    }
    BOOST_TEST(unansweredText(daemons.near_) == "");
    return reachedFar;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_daemon_that_stops_before_its_reply_to_an_offer_loses_an_answer)
{
    std::size_t reachedFar = 0;
    for (const Millis holdDelay : {Millis(0), Millis(3)}) {
        reachedFar += checkHolds("GET", "/r/1", 10, holdDelay) + checkHolds("POST", "/w/1", 10, holdDelay);
    }
    BOOST_TEST(reachedFar > 0U);
}

BOOST_AUTO_TEST_CASE(a_daemon_that_stops_around_the_end_of_a_response_loses_an_answer)
{
    std::size_t reachedFar = 0;
    for (const Millis holdDelay : {Millis(20), Millis(24), Millis(28)}) {
        reachedFar += checkHolds("GET", "/r/1", 10, holdDelay) + checkHolds("POST", "/w/1", 60000, holdDelay);
    }
    BOOST_TEST(reachedFar > 0U);
}
