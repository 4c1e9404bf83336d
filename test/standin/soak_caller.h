// Callers of a process soak: each keeps a connection to its daemon open as long as it can, and records how each request ended.
#pragma once

#include "net/async_condition.h"
#include "net/world_runner.h"
#include "standin/soak_ledger.h"
#include "standin/soak_server.h"

#include <array>
#include <charconv>
#include <memory>
#include <string>

namespace radishford {

// A kind of request: its route, the size of its body, and how often it is sent.
struct SoakRequestKind {
    const char *method_;
    const char *prefix_;
    bool isSafe_;
    std::size_t minBytes_;
    std::size_t maxBytes_;
    std::uint64_t weight_;
};

constexpr std::array<SoakRequestKind, 4> SoakRequestKinds{{
    {"GET", "/r/", true, 0, 0, 35},
    {"POST", "/w/", false, 200, 4000, 25},
    {"POST", "/u/", false, 60000, 360000, 24},
    {"POST", "/u/", false, 600000, 3000000, 16},
}};

// How often a request asks for each ServerAct, in its order.
constexpr std::array<std::uint64_t, ServerActCount> ServerActWeights{70, 6, 9, 4, 5, 5, 1};

// All that is drawn about one request before it is sent.
struct SoakRequestPlan {
    std::string id_{};
    const SoakRequestKind *kind_ = nullptr;
    std::size_t bodyBytes_ = 0;
    // The body is sent in pieces of this size, with a pause between them.
    std::size_t pieceBytes_ = 0;
    Millis sendPause_{};
    // True when the length of the body is not announced.
    bool isChunked_ = false;
    // Pause between the head and the body of the response.
    Millis readPause_{};
    ServerAct act_ = ServerAct::Work;
    Millis work_{};
    std::size_t answerBytes_ = 0;
    Millis deadline_{};
    // The connection is closed this long after the start of the request; for a caller that leaves, before a response is due.
    Millis patience_{};
    bool leaves_ = false;
    bool closesSending_ = false;
};

// Limits of the desired state that callers respect.
struct SoakCallerLimits {
    Millis routeTimeout_{3000};
    Millis idleTimeout_{5000};
};

// The callers of one daemon.
class SoakCallers
{
public:
    // The limits and the flag are read before each request.
    SoakCallers(asio::io_context &context, SoakLedger &ledger, std::string daemon, const Address &address, const SoakCallerLimits &limits, std::uint64_t seed)
        : context_(context)
        , ledger_(ledger)
        , daemon_(std::move(daemon))
        , address_(address)
        , limits_(limits)
        , random_(seed)
    {
    }

    // Opens connections that send requests until stop().
    void start(int connections)
    {
        for (int number = 0; number < connections; ++number) {
            ++open_;
            asio::co_spawn(context_, runConnections(), asio::detached);
        }
    }

    // Sends no further requests; open ones are completed.
    void stop()
    {
        isStopping_ = true;
    }

    // True once all connections have ended after stop().
    [[nodiscard]] bool hasEnded() const
    {
        return open_ == 0;
    }

private:
    static constexpr Millis ReconnectDelay{25};
    static constexpr Millis MaxRefusalDelay{300};
    // Time after its limit for which a caller still waits.
    static constexpr Millis LatePatience{1000};
    // Size of small socket buffers.
    static constexpr int SmallBuffer = 16384;

    // One connection; shared with the coroutine that writes.
    struct Connection {
        explicit Connection(asio::io_context &context)
            : stream_(context)
            , writerEnded_(context.get_executor())
        {
        }
        beast::tcp_stream stream_;
        beast::flat_buffer buffer_{};
        bool isWriting_ = false;
        AsyncCondition writerEnded_;
        int answered_ = 0;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    Task<> sleep(Millis duration)
    {
        asio::steady_timer timer(context_, toChrono(duration));
        co_await timer.async_wait(asio::use_awaitable);
    }

    // Draws an index with a frequency according to its weight.
    template<typename Rows, typename Weight>
    std::size_t drawIndex(const Rows &rows, Weight weightOf)
    {
        std::uint64_t total = 0;
        for (const auto &row : rows) {
            total += weightOf(row);
        }
        std::uint64_t drawn = random_.between(0, total - 1);
        std::size_t index = 0;
        for (; drawn >= weightOf(rows.at(index)); ++index) {
            drawn -= weightOf(rows.at(index));
        }
        return index;
    }

    SoakRequestPlan drawPlan()
    {
        SoakRequestPlan plan;
        plan.id_ = daemon_ + "-" + std::to_string(++lastId_);
        plan.kind_ = &SoakRequestKinds.at(drawIndex(SoakRequestKinds, [](const SoakRequestKind &kind) { return kind.weight_; }));
        plan.bodyBytes_ = random_.between(plan.kind_->minBytes_, plan.kind_->maxBytes_);
        plan.pieceBytes_ = std::max<std::size_t>(plan.bodyBytes_, 1);
        const std::uint64_t style = random_.between(0, 3);
        if (style == 0) {
            // A pause in the middle of the body.
            plan.pieceBytes_ = plan.bodyBytes_ / 2 + 1;
            plan.sendPause_ = random_.millisBetween(50, 1500);
        } else if (style == 1) {
            // A slow link.
            plan.pieceBytes_ = plan.bodyBytes_ / random_.between(8, 60) + 1;
            plan.sendPause_ = random_.millisBetween(10, 50);
        }
        plan.isChunked_ = plan.bodyBytes_ > 0 && random_.chance(25);
        plan.readPause_ = random_.chance(15) ? random_.millisBetween(50, 800) : Millis();
        plan.act_ = static_cast<ServerAct>(drawIndex(ServerActWeights, [](std::uint64_t weight) { return weight; }));
        plan.work_ = random_.chance(70) ? random_.millisBetween(50, 400)
            : random_.chance(70)        ? random_.millisBetween(400, 1500)
                                        : random_.millisBetween(1500, 3000);
        plan.answerBytes_ = random_.chance(70) ? 0 : random_.chance(65) ? random_.between(20000, 60000) : random_.between(100000, 400000);
        plan.deadline_ = random_.chance(20) ? random_.millisBetween(300, 1200) : random_.millisBetween(1500, 4000);
        plan.leaves_ = random_.chance(3);
        plan.closesSending_ = random_.chance(2);
        plan.patience_ = plan.leaves_ ? random_.millisBetween(20, 1000) : plan.deadline_ + LatePatience + plan.readPause_;
        return plan;
    }

    static std::string describe(const SoakRequestPlan &plan)
    {
        return std::string(plan.kind_->prefix_) + " body " + std::to_string(plan.bodyBytes_) + " in pieces of " + std::to_string(plan.pieceBytes_) + " each "
            + std::to_string(plan.sendPause_.count()) + (plan.isChunked_ ? " ms, chunked, act " : " ms, act ") + std::to_string(static_cast<int>(plan.act_))
            + ", work " + std::to_string(plan.work_.count()) + " ms, answer " + std::to_string(plan.answerBytes_) + ", read after "
            + std::to_string(plan.readPause_.count()) + " ms, limit " + std::to_string(plan.deadline_.count()) + " ms";
    }

    // Keeps one connection to the daemon open at a time.
    Task<> runConnections()
    {
        while (!isStopping_) {
            const auto connection = std::make_shared<Connection>(context_);
            if (!co_await connect(*connection)) {
                co_await sleep(ReconnectDelay);
                continue;
            }
            while (!isStopping_) {
                if (!co_await sendRequest(connection)) {
                    break;
                }
                // A connection is idle for at most four fifths of the limit.
                co_await sleep(random_.chance(4) ? Millis(limits_.idleTimeout_.count() * 4 / 5) : random_.millisBetween(0, 120));
            }
            error_code ignored;
            connection->stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
        }
        --open_;
    }

    // Connects, sometimes with small buffers, as on a slow link.
    Task<bool> connect(Connection &connection)
    {
        error_code errorCode;
        tcp::socket &socket = connection.stream_.socket();
        socket.open(tcp::v4());
        if (random_.chance(40)) {
            socket.set_option(asio::socket_base::receive_buffer_size(SmallBuffer), errorCode);
        }
        if (random_.chance(60)) {
            socket.set_option(asio::socket_base::send_buffer_size(SmallBuffer), errorCode);
        }
        connection.stream_.expires_after(std::chrono::seconds(1));
        co_await connection.stream_.async_connect(toEndpoint<tcp>(address_), asio::redirect_error(asio::use_awaitable, errorCode));
        if (!errorCode) {
            socket.set_option(tcp::no_delay(true), errorCode);
        }
        co_return !errorCode;
    }

    // Sends one request and records how it ended. Returns whether the connection can be used again.
    Task<bool> sendRequest(ConnectionPtr connection)
    {
        const SoakRequestPlan plan = drawPlan();
        Observation &observation = ledger_.add(plan.id_);
        ObservedRequest &request = observation.request_;
        request.daemon_ = daemon_;
        observation.startedAt_ = WorldRunner::now();
        request.isOnKeptConnection_ = connection->answered_ > 0;
        request.limitAt_ = WorldRunner::now() + std::min(plan.deadline_, limits_.routeTimeout_);
        request.endedAt_ = Millis::never();
        observation.isSafe_ = plan.kind_->isSafe_;
        observation.plan_ = describe(plan);
        const Millis patienceEnd = WorldRunner::now() + plan.patience_;
        connection->stream_.expires_after(toChrono(plan.patience_));
        connection->isWriting_ = true;
        asio::co_spawn(context_, writeRequest(connection, plan, &observation), asio::detached);
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        error_code errorCode;
        co_await http::async_read_header(connection->stream_, connection->buffer_, parser, asio::redirect_error(asio::use_awaitable, errorCode));
        if (!errorCode) {
            recordNotice(parser.get());
            ledger_.notify(daemon_, Moment::ResponseArrives);
            co_await sleep(plan.readPause_);
        }
        if (!errorCode && !parser.is_done()) {
            co_await http::async_read(connection->stream_, connection->buffer_, parser, asio::redirect_error(asio::use_awaitable, errorCode));
        }
        request.endedAt_ = WorldRunner::now();
        const bool isPatienceOver = request.endedAt_ >= patienceEnd;
        const bool hasLeft = isPatienceOver ? plan.leaves_ : plan.closesSending_;
        const RequestEnd end = hasLeft ? RequestEnd::CallerLeft : isPatienceOver ? RequestEnd::TimedOut : RequestEnd::Closed;
        request.end_ = errorCode ? end : RequestEnd::Answered;
        observation.plan_ += errorCode ? ", ended by: " + errorCode.message() : "";
        if (!errorCode) {
            recordResponse(observation, parser.get());
        }
        const bool mayKeepAlive = !errorCode && parser.keep_alive() && !plan.closesSending_;
        connection->answered_ += mayKeepAlive ? 1 : 0;
        if (!mayKeepAlive) {
            connection->stream_.close();
        }
        while (connection->isWriting_) {
            co_await connection->writerEnded_.wait();
        }
        if (!errorCode && parser.get().result() == http::status::service_unavailable) {
            co_await sleep(std::min(MaxRefusalDelay, retryDelay(parser.get())));
        }
        co_return mayKeepAlive;
    }

    // Records what the head of a response says about the backend server.
    void recordNotice(const http::response_header<> &header)
    {
        const bool hasLimit = header.count("Server-Limit") > 0;
        const bool isLeaving = header["Server-Leaving"] == "1";
        if (hasLimit || isLeaving) {
            ledger_.notices_.responses_.push_back(PassedOnResponse{daemon_, std::string(header["X-Server"]), WorldRunner::now(), hasLimit, isLeaving});
        }
    }

    // Records what the response says.
    static void recordResponse(Observation &observation, const http::response<http::string_body> &response)
    {
        observation.status_ = response.result_int();
        observation.request_.isOwnAnswer_ = response.count("Response-Signature") == 0;
        const bool isSuccess = response.result() == http::status::ok;
        const bool belongs = response["Response-Signature"] == "signature-" + observation.request_.id_ && response.body().starts_with(observation.request_.id_);
        observation.isForeignAnswer_ = isSuccess && !belongs;
    }

    static Millis retryDelay(const http::response<http::string_body> &response)
    {
        const std::string field(response[http::field::retry_after]);
        return Millis::fromFractionalMillis(std::strtod(field.c_str(), nullptr) * 1000);
    }

    // A piece of a body with the framing of chunks; without bytes, the end of the body.
    static std::string chunk(std::size_t size)
    {
        std::array<char, 16> digits{};
        const auto end = std::to_chars(digits.begin(), digits.end(), size, 16).ptr;
        return std::string(digits.begin(), end) + "\r\n" + std::string(size, 'b') + "\r\n";
    }

    // Writes a request in the pieces of its plan.
    Task<> writeRequest(ConnectionPtr connection, SoakRequestPlan plan, Observation *observation)
    {
        const std::string length = plan.isChunked_ ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + std::to_string(plan.bodyBytes_) + "\r\n";
        std::string bytes = std::string(plan.kind_->method_) + " " + plan.kind_->prefix_ + plan.id_
            + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + plan.id_ + "\r\nDeadline-Ms: " + std::to_string(plan.deadline_.count())
            + "\r\nX-Work-Ms: " + std::to_string(plan.work_.count()) + "\r\nX-Act: " + std::to_string(static_cast<int>(plan.act_))
            + "\r\nX-Answer-Bytes: " + std::to_string(plan.answerBytes_) + "\r\n" + (plan.bodyBytes_ > 0 ? length : "") + "\r\n";
        std::size_t left = plan.bodyBytes_;
        error_code errorCode;
        do {
            const std::size_t size = std::min(plan.pieceBytes_, left);
            left -= size;
            bytes += plan.isChunked_ ? chunk(size) + (left == 0 ? chunk(0) : "") : std::string(size, 'b');
            co_await asio::async_write(connection->stream_, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, errorCode));
            bytes.clear();
            co_await sleep(left > 0 ? plan.sendPause_ : Millis());
        } while (left > 0 && !errorCode);
        if (!errorCode) {
            observation->request_.sentAt_ = WorldRunner::now();
            ledger_.notify(daemon_, Moment::LastByteSent);
        }
        if (!errorCode && plan.closesSending_) {
            connection->stream_.socket().shutdown(tcp::socket::shutdown_send, errorCode);
        }
        connection->isWriting_ = false;
        connection->writerEnded_.notify();
    }

    asio::io_context &context_;
    SoakLedger &ledger_;
    std::string daemon_;
    Address address_;
    const SoakCallerLimits &limits_;
    SoakRandom random_;
    int lastId_ = 0;
    int open_ = 0;
    bool isStopping_ = false;
};

} // namespace radishford
