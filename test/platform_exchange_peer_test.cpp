// Calls whose inbound daemon ends or breaks the exchange at any byte, over real sockets. The daemon under test is the outbound side.
#define BOOST_TEST_MODULE platform_exchange_peer
#include "standin/daemon_fixture.h"
#include "standin/peer.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// Time limit of the calls.
constexpr int LimitMs = 400;
// The response must arrive within this time.
constexpr Millis ResponseDue{LimitMs + 300};
const std::string Body = "seat 12, row 4";

// What the other daemon does in one exchange.
struct Conversation {
    // Frames after the offer, and those after the body of the request.
    std::vector<Frame> beforeBody_;
    std::vector<Frame> afterBody_;
    // Number of bytes after which the connection ends.
    std::size_t cutAfter_ = std::numeric_limits<std::size_t>::max();
    AfterResponse end_ = AfterResponse::KeepOpen;
};

// Another daemon whose backend server is ready.
class OtherDaemon
{
public:
    explicit OtherDaemon(DaemonFixture &fixture)
        : fixture_(fixture)
        , address_{fixture.exchangeAddress().ip_ + SecondOctet, fixture.exchangeAddress().port_}
        , socket_(fixture.context(), toEndpoint<udp>(address_))
        , acceptor_(fixture.context(), toEndpoint<tcp>(address_))
    {
        asio::co_spawn(fixture.context(), acceptConnections(), asio::detached);
        announce();
    }

    // Makes itself known to the daemon under test.
    void announce()
    {
        InstanceRecord record;
        record.name_ = InstanceName("other");
        record.address_ = address_;
        record.failureDomain_ = "a";
        record.incarnation_ = Incarnation(1);
        record.version_ = 1;
        record.service_ = ServiceName("booking");
        record.slots_ = Slots(4);
        record.backend_ = BackendState::Ready;
        Ping ping;
        ping.header_.sender_ = record.name_;
        ping.header_.records_ = {record};
        socket_.send_to(asio::buffer(encodeDatagram(ping)), toEndpoint<udp>(fixture_.exchangeAddress()));
    }

    // The next exchanges, in order. Further ones are complete.
    std::deque<Conversation> conversations_;
    // Offers received.
    int offers_ = 0;

    // Frames that admit an offer and respond to its request.
    static Conversation complete()
    {
        ResponseHead head;
        head.status_ = 200;
        head.fields_ = {{"Response-Signature", "s"}};
        head.hasLength_ = true;
        head.length_ = Body.size();
        return Conversation{{OfferReply{0, Verdict::Admitted, 0, {}}}, {head, BodyChunk{0, Body}, ResponseEnd{0, Body.size(), {}}}};
    }

private:
    // Difference between the addresses of both daemons.
    static constexpr std::uint32_t SecondOctet = 1U << 17U;

    Task<> acceptConnections()
    {
        for (;;) {
            tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
            asio::co_spawn(fixture_.context(), serve(std::move(socket)), asio::detached);
        }
    }

    // Encodes frames with the attempt of an offer.
    static std::string encode(const std::vector<Frame> &frames, std::uint64_t attempt)
    {
        std::string bytes;
        for (Frame frame : frames) {
            std::visit(
                [&](auto &body) {
                    if constexpr (requires { body.attempt_; }) {
                        body.attempt_ = attempt;
                    }
                },
                frame);
            bytes += encodeFrame(frame);
        }
        return bytes;
    }

    // Sends bytes until the cut. False once the connection was ended there.
    static Task<bool> send(tcp::socket &socket, const std::string &bytes, Conversation &conversation)
    {
        error_code errorCode;
        const std::size_t size = std::min(bytes.size(), conversation.cutAfter_);
        co_await asio::async_write(socket, asio::buffer(bytes.data(), size), asio::redirect_error(asio::use_awaitable, errorCode));
        const bool isCut = size < bytes.size() || conversation.cutAfter_ == size;
        conversation.cutAfter_ -= size;
        if (isCut && conversation.end_ != AfterResponse::KeepOpen) {
            socket.set_option(asio::socket_base::linger(conversation.end_ == AfterResponse::Reset, 0), errorCode);
            socket.close(errorCode);
        }
        co_return !isCut;
    }

    Task<> serve(tcp::socket socket)
    {
        Conversation conversation;
        std::uint64_t attempt = 0;
        error_code errorCode;
        for (;;) {
            std::string length(FrameLengthBytes, '\0');
            co_await asio::async_read(socket, asio::buffer(length), asio::redirect_error(asio::use_awaitable, errorCode));
            if (errorCode) {
                co_return;
            }
            std::string bytes(decodeFrameLength(length), '\0');
            co_await asio::async_read(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, errorCode));
            if (errorCode) {
                co_return;
            }
            const Frame frame = decodeFrame(bytes);
            if (const auto *offer = std::get_if<Offer>(&frame)) {
                ++offers_;
                attempt = offer->attempt_;
                conversation = conversations_.empty() ? complete() : conversations_.front();
                if (!conversations_.empty()) {
                    conversations_.pop_front();
                }
                if (!co_await send(socket, encode(conversation.beforeBody_, attempt), conversation)) {
                    co_return;
                }
            } else if (std::holds_alternative<BodyEnd>(frame)) {
                if (!co_await send(socket, encode(conversation.afterBody_, attempt), conversation)) {
                    co_return;
                }
            }
        }
    }

    DaemonFixture &fixture_;
    Address address_;
    udp::socket socket_;
    tcp::acceptor acceptor_;
};

// One request of a caller.
struct Request {
    std::string method_;
    std::string target_;
    std::size_t bodySize_ = 0;
};

const std::vector<Request> Requests{{"GET", "/r/1", 0}, {"POST", "/w/1", 2000}, {"POST", "/u/1", 360000}};

std::string requestBytes(const Request &request, const std::string &id)
{
    return request.method_ + " " + request.target_ + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(LimitMs)
        + "\r\nContent-Length: " + std::to_string(request.bodySize_) + "\r\n\r\n" + std::string(request.bodySize_, 'b');
}

// Status of the second response on a kept connection, whose exchange takes a course; zero when the connection ends or is silent without one.
unsigned statusAfter(const Request &request, const Conversation &conversation)
{
    DaemonFixture fixture;
    OtherDaemon other(fixture);
    fixture.announce("draining", 2);
    const World &world = fixture.daemon().worldRunner().world();
    BOOST_REQUIRE(fixture.runUntil([&]() { return world.fleet_.rows_.size() == 2 && world.admissions_.backend_.state_ == BackendState::Draining; }));
    Peer caller(fixture);
    caller.write(requestBytes(Requests[0], "first"));
    BOOST_REQUIRE(fixture.runUntil([&]() { return caller.responses().size() == 1; }));
    BOOST_REQUIRE(caller.responses()[0].result_int() == 200U);
    other.conversations_ = {conversation};
    caller.write(requestBytes(request, "second"));
    fixture.runUntil([&]() { return caller.responses().size() == 2 || caller.received().ended_; }, ResponseDue);
    const std::vector<HttpResponse> responses = caller.responses();
    if (responses.size() < 2) {
        BOOST_TEST_MESSAGE(request.target_ << ": the connection " << (caller.received().ended_ ? "has ended" : "is open") << " without a response");
        return 0;
    }
    BOOST_TEST((responses[1].result_int() / 100 != 2 || responses[1].body() == Body), request.target_ << ": " << responses[1].body());
    return responses[1].result_int();
}

std::string nameOf(const Request &request, const Conversation &conversation)
{
    return request.method_ + " " + request.target_ + ", cut after " + std::to_string(conversation.cutAfter_) + " bytes, end "
        + std::to_string(static_cast<int>(conversation.end_));
}

} // namespace

// Guards against a caller without a response when the connection to the inbound daemon ends at any byte.
BOOST_AUTO_TEST_CASE(every_caller_gets_a_response_when_the_exchange_is_cut_at_any_byte)
{
    const std::size_t step = std::getenv("CUT_TEST_SEEDS") == nullptr ? 37 : 1;
    for (const Request &request : Requests) {
        for (const AfterResponse end : {AfterResponse::Close, AfterResponse::Reset}) {
            for (std::size_t size = 0; size < 260; size += step) {
                Conversation conversation = OtherDaemon::complete();
                conversation.cutAfter_ = size;
                conversation.end_ = end;
                BOOST_TEST(statusAfter(request, conversation) != 0U, nameOf(request, conversation));
            }
        }
    }
}

// Guards against a caller without a response when frames come in an odd order or with odd contents.
BOOST_AUTO_TEST_CASE(every_caller_gets_a_response_when_the_exchange_takes_an_odd_course)
{
    const OfferReply admitted{0, Verdict::Admitted, 0, {}};
    const OfferReply queued{0, Verdict::Queued, 0, {}};
    const auto refused = [](std::uint16_t code) { return OfferReply{0, Verdict::Refused, code, {}}; };
    const Conversation complete = OtherDaemon::complete();
    std::vector<Conversation> courses{
        {{admitted, admitted}, complete.afterBody_},
        {{queued, admitted}, complete.afterBody_},
        {{queued}, {}},
        {{admitted}, {}},
        {{}, complete.afterBody_},
        {{ConnectionEnd{}}, {}},
        {{admitted, ConnectionEnd{}}, {}},
        {{queued, ConnectionEnd{}}, {}},
        {{admitted}, {ConnectionEnd{}}},
        {{admitted, WithdrawalReply{0, false}}, complete.afterBody_},
        {{admitted, WithdrawalReply{0, true}}, complete.afterBody_},
        {{queued, WithdrawalReply{0, false}}, {}},
        {{admitted}, {complete.afterBody_[0], ResponseEnd{0, 3, {}}}},
        {{admitted}, {complete.afterBody_[0], BodyChunk{0, "se"}, ExchangeFailure{0, 2001}}},
        {{admitted, Confirmation{0}}, complete.afterBody_},
        {{admitted}, {Offer{}}},
    };
    for (const std::uint16_t code : {1004, 1005, 1008, 1017, 1021, 2001, 2005, 4711}) {
        courses.push_back({{refused(code)}, {}});
        courses.push_back({{ExchangeFailure{0, code}}, {}});
        courses.push_back({{admitted}, {ExchangeFailure{0, code}}});
        courses.push_back({{queued, ExchangeFailure{0, code}}, {}});
    }
    for (const Request &request : Requests) {
        for (std::size_t number = 0; number < courses.size(); ++number) {
            BOOST_TEST(statusAfter(request, courses[number]) != 0U, request.target_ << ", course " << number);
        }
    }
}
