// Callers that send requests to a daemon under test at a fixed rate, whether or not earlier ones have been answered.
#pragma once

#include "standin/daemon_fixture.h"
#include "standin/server_notice_rule.h"

#include <deque>
#include <string>

namespace radishford {

// One request of an open caller and what its caller received.
struct OpenRequest {
    std::string id_{};
    Millis sentAt_{};
    Millis endedAt_ = Millis::never();
    // The response, without its body; its status is zero when there is none.
    http::response_header<> header_{};
    unsigned status_ = 0;
};

// Sends requests, each on a connection of its own. Must live until the fixture has stopped running.
class OpenCallers
{
public:
    explicit OpenCallers(DaemonFixture &fixture)
        : fixture_(fixture)
    {
    }

    // Sends requests with this method and target prefix, one in each interval, and runs the fixture for the duration.
    void run(const std::string &method, const std::string &prefix, Millis interval, Millis duration)
    {
        const Millis end = WorldRunner::now() + duration;
        Millis next = WorldRunner::now();
        while (WorldRunner::now() < end) {
            if (WorldRunner::now() >= next) {
                next = next + interval;
                send(method, prefix);
            }
            fixture_.runFor(Millis(1));
        }
    }

    // Sends one request without waiting for its response.
    OpenRequest &send(const std::string &method, const std::string &prefix)
    {
        static std::uint64_t lastNumber = 0;
        OpenRequest &request = requests_.emplace_back();
        request.id_ = "open" + std::to_string(++lastNumber);
        request.sentAt_ = WorldRunner::now();
        const std::string length = method == "POST" ? "Content-Length: 0\r\n" : "";
        const std::string head = method + " " + prefix + request.id_ + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + request.id_
            + "\r\nDeadline-Ms: 1200\r\n" + length + "\r\n";
        asio::co_spawn(fixture_.context(), exchange(request, head), asio::detached);
        return request;
    }

    // Number of requests that got this status.
    [[nodiscard]] std::ptrdiff_t countStatus(unsigned status) const
    {
        return std::count_if(requests_.begin(), requests_.end(), [&](const OpenRequest &request) { return request.status_ == status; });
    }

    // What the rules on request limits and leaving servers judge. The backend server states its notices by itself.
    [[nodiscard]] NoticeObservation observe(const std::vector<NoticeRecord> &notices) const
    {
        NoticeObservation observation{notices};
        for (const OpenRequest &request : requests_) {
            if (request.status_ != 0) {
                const bool hasLimit = request.header_.count("Server-Limit") > 0;
                const bool isLeaving = request.header_["Server-Leaving"] == "1";
                observation.responses_.push_back(PassedOnResponse{Machine, Server, request.endedAt_, hasLimit, isLeaving});
            }
        }
        for (const ReceivedRequest &received : fixture_.receivedRequests_) {
            const auto id = received.message_["Attempt-Id"];
            const auto request = std::find_if(requests_.begin(), requests_.end(), [&](const OpenRequest &row) { return row.id_ == id; });
            if (request != requests_.end()) {
                observation.requests_.push_back(ArrivedRequest{request->id_, Machine, Server, request->sentAt_, received.receivedAt_});
            }
        }
        return observation;
    }

    // Names of the only machine and of its backend server in observations.
    static constexpr const char *Machine = "one";
    static constexpr const char *Server = "s";

    // In the order in which they were sent. References stay valid.
    std::deque<OpenRequest> requests_;

private:
    Task<> exchange(OpenRequest &request, std::string bytes)
    {
        beast::tcp_stream stream(fixture_.context());
        error_code errorCode;
        co_await stream.async_connect(toEndpoint<tcp>(fixture_.callerAddress()), asio::redirect_error(asio::use_awaitable, errorCode));
        co_await asio::async_write(stream, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, errorCode));
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        stream.expires_after(std::chrono::milliseconds(3000));
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, errorCode));
        request.endedAt_ = WorldRunner::now();
        if (!errorCode) {
            request.header_ = parser.get().base();
            request.status_ = parser.get().result_int();
        }
    }

    DaemonFixture &fixture_;
};

} // namespace radishford
