// A caller of a daemon under test whose connection has carried an answered request, and which reads and writes when the test says so.
#pragma once

#include "standin/daemon_fixture.h"
#include "standin/lost_rule.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <functional>
#include <numeric>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace radishford {

// More than is buffered before a call starts, so that the rest is passed on while it arrives.
constexpr std::size_t StreamedBytes = std::size_t{1} << 20U;
// Part of such a body that is sent first.
constexpr std::size_t FirstBytes = std::size_t{700} << 10U;

// How a caller frames the body of its request.
enum class BodyFraming : std::uint8_t {
    Length, // Content-Length.
    Chunked, // Transfer-Encoding: chunked.
    Expect, // Content-Length, with Expect: 100-continue.
};

// A request head with an id and a time limit, up to the fields of the body.
inline std::string headStart(const std::string &method, const std::string &target, const std::string &id, Millis limit)
{
    return method + " " + target + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(limit.count()) + "\r\n";
}

// A request without a body.
inline std::string plainRequest(const std::string &method, const std::string &target, const std::string &id, Millis limit = Millis(1200))
{
    const bool hasLength = method == "POST";
    return headStart(method, target, id, limit) + (hasLength ? "Content-Length: 0\r\n\r\n" : "\r\n");
}

// Body bytes in their framing. The last part ends the body.
inline std::string framedPart(BodyFraming framing, const std::string &bytes, bool isLast)
{
    if (framing != BodyFraming::Chunked) {
        return bytes;
    }
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return (bytes.empty() ? std::string() : size.data() + bytes + "\r\n") + (isLast ? "0\r\n\r\n" : "");
}

// The head of an upload with a body of this size.
inline std::string uploadHead(BodyFraming framing, const std::string &id, Millis limit, std::size_t size)
{
    const std::string length = "Content-Length: " + std::to_string(size) + "\r\n";
    const std::string field = framing == BodyFraming::Chunked ? "Transfer-Encoding: chunked\r\n" : length;
    return headStart("POST", "/u/1", id, limit) + field + (framing == BodyFraming::Expect ? "Expect: 100-continue\r\n" : "") + "\r\n";
}

// A response by which the backend server states that it does not run the request.
inline std::string refusal()
{
    return "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

// A whole response of the backend server with a body of this size.
inline std::string longResponse(std::size_t size)
{
    return DaemonFixture::matchingResponse(std::string(size, 'v'));
}

// Number of requests that were counted as unanswered.
inline std::uint64_t unansweredCount(DaemonFixture &fixture)
{
    const auto &counts = fixture.daemon().worldRunner().world().counters_.unanswered_;
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

// Number of requests that were counted as unanswered for a reason.
inline std::uint64_t unansweredCount(DaemonFixture &fixture, UnansweredReason reason)
{
    return fixture.daemon().worldRunner().world().counters_.get(reason);
}

// The reasons and numbers of unanswered requests, for messages.
inline std::string unansweredText(DaemonFixture &fixture)
{
    std::string text;
    const auto &counts = fixture.daemon().worldRunner().world().counters_.unanswered_;
    for (std::size_t index = 0; index < counts.size(); ++index) {
        text += counts.at(index) > 0 ? " " + std::to_string(counts.at(index)) + " of reason " + std::to_string(index) : "";
    }
    return text;
}

// A caller that keeps its connection. Bytes move only while pump() is called, which the run functions do.
class KeptCaller
{
public:
    // Connects and has one request answered. A receive buffer of zero bytes means the default one.
    explicit KeptCaller(DaemonFixture &fixture, int receiveBuffer = 0)
        : fixture_(fixture)
        , socket_(fixture.context())
    {
        socket_.open(tcp::v4());
        if (receiveBuffer > 0) {
            socket_.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
        }
        socket_.connect(toEndpoint<tcp>(fixture.callerAddress()));
        socket_.set_option(tcp::no_delay(true));
        socket_.non_blocking(true);
        static std::uint64_t lastNumber = 0;
        send(plainRequest("GET", "/r/first", "first" + std::to_string(++lastNumber)));
        wasAnswered_ = runUntil([this]() { return responses().size() == 1; });
    }

    // Queues bytes to be written.
    void send(const std::string &bytes)
    {
        outgoing_ += bytes;
        pump();
    }

    // Stops or resumes reading.
    void setReading(bool isReading)
    {
        isReading_ = isReading;
    }

    // Limits what is read by one pump(), for a slow caller.
    void limitReads(std::size_t bytes)
    {
        readLimit_ = bytes;
    }

    // Closes the sending side only.
    void closeSending()
    {
        error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }

    // Closes the connection.
    void close()
    {
        error_code ignored;
        socket_.close(ignored);
        hasEnded_ = true;
    }

    // Loses all segments that arrive from now on, or no further ones.
    void loseArriving(bool isLossy)
    {
        std::array<sock_filter, 1> dropAll{{BPF_STMT(BPF_RET | BPF_K, 0)}};
        const sock_fprog program{dropAll.size(), dropAll.data()};
        const int none = 0;
        if (isLossy) {
            setsockopt(socket_.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
        } else {
            setsockopt(socket_.native_handle(), SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof(none));
        }
    }

    // Writes and reads what is possible now.
    void pump()
    {
        error_code errorCode;
        while (!outgoing_.empty() && !errorCode && socket_.is_open()) {
            const std::size_t size = socket_.write_some(asio::buffer(outgoing_), errorCode);
            outgoing_.erase(0, size);
        }
        if (errorCode && errorCode != asio::error::would_block) {
            wasWriteRefused_ = true;
            outgoing_.clear();
        }
        errorCode = {};
        std::size_t left = readLimit_;
        std::string part(std::min<std::size_t>(readLimit_, std::size_t{64} << 10U), '\0');
        while (isReading_ && !hasEnded_ && !errorCode && left > 0) {
            const std::size_t size = socket_.read_some(asio::buffer(part.data(), std::min(part.size(), left)), errorCode);
            received_.append(part, 0, size);
            left -= size;
        }
        if (errorCode && errorCode != asio::error::would_block) {
            hasEnded_ = true;
            wasReset_ = errorCode != asio::error::eof;
            endedAt_ = WorldRunner::now();
        }
    }

    // Runs the fixture and this caller until a condition holds or the timeout expires. Returns whether the condition holds.
    bool runUntil(const std::function<bool()> &condition, Millis timeout = Millis(4000))
    {
        return fixture_.runUntil(
            [&]() {
                pump();
                return condition();
            },
            timeout);
    }

    // Runs for a fixed duration.
    void runFor(Millis duration)
    {
        runUntil([]() { return false; }, duration);
    }

    // Runs a number of single handlers of the daemon and its stand-ins; fewer when none is ready.
    void runHandlers(int count)
    {
        fixture_.context().restart();
        for (int number = 0; number < count && fixture_.context().poll_one() > 0; ++number) { }
    }

    // Runs until all queued bytes are written or refused.
    bool awaitWritten(Millis timeout = Millis(4000))
    {
        return runUntil([this]() { return outgoing_.empty(); }, timeout);
    }

    // Runs until the backend server has received the request with this id.
    bool awaitPassedOn(const std::string &id)
    {
        return runUntil([&]() { return isPassedOn(id); });
    }

    // Runs until the number of complete responses is reached or the connection has ended. Returns the status of the last of them; zero without it.
    unsigned awaitStatus(std::size_t number = 2, Millis timeout = Millis(5000))
    {
        runUntil([&]() { return hasEnded_ || responses().size() >= number; }, timeout);
        const std::vector<HttpResponse> all = responses();
        return all.size() >= number ? all[number - 1].result_int() : 0;
    }

    // All complete final responses so far, in order. The one with this number, from 1, is taken for one without a body.
    [[nodiscard]] std::vector<HttpResponse> responses(std::size_t numberWithoutBody = 0) const
    {
        std::vector<HttpResponse> messages;
        std::string_view rest = received_;
        while (!rest.empty()) {
            http::response_parser<http::string_body> parser;
            parser.eager(true);
            parser.body_limit(boost::none);
            parser.skip(messages.size() + 1 == numberWithoutBody);
            error_code errorCode;
            const std::size_t used = parser.put(asio::buffer(rest), errorCode);
            if (errorCode || !parser.is_done()) {
                break;
            }
            rest.remove_prefix(used);
            if (parser.get().result_int() >= 200) {
                messages.push_back(parser.get());
            }
        }
        return messages;
    }

    // True when a further request gets a whole answer, or the last response announced the end of the connection and it ended without a reset.
    bool isUsableOrClosed(const std::string &id)
    {
        const std::vector<HttpResponse> before = responses();
        if (!before.back().keep_alive()) {
            return runUntil([this]() { return hasEnded_; }, Millis(7000)) && !wasReset_;
        }
        send(plainRequest("GET", "/r/next", id));
        return awaitStatus(before.size() + 1) != 0U;
    }

    // True when the backend server has received the request with this id.
    [[nodiscard]] bool isPassedOn(const std::string &id) const
    {
        return std::any_of(fixture_.receivedRequests_.begin(), fixture_.receivedRequests_.end(),
                           [&](const ReceivedRequest &request) { return request.message_["Attempt-Id"] == id; });
    }

    // The request with this id as the rule judges it, when the response with this number, from 1, is its response.
    [[nodiscard]] ObservedRequest observe(const std::string &id, std::size_t number = 2, bool serverBrokeOff = false) const
    {
        ObservedRequest request{.id_ = id, .daemon_ = "live", .isOnKeptConnection_ = true, .endedAt_ = endedAt_};
        const bool isAnswered = responses().size() >= number;
        request.end_ = isAnswered ? RequestEnd::Answered : hasEnded_ ? RequestEnd::Closed : RequestEnd::TimedOut;
        request.isPassedOn_ = isPassedOn(id);
        request.serverBrokeOff_ = serverBrokeOff;
        return request;
    }

    [[nodiscard]] bool hasEnded() const
    {
        return hasEnded_;
    }

    [[nodiscard]] bool wasAnswered() const
    {
        return wasAnswered_;
    }

    [[nodiscard]] bool wasReset() const
    {
        return wasReset_;
    }

    [[nodiscard]] bool wasWriteRefused() const
    {
        return wasWriteRefused_;
    }

    // When the connection ended; zero while it is open.
    [[nodiscard]] Millis endedAt() const
    {
        return endedAt_;
    }

    // All bytes that were read.
    [[nodiscard]] const std::string &received() const
    {
        return received_;
    }

private:
    DaemonFixture &fixture_;
    tcp::socket socket_;
    std::string outgoing_;
    std::string received_;
    std::size_t readLimit_ = std::size_t{1} << 20U;
    Millis endedAt_;
    bool isReading_ = true;
    bool hasEnded_ = false;
    bool wasReset_ = false;
    bool wasWriteRefused_ = false;
    bool wasAnswered_ = false;
};

} // namespace radishford
