// Stand-in for a backend server, a separate process for the demo and process tests: slots, work time, an append-only log of executions,
// and a crash on request.
#include "core/error.h"
#include "core/hash.h"
#include "net/async_condition.h"
#include "net/http_client_server.h"

#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>

namespace radishford {

namespace {

namespace json = boost::json;
namespace options = boost::program_options;

// Interval between announcements, and time limit of one announcement.
constexpr std::chrono::milliseconds AnnounceInterval(500);
constexpr std::chrono::milliseconds AnnounceTimeout(400);
constexpr std::size_t ReadChunk = std::size_t{64} << 10U;
constexpr unsigned HttpVersion = 11; // HTTP/1.1

// Options of the command line.
struct BackendOptions {
    std::string service_;
    Address listenAddress_;
    Address announcementAddress_;
    int slots_ = 12;
    int workMs_ = 5;
    std::string executionLogPath_;
};

// Stand-in for a backend server on one io_context.
class Backend
{
public:
    Backend(asio::io_context &context, const BackendOptions &settings)
        : context_(context)
        , settings_(settings)
        , acceptor_(context, toEndpoint<tcp>(settings.listenAddress_))
        , slotFree_(context.get_executor())
    {
    }

    // Starts to accept connections and to announce itself to its daemon.
    void start()
    {
        asio::co_spawn(context_, acceptLoop(), asio::detached);
        asio::co_spawn(context_, announceLoop(), asio::detached);
    }

    // Announces the state "draining" and exits once no request is open.
    void drain()
    {
        isDraining_ = true;
        asio::co_spawn(context_, stopWhenIdle(), asio::detached);
    }

private:
    // Accepts connections until the process exits.
    Task<> acceptLoop()
    {
        for (;;) {
            tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
            socket.set_option(tcp::no_delay(true));
            asio::co_spawn(context_, serveConnection(std::move(socket)), asio::detached);
        }
    }

    // Sends one announcement; a failure is ignored.
    Task<> announce()
    {
        const json::object body{{"service", settings_.service_},
                                {"address", toText(settings_.listenAddress_)},
                                {"slots", settings_.slots_},
                                {"state", isDraining_ ? "draining" : "ready"},
                                {"started", startedAt_}};
        co_await sendHttpRequest(context_, settings_.announcementAddress_, makeRequest(http::verb::post, "/announce", json::serialize(body)), AnnounceTimeout);
    }

    // Sends announcements at regular intervals.
    Task<> announceLoop()
    {
        asio::steady_timer timer(context_);
        for (;;) {
            co_await announce();
            timer.expires_after(AnnounceInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    // Stops the io_context once no request is open.
    Task<> stopWhenIdle()
    {
        co_await announce();
        asio::steady_timer timer(context_);
        do {
            timer.expires_after(AnnounceInterval);
            co_await timer.async_wait(asio::use_awaitable);
        } while (openRequests_ > 0);
        context_.stop();
    }

    // Handles the requests of one connection in turn.
    Task<> serveConnection(tcp::socket socket)
    {
        beast::tcp_stream stream(std::move(socket));
        beast::flat_buffer buffer;
        for (;;) {
            http::request_parser<http::buffer_body> parser;
            parser.body_limit(boost::none);
            error_code error;
            co_await http::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            ++openRequests_;
            const bool keepOpen = co_await handleRequest(stream, buffer, parser);
            --openRequests_;
            if (!keepOpen) {
                co_return;
            }
        }
    }

    // Handles one request. Returns whether the connection can be used again.
    Task<bool> handleRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer, http::request_parser<http::buffer_body> &parser)
    {
        const std::string requestId(parser.get()["X-Token"]);
        recordExecution(requestId);
        std::uint64_t hash = 0;
        std::uint64_t length = 0;
        std::string chunk(ReadChunk, '\0');
        while (!parser.is_done()) {
            parser.get().body().data = chunk.data();
            parser.get().body().size = chunk.size();
            error_code error;
            co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (error && error != http::error::need_buffer) {
                co_return false;
            }
            const std::size_t received = chunk.size() - parser.get().body().size;
            hash = hashBytes({chunk.data(), received}, hash);
            length += received;
        }
        if (!parser.get()["X-Kill"].empty()) {
            // Simulates a crash.
            std::_Exit(9);
        }
        co_await holdSlot(parser);
        co_return co_await respond(stream, parser, requestId, length);
    }

    // Waits for a free slot and holds it for the work time.
    Task<> holdSlot(const http::request_parser<http::buffer_body> &parser)
    {
        while (slotsUsed_ >= settings_.slots_) {
            co_await slotFree_.wait();
        }
        ++slotsUsed_;
        const auto workField = parser.get()["X-Work-Ms"];
        const int workMs = workField.empty() ? settings_.workMs_ : std::atoi(std::string(workField).c_str());
        if (workMs > 0) {
            asio::steady_timer timer(context_, std::chrono::milliseconds(workMs));
            co_await timer.async_wait(asio::use_awaitable);
        }
        --slotsUsed_;
        slotFree_.notify();
    }

    // Responds with the request's id, target and body length. Returns whether the connection can be used again.
    static Task<bool> respond(beast::tcp_stream &stream, const http::request_parser<http::buffer_body> &parser, std::string requestId, std::uint64_t length)
    {
        http::response<http::string_body> response(http::status::ok, HttpVersion);
        response.set("X-Token", requestId);
        response.set(http::field::content_type, "application/json");
        response.body() = json::serialize(json::object{{"token", requestId}, {"target", std::string(parser.get().target())}, {"bytes", length}}) + "\n";
        response.keep_alive(parser.keep_alive());
        response.prepare_payload();
        error_code error;
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, error));
        co_return !error && parser.keep_alive();
    }

    // Appends a request id to the execution log before the request runs, so that the log is complete even if the process is killed.
    // Requests without an id are not recorded.
    void recordExecution(const std::string &requestId) const
    {
        if (settings_.executionLogPath_.empty() || requestId.empty()) {
            return;
        }
        constexpr int Mode = 0644;
        const int file = ::open(settings_.executionLogPath_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, Mode);
        const std::string line = requestId + "\n";
        const bool written = ::write(file, line.data(), line.size()) == static_cast<ssize_t>(line.size());
        ::close(file);
        if (!written) {
            std::cerr << "backend_standin: cannot write the execution log\n";
            std::_Exit(1);
        }
    }

    asio::io_context &context_;
    BackendOptions settings_;
    tcp::acceptor acceptor_;
    AsyncCondition slotFree_;
    int slotsUsed_ = 0;
    // Requests whose header was read and that are not completed.
    int openRequests_ = 0;
    bool isDraining_ = false;
    // Start time; distinguishes this process from an earlier one on the same address.
    std::int64_t startedAt_ = std::chrono::system_clock::now().time_since_epoch().count();
};

// Parses the command line. Throws when a required option is missing or an address is invalid.
BackendOptions readOptions(int argc, char **argv)
{
    BackendOptions settings;
    std::string listen;
    std::string announce;
    options::options_description description("Stand-in for a backend server");
    auto add = description.add_options();
    add("service", options::value(&settings.service_)->required(), "service name");
    add("listen", options::value(&listen)->required(), "address");
    add("announce", options::value(&announce)->required(), "announce address of the local daemon");
    add("slots", options::value(&settings.slots_), "number of requests that run at a time");
    add("work-ms", options::value(&settings.workMs_), "work time of a request in milliseconds");
    add("ledger", options::value(&settings.executionLogPath_), "file in which executions are recorded");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    settings.listenAddress_ = parseAddress(listen);
    settings.announcementAddress_ = parseAddress(announce);
    return settings;
}

// Runs the server until SIGTERM or SIGINT, and then until no request is open.
void serveBackend(const BackendOptions &settings)
{
    asio::io_context context(1);
    Backend backend(context, settings);
    backend.start();
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const error_code & /*error*/, int /*number*/) { backend.drain(); });
    context.run();
}

} // namespace

} // namespace radishford

int main(int argc, char **argv)
{
    try {
        radishford::serveBackend(radishford::readOptions(argc, argv));
    } catch (const std::exception &error) {
        std::cerr << "backend_standin: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
