// Takes calls over HTTP from callers.
#include "net/caller_server.h"

#include "call/call_func.h"
#include "core/hash.h"
#include "net/accept_loop.h"
#include "net/trace_context.h"

#include <charconv>
#include <random>

namespace radishford {

namespace {

// A caller must send the next request's whole header within this time, or an idle connection is closed.
constexpr std::chrono::seconds HeaderTimeout(30);
// Bodies up to this size are read before the call starts, follow the offer, and can be sent again.
constexpr std::uint64_t RideBytes = std::uint64_t{64} << 10U;

// A random number for trace ids.
std::uint64_t drawBits()
{
    thread_local std::mt19937_64 engine{std::random_device{}()};
    return engine();
}

// The service a request is for: its own header field, or the first label of the host.
ServiceName serviceOf(const CallerRequest::Parser &parser)
{
    const auto own = parser.get()["Radishford-Service"];
    if (!own.empty()) {
        return ServiceName(std::string(own));
    }
    const std::string host(parser.get()[http::field::host]);
    return ServiceName(host.substr(0, host.find_first_of(".:")));
}

// The path of a target, without its query.
std::string pathOf(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

// The time a caller gives, or zero.
Millis timeoutOf(const CallerRequest::Parser &parser)
{
    const std::string field(parser.get()["Radishford-Deadline-Ms"]);
    std::int64_t milliseconds = 0;
    std::from_chars(field.data(), field.data() + field.size(), milliseconds);
    return Millis(std::max<std::int64_t>(0, milliseconds));
}

// Hash of a request's method, target and body; of a streamed body, its length.
Fingerprint fingerprintOf(const RequestHead &head, const CallerRequest &request)
{
    const std::uint64_t line = hashBytes(head.method_ + " " + head.target_);
    const std::string length = std::to_string(head.length_);
    return Fingerprint(hashBytes(request.isBuffered() ? std::string_view(request.bufferedBody()) : std::string_view(length), line));
}

// Builds the event of a call.
CallArrived makeEvent(const CallerRequest &request, const CallerRequest::Parser &parser, const ServiceName &service, const ClassName &className)
{
    CallArrived event;
    event.handle_ = request.handle();
    event.service_ = service;
    event.class_ = className;
    event.replayable_ = request.isBuffered();
    event.mayRide_ = request.isBuffered() && request.bufferedBody().size() <= RideBytes;
    event.fingerprint_ = fingerprintOf(request.head(), request);
    event.key_ = std::string(parser.get()["Idempotency-Key"]);
    event.timeout_ = timeoutOf(parser);
    const TraceContext context = readTraceParent(parser.get()["traceparent"], drawBits(), drawBits());
    event.trace_ = context.trace_;
    event.parentSpan_ = context.parent_;
    return event;
}

} // namespace

CallerServer::CallerServer(Engine &engine, const Address &address, const CallerLimits &limits)
    : engine_(engine)
    , acceptor_(engine.context(), toEndpoint<tcp>(address))
    , limits_(limits)
{
}

void CallerServer::start()
{
    AcceptPolicy policy;
    policy.maxConnections_ = limits_.maxConnections_;
    policy.count_ = [this]() { return connections_; };
    policy.serve_ = [this](tcp::socket socket) { asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)), asio::detached); };
    policy.refused_ = &engine_.counters().refusedConnections_;
    asio::co_spawn(acceptor_.get_executor(), acceptLoop(acceptor_, policy), asio::detached);
}

std::shared_ptr<CallerRequest> CallerServer::find(CallHandle handle)
{
    const auto found = requests_.find(handle);
    return found == requests_.end() ? nullptr : found->second;
}

void CallerServer::fail(CallHandle handle, ResultCode code)
{
    if (const auto request = find(handle)) {
        request->finish(code, false);
    }
}

void CallerServer::cut(CallHandle handle)
{
    if (const auto request = find(handle)) {
        request->finish(std::nullopt, true);
    }
}

Task<> CallerServer::serve(tcp::socket socket)
{
    ++connections_;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (co_await serveOne(stream, buffer)) { }
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    --connections_;
}

Task<bool> CallerServer::serveOne(beast::tcp_stream &stream, beast::flat_buffer &buffer)
{
    CallerRequest::Parser parser;
    parser.header_limit(limits_.maxHeaderBytes_);
    parser.body_limit(boost::none);
    stream.expires_after(HeaderTimeout);
    error_code problem;
    co_await http::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, problem));
    stream.expires_never();
    const auto request = std::make_shared<CallerRequest>(stream, buffer, parser, CallHandle(++lastHandle_));
    if (problem) {
        const bool readable = problem != http::error::end_of_stream && problem != beast::error::timeout && parser.got_some();
        if (readable) {
            ++engine_.counters().badRequests_;
            co_await request->writeFailure(ResultCode::BadRequest, "");
        }
        co_return false;
    }
    co_return co_await serveCall(request, parser);
}

Task<bool> CallerServer::serveCall(const std::shared_ptr<CallerRequest> &request, CallerRequest::Parser &parser)
{
    const ServiceName service = serviceOf(parser);
    const RequestHead head = request->head();
    const bool hasKey = !parser.get()["Idempotency-Key"].empty();
    const Classification found = classify(engine_.world(), service, head.method_, pathOf(head.target_), hasKey);
    if (found.code_ != ResultCode::Ok) {
        co_return co_await request->writeFailure(found.code_, "");
    }
    const RequestClass requestClass = *found.class_;
    const auto limit = static_cast<std::uint64_t>(requestClass.maxBody_.value());
    request->limitStream(limit);
    const auto length = parser.content_length();
    if (length && *length > limit) {
        co_return co_await request->writeFailure(ResultCode::BodyTooLarge, "");
    }
    const bool small = length.value_or(0) <= RideBytes && !parser.chunked();
    if (!requestClass.streamed_ || small) {
        const ResultCode code = co_await request->bufferBody(limit);
        if (code != ResultCode::Ok) {
            co_return co_await request->writeFailure(code, "");
        }
    }
    const CallArrived event = makeEvent(*request, parser, service, requestClass.name_);
    co_await runCall(request, event, request->stream());
    if (request->failure()) {
        co_return co_await request->writeFailure(*request->failure(), event.trace_.value());
    }
    co_return !request->mustClose() && parser.keep_alive();
}

Task<> CallerServer::runCall(const std::shared_ptr<CallerRequest> &request, const CallArrived &event, beast::tcp_stream &stream)
{
    requests_[request->handle()] = request;
    engine_.post(event);
    const auto done = std::make_shared<bool>(false);
    if (request->isBuffered()) {
        asio::co_spawn(acceptor_.get_executor(), watchCaller(request, stream, done), asio::detached);
    }
    co_await request->finished();
    *done = true;
    requests_.erase(request->handle());
    error_code ignored;
    // Ends the watch, which waits on the same socket.
    stream.socket().cancel(ignored);
    co_await asio::post(acceptor_.get_executor(), asio::use_awaitable);
}

Task<> CallerServer::watchCaller(std::shared_ptr<CallerRequest> request, beast::tcp_stream &stream, std::shared_ptr<bool> done)
{
    error_code problem;
    co_await stream.socket().async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, problem));
    if (problem || *done) {
        co_return;
    }
    char byte = 0;
    stream.socket().non_blocking(true, problem);
    const std::size_t got = stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, problem);
    const bool gone = problem ? problem != asio::error::would_block : got == 0;
    if (gone) {
        engine_.post(CallerGone{request->handle()});
        request->finish(std::nullopt, true);
    }
}

} // namespace radishford
