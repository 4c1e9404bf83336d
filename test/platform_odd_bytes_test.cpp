// Odd bytes and odd moments on all connections of a daemon, from a seed: it must stay usable, and no request may be left behind.
#define BOOST_TEST_MODULE platform_odd_bytes
#include "standin/daemon_fixture.h"
#include "standin/peer.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <random>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// Number of seeds; a thorough run sets ODD_BYTES_SEEDS, and ODD_BYTES_FIRST to start elsewhere.
unsigned numberFromEnvironment(const char *name, unsigned fallback)
{
    const char *const text = std::getenv(name);
    return text == nullptr ? fallback : static_cast<unsigned>(std::stoul(text));
}

// A source of random choices.
class Dice
{
public:
    explicit Dice(unsigned seed)
        : random_(seed)
    {
    }

    std::size_t below(std::size_t limit)
    {
        return static_cast<std::size_t>(random_() % limit);
    }

    bool percent(std::size_t chance)
    {
        return below(100) < chance;
    }

    const std::string &pick(const std::vector<std::string> &texts)
    {
        return texts[below(texts.size())];
    }

    // Changes bytes at some places: flips, removes, repeats or inserts them.
    std::string mutate(std::string bytes)
    {
        static const std::vector<std::string> Odd{"\r\n", "\r\n\r\n", ":",  " ", std::string(1, '\0'), "\xff", "0", "-1", "99999999999999999999", "chunked",
                                                  ",",    "\t",       "\n", ";"};
        for (std::size_t count = below(4); count > 0 && !bytes.empty(); --count) {
            const std::size_t at = below(bytes.size());
            const std::size_t size = below(std::min<std::size_t>(bytes.size() - at, 40) + 1);
            switch (below(5)) {
            case 0:
                bytes[at] = static_cast<char>(below(256));
                break;
            case 1:
                bytes.erase(at, size);
                break;
            case 2:
                bytes.insert(at, bytes.substr(at, size));
                break;
            case 3:
                bytes.insert(at, pick(Odd));
                break;
            default:
                bytes.resize(at);
                break;
            }
        }
        return bytes;
    }

private:
    std::mt19937 random_;
};

// Requests of callers; "{n}" is replaced by a number.
std::string callerBytes(Dice &dice, int number)
{
    const std::string id = "Attempt-Id: c" + std::to_string(number) + "\r\nDeadline-Ms: " + std::to_string(50 + dice.below(300)) + "\r\n";
    const std::string host = "Host: desk.example\r\n";
    const std::string target = "/" + dice.pick({"r", "w", "u"}) + "/" + std::to_string(number);
    const std::string body(dice.percent(10) ? 700000 : dice.below(3000), 'b');
    const std::vector<std::string> requests{
        "GET " + target + " HTTP/1.1\r\n" + host + id + "\r\n",
        "HEAD " + target + " HTTP/1.1\r\n" + host + id + "\r\n",
        "POST " + target + " HTTP/1.1\r\n" + host + id + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
        "POST " + target + " HTTP/1.1\r\n" + host + id + "Expect: 100-continue\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
        "POST " + target + " HTTP/1.1\r\n" + host + id + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;a=b\r\n world\r\n0\r\nX-T: t\r\n\r\n",
        "PUT " + target + " HTTP/1.1\r\n" + host + id + "Connection: close, X-Drop\r\nX-Drop: 1\r\nContent-Length: 3\r\n\r\nabc",
    };
    std::string bytes = dice.pick(requests);
    if (dice.percent(20)) {
        bytes += dice.pick(requests);
    }
    return dice.percent(70) ? dice.mutate(bytes) : bytes;
}

// A response of the backend server.
ScriptedResponse backendResponse(Dice &dice)
{
    const std::string own = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: s\r\n";
    const std::string body(dice.percent(20) ? 150000 : dice.below(2000), 'v');
    const std::vector<std::string> responses{
        DaemonFixture::matchingResponse(body),
        own + "Keep-Alive: timeout=" + dice.pick({"0", "1", "99999999999999999", "-5", "x"}) + "\r\nServer-Load: "
            + dice.pick({"1,1,4,100", "99999999999,1,2,3", ",,,", "-1,-1,-1,-1"}) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
        own + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-T: t\r\n\r\n",
        own + "\r\n" + body,
        "HTTP/1.1 204 No Content\r\nAttempt-Id: {id}\r\nResponse-Signature: s\r\n\r\n",
        "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 421 Other\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 500 Error\r\nAttempt-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
        "HTTP/1.1 103 Early\r\n\r\n" + DaemonFixture::matchingResponse(body),
        "",
    };
    ScriptedResponse response{dice.pick(responses)};
    if (dice.percent(50)) {
        response.bytes_ = dice.mutate(response.bytes_);
    }
    const std::array<AfterResponse, 3> ends{AfterResponse::KeepOpen, AfterResponse::Close, AfterResponse::Reset};
    response.afterResponse_ = ends[dice.below(ends.size())];
    response.respondsBeforeBody_ = dice.percent(30);
    response.bodyReadDelay_ = Millis(static_cast<std::int64_t>(dice.percent(30) ? dice.below(100) : 0));
    const AfterResponse earlyEnd = dice.percent(15) ? ends[dice.below(ends.size())] : AfterResponse::KeepOpen;
    response.endsBeforeBody_ = earlyEnd != AfterResponse::KeepOpen;
    response.afterResponse_ = response.endsBeforeBody_ ? earlyEnd : response.afterResponse_;
    response.lateBytes_ = dice.percent(10) ? dice.mutate(dice.pick(responses)) : "";
    return response;
}

// Encodes a frame of another daemon's connection, with one of a few attempt ids.
std::string frameBytes(Dice &dice)
{
    const std::uint64_t attempt = 1 + dice.below(3);
    Offer offer;
    offer.attempt_ = attempt;
    offer.sender_ = InstanceName(dice.pick({"live", "other", ""}));
    offer.service_ = ServiceName(dice.pick({"booking", "booking", "other"}));
    offer.class_ = ClassName(dice.pick({"r", "w", "u", "none"}));
    offer.remaining_ = Millis(static_cast<std::int64_t>(dice.below(300)));
    offer.sentAt_ = WorldRunner::now();
    offer.fingerprint_ = Fingerprint(dice.below(1000000));
    offer.key_ = dice.percent(5) ? "key" : "";
    offer.routed_ = dice.percent(90);
    offer.isIdempotent_ = dice.percent(50);
    offer.isBodyInline_ = dice.percent(50);
    offer.requiresWholeBody_ = dice.percent(20);
    offer.trace_ = TraceId("t");
    RequestHead head{attempt,
                     dice.pick({"GET", "POST", "", "G T"}),
                     dice.pick({"/w/1", "", "/ x\r\n"}),
                     {{"Attempt-Id", "f" + std::to_string(attempt)}},
                     dice.percent(70),
                     dice.below(100)};
    const std::string bytes(dice.percent(10) ? 300000 : dice.below(100), 'c');
    const std::vector<Frame> frames{offer,
                                    offer,
                                    offer,
                                    Confirmation{attempt},
                                    Confirmation{attempt},
                                    WithdrawalRequest{attempt},
                                    head,
                                    head,
                                    BodyChunk{attempt, bytes},
                                    BodyChunk{attempt, bytes},
                                    BodyEnd{attempt, dice.percent(50) ? bytes.size() : dice.below(200)},
                                    TicketPull{},
                                    TicketBatch{},
                                    ConnectionEnd{},
                                    OfferReply{attempt, Verdict::Admitted, 0, {}},
                                    ResponseEnd{attempt, 0, {}}};
    const std::string frame = encodeFrame(frames[dice.below(frames.size())]);
    return dice.percent(10) ? dice.mutate(frame) : frame;
}

// A connection that sends odd bytes piece by piece and ends at a random moment.
Task<> runOddConnection(DaemonFixture &fixture, std::shared_ptr<tcp::socket> socket, std::string bytes, unsigned seed)
{
    Dice dice(seed);
    error_code errorCode;
    asio::steady_timer timer(fixture.context());
    std::size_t sent = 0;
    while (sent < bytes.size() && !errorCode) {
        const std::size_t size = dice.percent(50) ? bytes.size() - sent : 1 + dice.below(bytes.size() - sent);
        co_await asio::async_write(*socket, asio::buffer(bytes.data() + sent, size), asio::redirect_error(asio::use_awaitable, errorCode));
        sent += size;
        timer.expires_after(std::chrono::milliseconds(dice.percent(70) ? 0 : dice.below(60)));
        co_await timer.async_wait(asio::use_awaitable);
    }
    timer.expires_after(std::chrono::milliseconds(dice.below(200)));
    co_await timer.async_wait(asio::use_awaitable);
    if (dice.percent(20)) {
        socket->shutdown(tcp::socket::shutdown_send, errorCode);
        timer.expires_after(std::chrono::milliseconds(dice.below(100)));
        co_await timer.async_wait(asio::use_awaitable);
    }
    socket->set_option(asio::socket_base::linger(dice.percent(50), 0), errorCode);
    socket->close(errorCode);
}

// Opens a connection that sends odd bytes.
void startOddConnection(DaemonFixture &fixture, const Address &address, const std::string &bytes, unsigned seed)
{
    const auto socket = std::make_shared<tcp::socket>(fixture.context());
    error_code errorCode;
    socket->connect(toEndpoint<tcp>(address), errorCode);
    const auto received = std::make_shared<Received>();
    asio::co_spawn(fixture.context(), readAll(socket, received, Millis()), asio::detached);
    asio::co_spawn(fixture.context(), runOddConnection(fixture, socket, bytes, seed), asio::detached);
}

// Sends odd bytes for a while, then checks that the daemon has no request left and serves one.
void runSeed(unsigned seed)
{
    constexpr int Rounds = 12;
    Dice dice(seed);
    DaemonFixture fixture;
    const std::string name = "seed " + std::to_string(seed);
    for (int round = 0; round < Rounds; ++round) {
        for (std::size_t count = dice.below(3); count > 0; --count) {
            fixture.scriptedResponses_.push_back(backendResponse(dice));
        }
        for (std::size_t count = 1 + dice.below(3); count > 0; --count) {
            startOddConnection(fixture, fixture.callerAddress(), callerBytes(dice, round), static_cast<unsigned>(dice.below(100000)));
        }
        std::string frames;
        for (std::size_t count = dice.below(12); count > 0; --count) {
            frames += frameBytes(dice);
        }
        startOddConnection(fixture, fixture.exchangeAddress(), frames, static_cast<unsigned>(dice.below(100000)));
        fixture.runFor(Millis(static_cast<std::int64_t>(dice.below(40))));
        if (dice.percent(30)) {
            fixture.announce("ready", round + 2);
        }
    }
    const World &world = fixture.daemon().worldRunner().world();
    BOOST_TEST(fixture.runUntil([&]() { return world.calls_.calls_.size() == 0 && world.admissions_.rows_.size() == 0; }), name << ": requests are left");
    BOOST_TEST((world.admissions_.inFlight_ == Slots()), name);
    BOOST_TEST((world.admissions_.queued_ == Slots()), name);
    fixture.runFor(Millis(300));
    fixture.scriptedResponses_.clear();
    fixture.announce("ready", Rounds + 10);
    fixture.runFor(Millis(20));
    BOOST_TEST(fixture.request("POST", "/w/last", "lesson").status_ == 200U, name);
}

} // namespace

// Guards against bytes, orders of frames and ends of connections that end the daemon, one of its coroutines, or the release of a slot.
BOOST_AUTO_TEST_CASE(odd_bytes_leave_a_usable_daemon)
{
    const unsigned first = numberFromEnvironment("ODD_BYTES_FIRST", 1);
    const unsigned seeds = numberFromEnvironment("ODD_BYTES_SEEDS", 8);
    for (unsigned seed = first; seed < first + seeds; ++seed) {
        runSeed(seed);
    }
}
