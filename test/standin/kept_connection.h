// A caller's connection to a daemon under test that has carried a request before.
#pragma once

#include "standin/daemon_fixture.h"
#include "standin/peer.h"

#include <stdexcept>
#include <string>

namespace radishford {

// More than is buffered before a call starts, so that the rest is passed on while it arrives.
inline constexpr std::size_t StreamedBytes = std::size_t{1} << 20U;
// Part of such a body that is sent first.
inline constexpr std::size_t FirstBytes = std::size_t{700} << 10U;

// A request head with an id, a time limit in milliseconds and the length of the body.
inline std::string requestHead(const std::string &method, const std::string &target, const std::string &id, int limit, std::size_t length)
{
    return method + " " + target + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(limit)
        + "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

// A response by which the backend server states that it does not run the request.
inline std::string refusal()
{
    return "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

// A connection on which one request was answered.
class KeptConnection : public Peer
{
public:
    explicit KeptConnection(DaemonFixture &fixture)
        : Peer(fixture)
        , fixture_(fixture)
    {
        write(requestHead("GET", "/r/first", "first", 1200, 0));
        if (!fixture.runUntil([&]() { return responses().size() == 1; }) || responses()[0].result_int() != 200) {
            throw std::runtime_error("the first request of a connection was not answered");
        }
    }

    // Waits until the second response is complete or the connection has ended. Returns its status; zero without a response.
    unsigned awaitStatus(Millis timeout = Millis(4000))
    {
        fixture_.runUntil([&]() { return responses().size() > 1 || received().ended_; }, timeout);
        return responses().size() > 1 ? responses()[1].result_int() : 0;
    }

private:
    DaemonFixture &fixture_;
};

// Waits until the backend server has received a number of requests.
inline bool awaitRequests(DaemonFixture &fixture, std::size_t count)
{
    return fixture.runUntil([&]() { return fixture.receivedRequests_.size() >= count; });
}

} // namespace radishford
