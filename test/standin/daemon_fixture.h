// Test fixture: one daemon of a routed deployment on loopback, with a fake store, a scripted backend server and callers.
#pragma once

#include "daemon/daemon.h"
#include "fake/routed_fleet.h"
#include "platform/adapters.h"
#include "standin/daemon_process.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>

#include <unistd.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishford {

// What the scripted backend server does with the connection after its response.
enum class AfterResponse : std::uint8_t {
    KeepOpen, // The connection stays open.
    Close, // The connection is closed with a FIN.
    Reset, // The connection is closed with a RST.
};

// What the scripted backend server does with one request.
struct ScriptedResponse {
    // Bytes to send at once, or none to send no response; "{id}" is replaced by the request's Attempt-Id.
    std::string bytes_{};
    // Bytes to send after lateDelay_.
    std::string lateBytes_{};
    AfterResponse afterResponse_ = AfterResponse::KeepOpen;
    // True when the response is sent before the body is read.
    bool respondsBeforeBody_ = false;
    // Bytes to send last, again and again until the daemon closes the connection.
    std::string repeatedBytes_{};
    // Pause between two repetitions.
    Millis repeatInterval_{};
    Millis lateDelay_{20};
    // Pause before the body is read.
    Millis bodyReadDelay_{};
    // Pause before a response that is sent before the body is read.
    Millis earlyDelay_{};
    // True when the connection is closed or reset, as afterResponse_ says, before the body is read.
    bool endsBeforeBody_ = false;
};

// A request as the scripted backend server received it.
struct ReceivedRequest {
    http::request<http::string_body> message_;
    // Number of the connection that it arrived on, from 1.
    int connection_ = 0;
    Millis receivedAt_{};
    // Only set for a request without a scripted response or with an endless one: true once the daemon closed the connection or, if there was no
    // response, sent further bytes on it.
    bool cancelled_ = false;
    // Bytes of ScriptedResponse::repeatedBytes_ sent so far.
    std::uint64_t repeatedBytesSent_ = 0;
    // Time from the receipt of the request until cancelled_ was set, for an endless response.
    Millis openTime_{};
};

// What a caller received.
struct CallerResponse {
    // True when the response was complete by its own framing.
    bool complete_ = false;
    unsigned status_ = 0;
    std::string body_;
    std::string retryAfter_;
    std::string contentLength_;
    // True when the daemon closed or reset the connection after the response.
    bool closed_ = false;
    std::string trailingBytes_;
    Millis duration_;
};

// The desired state in the store: the routes /r/ of type "safe", /w/ of type "unsafe" and /u/ of type "upload" of one service.
inline std::string desiredStateJson()
{
    return R"({"version":"r3","routes":{"columns":["name","host","prefix","routeType","timeoutS","targetLatencyS","priority","service","maxAttempts"],
"rows":[["r","desk.example","/r/","safe",1.2,0.3,2,"booking",2],["w","desk.example","/w/","unsafe",1.2,0.3,1,"booking",2],
["u","desk.example","/u/","upload",3,0.5,1,"booking",2]]},"services":{"columns":["name","healthPath"],"rows":[["booking","/health"]]},
"limits":{"maxHeaderBytes":8192,"maxBodyBytes":4000000,"headerTimeoutS":2,"idleTimeoutS":5}})";
}

// Which one of several daemons of a test a fixture runs.
struct FixturePlace {
    std::string name_ = "live";
    // Number of the daemon's loopback address, from zero.
    std::uint32_t number_ = 0;
    // Addresses of other daemons.
    std::vector<Address> seeds_{};
};

// One daemon, its store and its backend server on one io_context, or the daemon in a process of its own. A test drives it with runUntil().
class DaemonFixture
{
public:
    // Starts the daemon and waits until its backend server is ready. A rate of zero means no health checks.
    explicit DaemonFixture(double checksPerSecond = 0, std::string memberRows = {}, const FixturePlace &place = {})
        : memberRows_(std::move(memberRows))
        , address_(loopbackAddress(place.number_))
        , store_(context_, Address{address_, StorePort}, [this](const HttpRequest &request) { return respondToStoreRequest(request); })
        , backend_(context_, toEndpoint<tcp>(Address{address_, BackendPort}))
        , daemon_(std::make_unique<Daemon>(context_, settings(checksPerSecond, place), platform::httpAdapters(), Seed))
    {
        startStandIns();
        daemon_->start();
        announce("ready", 1);
        runUntil([this]() { return daemon_->worldRunner().world().tickets_.isCurrent_ && isBackendReady(); });
    }

    // Starts the program radishfordd as a process of its own. With isStoreUp, waits until its backend server is ready.
    explicit DaemonFixture(const std::string &program, double graceSeconds = 6, bool isStoreUp = true, int checksPerSecond = 0)
        : storeResponds_(isStoreUp)
        , checksPerSecond_(checksPerSecond)
        , address_(loopbackAddress())
        , process_(std::make_unique<DaemonProcess>(program, settingsText(graceSeconds)))
        , store_(context_, Address{address_, StorePort}, [this](const HttpRequest &request) { return respondToStoreRequest(request); })
        , backend_(context_, toEndpoint<tcp>(Address{address_, BackendPort}))
    {
        startStandIns();
        if (!runUntil([this]() { return process_->hasLogged("started in"); })) {
            throw std::runtime_error("the daemon has not started: " + process_->log());
        }
        announce("ready", 1);
        if (isStoreUp) {
            asio::co_spawn(context_, awaitReady(), asio::detached);
            runUntil([this]() { return isReady_; });
        }
    }

    // Runs until a condition holds or the timeout expires. Returns whether the condition holds.
    bool runUntil(const std::function<bool()> &condition, Millis timeout = Millis(4000))
    {
        const Millis end = WorldRunner::now() + timeout;
        while (!condition() && WorldRunner::now() < end) {
            context_.restart();
            context_.run_for(std::chrono::milliseconds(2));
        }
        return condition();
    }

    // Runs for a fixed duration.
    void runFor(Millis duration)
    {
        runUntil([]() { return false; }, duration);
    }

    // Sends raw bytes as a caller and reads one response, then waits up to trailingTime for further bytes. The response to a HEAD request has no body.
    CallerResponse send(const std::string &bytes, Millis trailingTime = Millis(50), bool isHeadRequest = false)
    {
        const auto response = std::make_shared<std::optional<CallerResponse>>();
        asio::co_spawn(context_, runCall(bytes, trailingTime, isHeadRequest, response), asio::detached);
        runUntil([&]() { return response->has_value(); });
        return response->value_or(CallerResponse{});
    }

    // Sends a well-formed request with a new Attempt-Id.
    CallerResponse request(const std::string &method, const std::string &target, const std::string &body = {}, Millis timeLimit = Millis(1200),
                           Millis trailingTime = Millis(50))
    {
        const std::string id = "id" + std::to_string(++lastId_);
        std::string bytes
            = method + " " + target + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(timeLimit.count()) + "\r\n";
        bytes += body.empty() ? std::string() : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        return send(bytes + "\r\n" + body, trailingTime);
    }

    // Connects as a caller, sends bytes, and disconnects after a time.
    void sendAndDisconnect(const std::string &bytes, Millis after)
    {
        const auto socket = std::make_shared<tcp::socket>(context_);
        socket->connect(toEndpoint<tcp>(Address{address_, CallerPort}));
        asio::write(*socket, asio::buffer(bytes));
        runFor(after);
        socket->close();
    }

    // Sends an announcement of the backend server to the daemon, which ignores one whose sequence number is not higher than the latest.
    void announce(const std::string &state, int sequence)
    {
        const std::string body = R"({"address":")" + toText(Address{address_, BackendPort})
            + R"(","born":1700000000000,"info":{"service":"booking","version":"v1","zone":"a","slots":)" + std::to_string(slots_) + R"(},"status":{"state":")"
            + state + R"(","sequence":)" + std::to_string(sequence) + R"(,"coldRemainingS":0}})";
        const HttpRequest request = makeRequest(http::verb::post, "/Instances.Heartbeat/i-1", body);
        asio::co_spawn(context_, sendHttpRequest(context_, Address{address_, AnnouncePort}, request, std::chrono::milliseconds(1000)), asio::detached);
    }

    // Sends bytes to the port for announcements, the last ones again and again. Returns the time until the daemon closes the connection; a maximum
    // of 2 s.
    Millis sendAnnouncementWithoutEnd(const std::string &start, const std::string &repeated, Millis interval)
    {
        tcp::socket socket(context_);
        const Millis startedAt = WorldRunner::now();
        error_code errorCode;
        socket.connect(toEndpoint<tcp>(Address{address_, AnnouncePort}));
        asio::write(socket, asio::buffer(start));
        while (!errorCode && WorldRunner::now() - startedAt < Millis(2000)) {
            asio::write(socket, asio::buffer(repeated), errorCode);
            runFor(interval);
        }
        return WorldRunner::now() - startedAt;
    }

    // Makes the backend server's sockets take little of a body that it does not read.
    void limitBackendBuffers()
    {
        constexpr int BufferBytes = 4096;
        backend_.set_option(asio::socket_base::receive_buffer_size(BufferBytes));
    }

    Daemon &daemon()
    {
        return *daemon_;
    }

    DaemonProcess &process()
    {
        return *process_;
    }

    asio::io_context &context()
    {
        return context_;
    }

    // Address on which the daemon accepts callers.
    [[nodiscard]] Address callerAddress() const
    {
        return Address{address_, CallerPort};
    }

    // Address on which the daemon accepts exchanges of other daemons.
    [[nodiscard]] Address exchangeAddress() const
    {
        return Address{address_, DaemonPort};
    }

    // Returns the status page of a daemon in a process of its own; empty when it does not respond.
    std::string statusPage()
    {
        const auto page = std::make_shared<std::optional<std::string>>();
        asio::co_spawn(
            context_, [this, page]() -> Task<> { *page = co_await fetchStatusPage(); }, asio::detached);
        runUntil([&]() { return page->has_value(); });
        return page->value_or("");
    }

    // Settings of a daemon in a process of its own, in the platform's format.
    [[nodiscard]] std::string settingsText(double graceSeconds) const
    {
        const auto text = [this](std::uint16_t port) { return "\"" + toText(Address{address_, port}) + "\""; };
        const std::string ip = toText(Address{address_, 0});
        return R"({"nodeName":"live","zone":"a","zones":{"a":"r"},"seeds":[],"service":"booking","heartbeatS":1.5,"ip":")" + ip.substr(0, ip.find(':'))
            + R"(","portRange":[)" + std::to_string(DaemonPort) + "," + std::to_string(DaemonPort) + R"(],"appAddr":)" + text(BackendPort)
            + R"(,"listenAddrs":{"outbound":)" + text(CallerPort) + R"(,"control":)" + text(AnnouncePort) + R"(,"ready":)" + text(AdminPort)
            + R"(},"platform":{"address":)" + text(StorePort) + R"(},"bounds":["graceS=)" + std::to_string(graceSeconds)
            + R"(","retryBudgetRatio=0.2","retryBudgetSlack=64","probesPerS=)" + std::to_string(checksPerSecond_) + R"("]})";
    }

    // Responses of the backend server, in order. Once they are used up, it sends complete matching responses.
    std::deque<ScriptedResponse> scriptedResponses_;
    // Header fields of the responses that are not scripted, also of those to health checks.
    std::string backendFields_;
    // Responses to the requests with these ids, which precede the others.
    std::map<std::string, ScriptedResponse> responsesById_;
    std::vector<ReceivedRequest> receivedRequests_;
    // Number of connections that the backend server accepted.
    int backendConnections_ = 0;
    // The backend server resets a connection when a request arrives after a longer idle time than this.
    Millis maxAcceptedIdleTime_ = Millis::never();
    // Callers pause this long between the header and the body of a request.
    Millis bodyDelay_;
    // Rows of the store's list of daemons, as JSON objects joined by commas, and how often the daemon has read them.
    std::string memberRows_;
    int memberListReads_ = 0;
    // While false, the store delays every response by 20 s.
    bool storeResponds_ = true;
    // Number of spaces that follow the JSON of each response of the store.
    std::size_t storePadding_ = 0;
    // Slots that the backend server announces.
    int slots_ = 4;

private:
    static constexpr std::uint16_t DaemonPort = 7401;
    static constexpr std::uint16_t CallerPort = 7402;
    static constexpr std::uint16_t AnnouncePort = 7403;
    static constexpr std::uint16_t AdminPort = 7404;
    static constexpr std::uint16_t StorePort = 7405;
    static constexpr std::uint16_t BackendPort = 7406;
    static constexpr std::uint64_t Seed = 5;

    // A loopback address derived from the process id, so that tests can run in parallel.
    static std::uint32_t loopbackAddress(std::uint32_t number = 0)
    {
        constexpr std::uint32_t Loopback = 127U << 24U;
        const std::uint32_t secondOctet = (64U + number) << 16U;
        constexpr std::uint32_t ProcessIdMask = 0xFFFF;
        return Loopback | secondOctet | (static_cast<std::uint32_t>(getpid()) & ProcessIdMask);
    }

    DaemonSettings settings(double checksPerSecond, const FixturePlace &place) const
    {
        DaemonSettings settings;
        settings.world_ = routedSettings();
        settings.world_.name_ = InstanceName(place.name_);
        settings.world_.seeds_ = place.seeds_;
        settings.world_.places_ = {Place{"a", "r"}};
        settings.world_.failureDomain_ = "a";
        settings.world_.address_ = Address{address_, DaemonPort};
        settings.world_.adminAddress_ = Address{address_, AdminPort};
        settings.world_.backendService_ = ServiceName("booking");
        settings.world_.backendAddress_ = Address{address_, BackendPort};
        settings.world_.backendChecksPerSecond_ = checksPerSecond;
        settings.world_.incarnation_ = Incarnation(1);
        settings.callerAddress_ = Address{address_, CallerPort};
        settings.announcementAddress_ = Address{address_, AnnouncePort};
        settings.storeAddress_ = Address{address_, StorePort};
        return settings;
    }

    // Starts the store and the backend server.
    void startStandIns()
    {
        store_.start();
        asio::co_spawn(context_, acceptBackendConnections(), asio::detached);
    }

    Task<std::string> fetchStatusPage()
    {
        const HttpRequest request = makeRequest(http::verb::get, "/status");
        const auto response = co_await sendHttpRequest(context_, Address{address_, AdminPort}, request, std::chrono::seconds(1));
        co_return response ? response->body() : std::string();
    }

    // Polls the status page of the daemon's process until it serves and its backend server is ready.
    Task<> awaitReady()
    {
        asio::steady_timer timer(context_);
        while (!isReady_) {
            const std::string page = co_await fetchStatusPage();
            isReady_ = page.find(R"("current":true)") != std::string::npos && page.find(R"("backend":"ready")") != std::string::npos;
            timer.expires_after(std::chrono::milliseconds(20));
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    bool isBackendReady()
    {
        return daemon_->worldRunner().world().admissions_.backend_.state_ == BackendState::Ready;
    }

public:
    static std::string base64(const std::string &bytes)
    {
        namespace iterators = boost::archive::iterators;
        using Base64Iterator = iterators::base64_from_binary<iterators::transform_width<std::string::const_iterator, 6, 8>>;
        std::string text(Base64Iterator(bytes.begin()), Base64Iterator(bytes.end()));
        text.append((4 - text.size() % 4) % 4, '=');
        return text;
    }

    // Sends a heartbeat with any body. Returns the status of the response; zero when there is none.
    unsigned announceRaw(const std::string &body)
    {
        const auto status = std::make_shared<std::optional<unsigned>>();
        const HttpRequest request = makeRequest(http::verb::post, "/Instances.Heartbeat/i-1", body);
        asio::co_spawn(
            context_,
            [this, request, status]() -> Task<> {
                const Address address{address_, AnnouncePort};
                const auto response = co_await sendHttpRequest(context_, address, request, std::chrono::milliseconds(1000));
                *status = response ? response->result_int() : 0;
            },
            asio::detached);
        runUntil([&]() { return status->has_value(); });
        return status->value_or(0);
    }

private:
    // Responds to the daemon's requests to the store. Delays the response by 20 s while storeResponds_ is false, and always to a request for the feed.
    Task<HttpResponse> respondToStoreRequest(const HttpRequest &request)
    {
        const std::string target(request.target());
        const bool isDelayed = !storeResponds_ || target.starts_with("/rows-feed");
        if (isDelayed) {
            asio::steady_timer timer(context_, std::chrono::seconds(20));
            co_await timer.async_wait(asio::use_awaitable);
        }
        const std::string config = R"({"table":"op","part":"","key":"config","value":")" + base64(desiredStateJson()) + R"(","ver":4})";
        const bool isConfigRequest = target.starts_with("/rows-get?table=op");
        const bool isMemberRequest = target.starts_with("/rows-get?table=daemons");
        const std::string rows = isConfigRequest ? config : isMemberRequest ? memberRows_ : std::string();
        memberListReads_ += isMemberRequest ? 1 : 0;
        co_return makeResponse(200, "application/json", R"({"rows":[)" + rows + R"(],"hasMore":false,"ver":4,"nowS":1})" + std::string(storePadding_, ' '));
    }

    Task<> acceptBackendConnections()
    {
        for (;;) {
            tcp::socket socket = co_await backend_.async_accept(asio::use_awaitable);
            asio::co_spawn(context_, serveBackend(std::move(socket), ++backendConnections_), asio::detached);
        }
    }

    // Takes the scripted response to a request with this id, or the next one.
    ScriptedResponse nextResponse(const std::string &id)
    {
        const auto found = responsesById_.find(id);
        if (found != responsesById_.end()) {
            return found->second;
        }
        if (scriptedResponses_.empty()) {
            return ScriptedResponse{matchingResponse("whole", backendFields_), {}, AfterResponse::KeepOpen, false, {}, {}, Millis()};
        }
        ScriptedResponse response = scriptedResponses_.front();
        scriptedResponses_.pop_front();
        return response;
    }

    Task<> serveBackend(tcp::socket socket, int connection)
    {
        beast::flat_buffer buffer;
        error_code errorCode;
        while (!errorCode) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(boost::none);
            const Millis idleSince = WorldRunner::now();
            co_await http::async_read_header(socket, buffer, parser, asio::redirect_error(asio::use_awaitable, errorCode));
            if (errorCode) {
                break;
            }
            if (WorldRunner::now() - idleSince > maxAcceptedIdleTime_) {
                socket.set_option(asio::socket_base::linger(true, 0), errorCode);
                socket.close(errorCode);
                co_return;
            }
            const ScriptedResponse response = nextResponse(std::string(parser.get()["Attempt-Id"]));
            const std::size_t number = receivedRequests_.size();
            const Millis receivedAt = WorldRunner::now();
            receivedRequests_.push_back(ReceivedRequest{parser.get(), connection, receivedAt, false, 0, {}});
            if (response.earlyDelay_ > Millis()) {
                asio::steady_timer timer(context_, toChrono(response.earlyDelay_));
                co_await timer.async_wait(asio::use_awaitable);
            }
            if (response.respondsBeforeBody_) {
                co_await asio::async_write(socket, asio::buffer(insertAttemptId(response.bytes_, number)),
                                           asio::redirect_error(asio::use_awaitable, errorCode));
            }
            if (response.bodyReadDelay_ > Millis()) {
                asio::steady_timer timer(context_, toChrono(response.bodyReadDelay_));
                co_await timer.async_wait(asio::use_awaitable);
            }
            if (response.endsBeforeBody_) {
                endConnection(socket, response.afterResponse_);
                co_return;
            }
            co_await http::async_read(socket, buffer, parser, asio::redirect_error(asio::use_awaitable, errorCode));
            receivedRequests_[number].message_ = parser.get();
            if (!errorCode && !response.respondsBeforeBody_) {
                co_await asio::async_write(socket, asio::buffer(insertAttemptId(response.bytes_, number)),
                                           asio::redirect_error(asio::use_awaitable, errorCode));
            }
            if (!errorCode && !response.lateBytes_.empty()) {
                asio::steady_timer timer(context_, toChrono(response.lateDelay_));
                co_await timer.async_wait(asio::use_awaitable);
                co_await asio::async_write(socket, asio::buffer(insertAttemptId(response.lateBytes_, number)),
                                           asio::redirect_error(asio::use_awaitable, errorCode));
            }
            const std::string repeatedBytes = insertAttemptId(response.repeatedBytes_, number);
            while (!errorCode && !repeatedBytes.empty()) {
                co_await asio::async_write(socket, asio::buffer(repeatedBytes), asio::redirect_error(asio::use_awaitable, errorCode));
                receivedRequests_[number].repeatedBytesSent_ += response.repeatedBytes_.size();
                receivedRequests_[number].cancelled_ = static_cast<bool>(errorCode);
                receivedRequests_[number].openTime_ = WorldRunner::now() - receivedAt;
                asio::steady_timer timer(context_, toChrono(response.repeatInterval_));
                co_await timer.async_wait(asio::use_awaitable);
            }
            if (response.afterResponse_ != AfterResponse::KeepOpen) {
                endConnection(socket, response.afterResponse_);
                co_return;
            }
            if (!errorCode && response.bytes_.empty()) {
                char byte = 0;
                co_await socket.async_receive(asio::buffer(&byte, 1), asio::redirect_error(asio::use_awaitable, errorCode));
                receivedRequests_[number].cancelled_ = true;
            }
        }
    }

    // Closes or resets a connection of the backend server.
    static void endConnection(tcp::socket &socket, AfterResponse kind)
    {
        error_code ignored;
        if (kind == AfterResponse::Reset) {
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        // Closed here, since the linger option has no effect on a socket that is destroyed while open.
        socket.close(ignored);
    }

    // Replaces "{id}" in a response by the request's Attempt-Id.
    std::string insertAttemptId(std::string text, std::size_t number) const
    {
        const std::string id(receivedRequests_[number].message_["Attempt-Id"]);
        for (std::size_t at = text.find("{id}"); at != std::string::npos; at = text.find("{id}")) {
            text.replace(at, 4, id);
        }
        return text;
    }

    Task<> runCall(std::string bytes, Millis trailingTime, bool isHeadRequest, std::shared_ptr<std::optional<CallerResponse>> response)
    {
        const Millis start = WorldRunner::now();
        CallerResponse result;
        beast::tcp_stream stream(context_);
        error_code errorCode;
        co_await stream.async_connect(toEndpoint<tcp>(Address{address_, CallerPort}), asio::redirect_error(asio::use_awaitable, errorCode));
        const std::size_t headLength = bodyDelay_ > Millis() ? bytes.find("\r\n\r\n") + 4 : 0;
        co_await asio::async_write(stream, asio::buffer(bytes.data(), headLength), asio::redirect_error(asio::use_awaitable, errorCode));
        asio::steady_timer timer(context_, toChrono(bodyDelay_));
        co_await timer.async_wait(asio::use_awaitable);
        co_await asio::async_write(stream, asio::buffer(bytes) + headLength, asio::redirect_error(asio::use_awaitable, errorCode));
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.skip(isHeadRequest);
        stream.expires_after(std::chrono::milliseconds(3500));
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, errorCode));
        result.duration_ = WorldRunner::now() - start;
        result.complete_ = !errorCode && parser.is_done();
        result.status_ = parser.is_header_done() ? parser.get().result_int() : 0;
        result.body_ = parser.get().body();
        result.retryAfter_ = std::string(parser.get()[http::field::retry_after]);
        result.contentLength_ = std::string(parser.get()[http::field::content_length]);
        stream.expires_after(toChrono(trailingTime));
        std::string trailing(1024, '\0');
        const std::size_t bytesRead = co_await stream.async_read_some(asio::buffer(trailing), asio::redirect_error(asio::use_awaitable, errorCode));
        result.closed_ = errorCode == asio::error::eof || errorCode == asio::error::connection_reset;
        result.trailingBytes_ = std::string(static_cast<const char *>(buffer.data().data()), buffer.size()) + trailing.substr(0, bytesRead);
        *response = result;
    }

public:
    // A complete response that matches the request, with signature and length, and with further header fields.
    static std::string matchingResponse(const std::string &body, const std::string &fields = {})
    {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: s\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    }

private:
    int checksPerSecond_ = 0;
    asio::io_context context_;
    std::uint32_t address_;
    // Only for a daemon in a process of its own. Its process starts before the sockets below are opened, since it inherits open descriptors.
    std::unique_ptr<DaemonProcess> process_;
    bool isReady_ = false;
    HttpServer store_;
    tcp::acceptor backend_;
    // Only for a daemon on this io_context.
    std::unique_ptr<Daemon> daemon_;
    int lastId_ = 0;
};

} // namespace radishford
