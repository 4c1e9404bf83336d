// Responses of a backend server that leaves the body of their request unread, over real sockets.
#define BOOST_TEST_MODULE platform_unread_body
#include "standin/daemon_fixture.h"
#include "standin/peer.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// More than the buffers of the daemon and its sockets take, so that a part of the body waits to be written when the connection ends.
constexpr std::size_t LongBodyBytes = 3900000;
// Time from the response until its connection ends.
constexpr Millis EndDelay{200};

// Head of a response that ends with its connection.
const std::string UnframedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: s\r\n\r\n";

// A caller that sends a body while it reads.
class Uploader : public Peer
{
public:
    Uploader(DaemonFixture &fixture, const std::string &id)
        : Peer(fixture)
    {
        const std::string head = "POST /u/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id
            + "\r\nDeadline-Ms: 3000\r\nContent-Length: " + std::to_string(LongBodyBytes) + "\r\n\r\n";
        asio::co_spawn(fixture.context(), writeAll(socket(), head + std::string(LongBodyBytes, 'b')), asio::detached);
    }

private:
    static Task<> writeAll(std::shared_ptr<tcp::socket> socket, std::string bytes)
    {
        error_code ignored;
        co_await asio::async_write(*socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ignored));
    }
};

// A response that is sent before the body is read, after which the connection ends.
ScriptedResponse earlyResponse(const std::string &bytes, AfterResponse end)
{
    ScriptedResponse response{bytes};
    response.respondsBeforeBody_ = true;
    response.bodyReadDelay_ = EndDelay;
    response.endsBeforeBody_ = end != AfterResponse::KeepOpen;
    response.afterResponse_ = end;
    return response;
}

} // namespace

// Guards against a response without length that is reset on its way and looks complete, since the write of the body took note of the reset first.
BOOST_AUTO_TEST_CASE(an_unframed_response_that_is_reset_while_its_body_is_written_never_looks_complete)
{
    for (const std::size_t size : {std::size_t{10}, std::size_t{100000}}) {
        DaemonFixture fixture;
        fixture.limitBackendBuffers();
        fixture.scriptedResponses_.push_back(earlyResponse(UnframedHead + std::string(size, 'v'), AfterResponse::Reset));
        const Uploader caller(fixture, "a1");
        BOOST_REQUIRE(fixture.runUntil([&]() { return caller.response().has_value() || caller.received().ended_; }));
        const std::optional<HttpResponse> response = caller.response();
        BOOST_TEST((!response || response->result_int() == 502U), size << " bytes: " << response->result_int() << ", " << response->body().size() << " bytes");
    }
}
