// Backend server of a process soak: each request names how the server handles it.
#pragma once

#include "net/async_condition.h"
#include "net/http_client_server.h"
#include "net/world_runner.h"
#include "standin/soak_ledger.h"

#include <boost/json.hpp>

#include <array>
#include <charconv>
#include <memory>
#include <string>

namespace radishford {

// How a backend server handles a request, in the order of SoakServer::handle().
enum class ServerAct : std::uint8_t {
    Work, // Reads the body, works and responds.
    RespondFirst, // Responds before it reads the body, and keeps the connection.
    Reject, // Rejects the request while the body arrives, and keeps the connection.
    RejectAndClose, // Rejects the request while the body arrives, and closes the connection.
    OmitLength, // Works, and ends the response by the end of the connection.
    RespondSlowly, // Works, and writes the response with pauses.
    BreakOff, // Works, and ends the connection within the response.
};
constexpr std::size_t ServerActCount = 7;

// Addresses and identity of a backend server.
struct SoakServerOptions {
    std::string id_{};
    std::string service_{};
    Address listen_{};
    // Where the daemon beside the server takes announcements.
    Address control_{};
};

// One backend server with slots and a queue. The fields X-Act, X-Work-Ms and X-Answer-Bytes of a request tell what to do.
class SoakServer
{
public:
    SoakServer(asio::io_context &context, SoakLedger &ledger, SoakServerOptions settings)
        : context_(context)
        , ledger_(ledger)
        , settings_(std::move(settings))
        , acceptor_(context, toEndpoint<tcp>(settings_.listen_))
        , slotFree_(context.get_executor())
    {
    }

    // States a limit in all responses from now on; none when it is negative.
    void setLimit(double limit)
    {
        limit_ = limit;
        recordNotice();
    }

    // States in all responses from now on that the server leaves. Its announcements go on to say that it is ready.
    void setLeaving()
    {
        isLeaving_ = true;
        recordNotice();
    }

    // Continues as another server at the same address.
    void startAnew()
    {
        ++starts_;
        limit_ = -1;
        isLeaving_ = false;
        born_ = currentMillis();
    }

    // Starts to accept requests and to announce the server.
    void start()
    {
        asio::co_spawn(context_, acceptConnections(), asio::detached);
        asio::co_spawn(context_, announceRepeatedly(), asio::detached);
    }

private:
    static constexpr int Slots = 10;
    static constexpr int QueueLimit = 12;
    static constexpr Millis AnnouncementInterval{300};
    static constexpr std::chrono::milliseconds AnnouncementTimeout{1000};
    // A request is rejected, or the response breaks off, after this number of bytes.
    static constexpr std::size_t PartBytes = std::size_t{48} << 10U;
    // Pause within slow responses and before the body is read after an early response.
    static constexpr Millis Pause{60};
    // A closed connection is read for this long, so that unread bytes do not reset it.
    static constexpr std::chrono::milliseconds LingerTime{1500};

    // One request while it is handled.
    struct Exchange {
        beast::tcp_stream &stream_;
        beast::flat_buffer &buffer_;
        http::request_parser<http::string_body> parser_{};
        std::string id_{};
        Observation *observation_ = nullptr;
        Millis deadline_{};
    };

    using Handler = Task<bool> (SoakServer::*)(Exchange &);

    Task<> sleep(Millis duration)
    {
        asio::steady_timer timer(context_, toChrono(duration));
        co_await timer.async_wait(asio::use_awaitable);
    }

    // Returns a header field as a number; zero when it is absent.
    static std::int64_t numericField(const Exchange &exchange, std::string_view name)
    {
        const auto field = exchange.parser_.get()[name];
        std::int64_t number = 0;
        std::from_chars(field.data(), field.data() + field.size(), number);
        return number;
    }

    Task<> announceRepeatedly()
    {
        for (int sequence = 1;; ++sequence) {
            const boost::json::object info{{"service", settings_.service_}, {"version", "v1"}, {"zone", "a"}, {"slots", Slots}};
            const boost::json::object status{{"state", "ready"}, {"sequence", sequence}, {"coldRemainingS", 0}};
            const boost::json::object body{{"address", toText(settings_.listen_)}, {"born", born_}, {"info", info}, {"status", status}};
            const HttpRequest request = makeRequest(http::verb::post, "/Instances.Heartbeat/" + id(), boost::json::serialize(body));
            co_await sendHttpRequest(context_, settings_.control_, request, AnnouncementTimeout);
            co_await sleep(AnnouncementInterval);
        }
    }

    Task<> acceptConnections()
    {
        for (;;) {
            tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
            socket.set_option(tcp::no_delay(true));
            asio::co_spawn(context_, serveConnection(std::move(socket)), asio::detached);
        }
    }

    // Serves one connection, and reads what still arrives after its end.
    Task<> serveConnection(tcp::socket socket)
    {
        beast::tcp_stream stream(std::move(socket));
        beast::flat_buffer buffer;
        while (co_await serveRequest(stream, buffer)) { }
        error_code errorCode;
        stream.socket().shutdown(tcp::socket::shutdown_send, errorCode);
        stream.expires_after(LingerTime);
        while (!errorCode) {
            buffer.clear();
            co_await stream.async_read_some(buffer.prepare(PartBytes), asio::redirect_error(asio::use_awaitable, errorCode));
        }
    }

    // Serves one request. False when the connection must end.
    Task<bool> serveRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer)
    {
        Exchange exchange{stream, buffer};
        exchange.parser_.body_limit(boost::none);
        error_code errorCode;
        co_await http::async_read_header(stream, buffer, exchange.parser_, asio::redirect_error(asio::use_awaitable, errorCode));
        if (errorCode) {
            co_return false;
        }
        const auto &request = exchange.parser_.get();
        if (request.target() == "/health") {
            co_return co_await respond(exchange, 200, "Instance-Id: " + id() + "\r\n", "");
        }
        exchange.id_ = std::string(request["Attempt-Id"]);
        exchange.deadline_ = WorldRunner::now() + Millis(numericField(exchange, "Deadline-Ms"));
        exchange.observation_ = ledger_.find(exchange.id_);
        const bool isForOther = request.count("Expect-Instance") > 0 && request["Expect-Instance"] != id();
        if (exchange.observation_ != nullptr) {
            const Observation &observation = *exchange.observation_;
            ledger_.notices_.requests_.push_back(
                ArrivedRequest{exchange.id_, observation.request_.daemon_, id(), observation.startedAt_, WorldRunner::now(), isForOther});
        }
        if (exchange.observation_ == nullptr || isForOther) {
            const bool isDone = co_await readBody(exchange);
            if (!isDone) {
                co_return false;
            }
            co_return co_await respond(exchange, 421, "", "");
        }
        exchange.observation_->request_.isPassedOn_ = true;
        co_return co_await handle(exchange);
    }

    // Handles a request in the way that it names.
    Task<bool> handle(Exchange &exchange)
    {
        static constexpr std::array<Handler, ServerActCount> Handlers{
            &SoakServer::work,       &SoakServer::respondFirst,  &SoakServer::reject,   &SoakServer::rejectAndClose,
            &SoakServer::omitLength, &SoakServer::respondSlowly, &SoakServer::breakOff,
        };
        co_return co_await (this->*Handlers.at(static_cast<std::size_t>(numericField(exchange, "X-Act"))))(exchange);
    }

    Task<bool> work(Exchange &exchange)
    {
        const bool isDone = co_await run(exchange);
        if (!isDone) {
            co_return false;
        }
        co_return co_await respond(exchange, lastStatus(exchange), signature(exchange), answer(exchange));
    }

    Task<bool> respondFirst(Exchange &exchange)
    {
        startRun(exchange);
        endRun(exchange);
        const bool isWritten = co_await respond(exchange, 200, signature(exchange), answer(exchange));
        co_await sleep(Pause);
        if (!isWritten) {
            co_return false;
        }
        co_return co_await readBody(exchange);
    }

    Task<bool> reject(Exchange &exchange)
    {
        co_await readPart(exchange);
        const bool isDone = co_await respond(exchange, 503, "Not-Executed: 1\r\n", "");
        if (!isDone) {
            co_return false;
        }
        co_return co_await readBody(exchange);
    }

    Task<bool> rejectAndClose(Exchange &exchange)
    {
        co_await readPart(exchange);
        co_await respond(exchange, 503, "Not-Executed: 1\r\nConnection: close\r\n", "");
        co_return false;
    }

    Task<bool> omitLength(Exchange &exchange)
    {
        if (co_await run(exchange)) {
            const std::string bytes = head(exchange, lastStatus(exchange), signature(exchange)) + "Connection: close\r\n\r\n" + answer(exchange);
            co_await writeInParts(exchange, bytes, Millis(1));
        }
        co_return false;
    }

    Task<bool> respondSlowly(Exchange &exchange)
    {
        const bool isDone = co_await run(exchange);
        if (!isDone) {
            co_return false;
        }
        const std::string body = answer(exchange);
        co_return co_await writeInParts(exchange, head(exchange, lastStatus(exchange), signature(exchange)) + length(body) + body, Pause);
    }

    Task<bool> breakOff(Exchange &exchange)
    {
        if (co_await run(exchange)) {
            exchange.observation_->request_.serverBrokeOff_ = true;
            const std::string body = answer(exchange);
            const std::string bytes = head(exchange, lastStatus(exchange), signature(exchange)) + length(body) + body;
            co_await writeInParts(exchange, bytes.substr(0, bytes.size() - 1), Millis(1));
        }
        co_return false;
    }

    // Reads the body, waits for a slot and works. False when the connection has ended or the request was rejected.
    Task<bool> run(Exchange &exchange)
    {
        const bool isDone = co_await readBody(exchange);
        if (!isDone) {
            co_return false;
        }
        const bool isFull = running_ >= Slots && queued_ >= QueueLimit;
        ++queued_;
        while (!isFull && running_ >= Slots) {
            co_await slotFree_.wait();
        }
        --queued_;
        if (isFull || WorldRunner::now() >= exchange.deadline_) {
            co_await respond(exchange, 503, "Not-Executed: 1\r\nConnection: close\r\n", "");
            co_return false;
        }
        ++running_;
        startRun(exchange);
        const Millis workEnd = WorldRunner::now() + Millis(numericField(exchange, "X-Work-Ms"));
        co_await sleep(std::min(workEnd, exchange.deadline_) - WorldRunner::now());
        --running_;
        slotFree_.notify();
        endRun(exchange);
        co_return true;
    }

    static void startRun(Exchange &exchange)
    {
        ++exchange.observation_->runs_;
        exchange.observation_->request_.runStartedAt_ = WorldRunner::now();
        exchange.observation_->request_.runEndedAt_ = Millis::never();
    }

    void endRun(Exchange &exchange)
    {
        exchange.observation_->request_.runEndedAt_ = WorldRunner::now();
        ledger_.notify(exchange.observation_->request_.daemon_, Moment::ServerResponds);
    }

    // Status of a response after the work: 504 when it took all the time.
    static unsigned lastStatus(const Exchange &exchange)
    {
        return WorldRunner::now() < exchange.deadline_ ? 200 : 504;
    }

    static std::string signature(const Exchange &exchange)
    {
        return "Response-Signature: signature-" + exchange.id_ + "\r\n";
    }

    // Body of a response: the id, and further bytes up to the size that the request names.
    static std::string answer(const Exchange &exchange)
    {
        std::string body = exchange.id_;
        body.resize(std::max<std::size_t>(body.size(), static_cast<std::size_t>(numericField(exchange, "X-Answer-Bytes"))), '.');
        return body;
    }

    // Head of a response without its length and its end.
    [[nodiscard]] std::string head(const Exchange &exchange, unsigned status, const std::string &fields) const
    {
        const std::string load = std::to_string(running_) + "," + std::to_string(queued_) + "," + std::to_string(Slots) + ",100";
        const std::string id = exchange.id_.empty() ? "" : "Attempt-Id: " + exchange.id_ + "\r\n";
        return "HTTP/1.1 " + std::to_string(status) + " S\r\nServer-Load: " + load + "\r\n" + notice() + id + fields;
    }

    // Id of the current start.
    [[nodiscard]] std::string id() const
    {
        return settings_.id_ + (starts_ == 0 ? "" : "-" + std::to_string(starts_));
    }

    static std::int64_t currentMillis()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    void recordNotice()
    {
        ledger_.notices_.notices_.push_back(NoticeRecord{id(), WorldRunner::now(), limit_ >= 0, limit_, isLeaving_});
    }

    // Fields about the server itself.
    [[nodiscard]] std::string notice() const
    {
        const std::string limit = limit_ < 0 ? "" : "Server-Limit: " + std::to_string(limit_) + "\r\n";
        return "X-Server: " + id() + "\r\n" + limit + (isLeaving_ ? "Server-Leaving: 1\r\n" : "");
    }

    static std::string length(const std::string &body)
    {
        return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    }

    Task<bool> respond(Exchange &exchange, unsigned status, std::string fields, std::string body)
    {
        const std::string bytes = head(exchange, status, fields) + length(body) + body;
        co_return co_await writeInParts(exchange, bytes, Millis());
    }

    // Writes bytes with pauses between parts; without a pause, at once. False when the connection has ended.
    Task<bool> writeInParts(Exchange &exchange, std::string bytes, Millis pause)
    {
        error_code errorCode;
        const std::size_t step = pause > Millis() ? PartBytes : bytes.size();
        for (std::size_t at = 0; at < bytes.size() && !errorCode; at += step) {
            const std::size_t size = std::min(step, bytes.size() - at);
            co_await asio::async_write(exchange.stream_, asio::buffer(bytes.data() + at, size), asio::redirect_error(asio::use_awaitable, errorCode));
            co_await sleep(pause);
        }
        co_return !errorCode;
    }

    // Reads the rest of the body. False when the connection has ended.
    Task<bool> readBody(Exchange &exchange)
    {
        error_code errorCode;
        if (!exchange.parser_.is_done()) {
            co_await http::async_read(exchange.stream_, exchange.buffer_, exchange.parser_, asio::redirect_error(asio::use_awaitable, errorCode));
        }
        co_return !errorCode;
    }

    // Reads the first bytes of the body.
    Task<> readPart(Exchange &exchange)
    {
        error_code errorCode;
        while (!errorCode && !exchange.parser_.is_done() && exchange.parser_.get().body().size() < PartBytes) {
            co_await http::async_read_some(exchange.stream_, exchange.buffer_, exchange.parser_, asio::redirect_error(asio::use_awaitable, errorCode));
        }
    }

    asio::io_context &context_;
    SoakLedger &ledger_;
    SoakServerOptions settings_;
    tcp::acceptor acceptor_;
    AsyncCondition slotFree_;
    int running_ = 0;
    int queued_ = 0;
    // Number of starts before the current one, and the time of the current one in milliseconds since the Unix epoch.
    int starts_ = 0;
    std::int64_t born_ = currentMillis();
    // Stated limit in requests per second; negative when there is none.
    double limit_ = -1;
    bool isLeaving_ = false;
};

} // namespace radishford
