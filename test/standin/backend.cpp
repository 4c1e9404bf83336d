// Stand-in for a backend server: slots, work time, an append-only ledger of executions, and misbehaviour on request.
#include "core/error.h"
#include "core/hash.h"
#include "net/http_exchange.h"
#include "net/signal.h"

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

constexpr std::chrono::milliseconds AnnounceInterval(500);
constexpr std::chrono::milliseconds AnnounceTimeout(400);
constexpr std::size_t ReadChunk = std::size_t{64} << 10U;
constexpr unsigned HttpVersion = 11;

// What the command line says.
struct BackendOptions {
    std::string service_;
    Address listen_;
    Address announce_;
    int slots_ = 12;
    int workMs_ = 5;
    std::string ledger_;
};

// One backend server.
class Backend
{
public:
    Backend(asio::io_context &context, const BackendOptions &settings)
        : context_(context)
        , settings_(settings)
        , acceptor_(context, toEndpoint<tcp>(settings.listen_))
        , slotFree_(context.get_executor())
    {
    }

    // Starts to serve and to announce itself.
    void start()
    {
        asio::co_spawn(context_, acceptLoop(), asio::detached);
        asio::co_spawn(context_, announceLoop(), asio::detached);
    }

    // Announces that it leaves, and ends once it is idle.
    void leave()
    {
        draining_ = true;
        asio::co_spawn(context_, leaveWhenIdle(), asio::detached);
    }

private:
    // Accepts connections.
    Task<> acceptLoop()
    {
        for (;;) {
            tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
            socket.set_option(tcp::no_delay(true));
            asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
        }
    }

    // Sends one announcement.
    Task<> announce()
    {
        const json::object body{{"service", settings_.service_},
                                {"address", toText(settings_.listen_)},
                                {"slots", settings_.slots_},
                                {"state", draining_ ? "draining" : "ready"},
                                {"started", startedAt_}};
        co_await askHttp(context_, settings_.announce_, makeRequest(http::verb::post, "/announce", json::serialize(body)), AnnounceTimeout);
    }

    // Announces again and again.
    Task<> announceLoop()
    {
        asio::steady_timer timer(context_);
        for (;;) {
            co_await announce();
            timer.expires_after(AnnounceInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    // Ends the process once nothing runs any more.
    Task<> leaveWhenIdle()
    {
        co_await announce();
        asio::steady_timer timer(context_);
        do {
            timer.expires_after(AnnounceInterval);
            co_await timer.async_wait(asio::use_awaitable);
        } while (running_ > 0);
        context_.stop();
    }

    // Serves one connection.
    Task<> serve(tcp::socket socket)
    {
        beast::tcp_stream stream(std::move(socket));
        beast::flat_buffer buffer;
        for (;;) {
            http::request_parser<http::buffer_body> parser;
            parser.body_limit(boost::none);
            error_code problem;
            co_await http::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, problem));
            if (problem) {
                co_return;
            }
            ++running_;
            const bool goOn = co_await run(stream, buffer, parser);
            --running_;
            if (!goOn) {
                co_return;
            }
        }
    }

    // Runs one request.
    Task<bool> run(beast::tcp_stream &stream, beast::flat_buffer &buffer, http::request_parser<http::buffer_body> &parser)
    {
        const std::string token(parser.get()["X-Token"]);
        record(token);
        std::uint64_t hash = 0;
        std::uint64_t length = 0;
        std::string part(ReadChunk, '\0');
        while (!parser.is_done()) {
            parser.get().body().data = part.data();
            parser.get().body().size = part.size();
            error_code problem;
            co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, problem));
            if (problem && problem != http::error::need_buffer) {
                co_return false;
            }
            const std::size_t got = part.size() - parser.get().body().size;
            hash = hashBytes({part.data(), got}, hash);
            length += got;
        }
        if (!parser.get()["X-Kill"].empty()) {
            std::_Exit(9);
        }
        co_await work(parser);
        co_return co_await answer(stream, parser, token, length);
    }

    // Holds a slot for the work time.
    Task<> work(const http::request_parser<http::buffer_body> &parser)
    {
        while (slotsUsed_ >= settings_.slots_) {
            co_await slotFree_.wait();
        }
        ++slotsUsed_;
        const auto asked = parser.get()["X-Work-Ms"];
        const int workMs = asked.empty() ? settings_.workMs_ : std::atoi(std::string(asked).c_str());
        if (workMs > 0) {
            asio::steady_timer timer(context_, std::chrono::milliseconds(workMs));
            co_await timer.async_wait(asio::use_awaitable);
        }
        --slotsUsed_;
        slotFree_.notify();
    }

    // Answers with the request's own token and body length.
    static Task<bool> answer(beast::tcp_stream &stream, const http::request_parser<http::buffer_body> &parser, std::string token, std::uint64_t length)
    {
        http::response<http::string_body> response(http::status::ok, HttpVersion);
        response.set("X-Token", token);
        response.set(http::field::content_type, "application/json");
        response.body() = json::serialize(json::object{{"token", token}, {"target", std::string(parser.get().target())}, {"bytes", length}}) + "\n";
        response.keep_alive(parser.keep_alive());
        response.prepare_payload();
        error_code problem;
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, problem));
        co_return !problem && parser.keep_alive();
    }

    // Notes an execution before it starts, so that the ledger is whole even if the process is killed.
    void record(const std::string &token) const
    {
        if (settings_.ledger_.empty() || token.empty()) {
            return;
        }
        constexpr int Mode = 0644;
        const int file = ::open(settings_.ledger_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, Mode);
        const std::string line = token + "\n";
        const bool written = ::write(file, line.data(), line.size()) == static_cast<ssize_t>(line.size());
        ::close(file);
        if (!written) {
            std::cerr << "backend_standin: the ledger cannot be written\n";
            std::_Exit(1);
        }
    }

    asio::io_context &context_;
    BackendOptions settings_;
    tcp::acceptor acceptor_;
    Signal slotFree_;
    int slotsUsed_ = 0;
    int running_ = 0;
    bool draining_ = false;
    // Tells this process from an earlier one on the same address.
    std::int64_t startedAt_ = std::chrono::system_clock::now().time_since_epoch().count();
};

// Reads the command line.
BackendOptions readOptions(int argc, char **argv)
{
    BackendOptions settings;
    std::string listen;
    std::string announce;
    options::options_description description("Stand-in for a backend server");
    auto add = description.add_options();
    add("service", options::value(&settings.service_)->required(), "service name");
    add("listen", options::value(&listen)->required(), "address");
    add("announce", options::value(&announce)->required(), "announce address of the daemon beside it");
    add("slots", options::value(&settings.slots_), "requests at a time");
    add("work-ms", options::value(&settings.workMs_), "work of a request");
    add("ledger", options::value(&settings.ledger_), "file to note executions in");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    settings.listen_ = parseAddress(listen);
    settings.announce_ = parseAddress(announce);
    return settings;
}

// Serves until a signal asks for the end.
void serveBackend(const BackendOptions &settings)
{
    asio::io_context context(1);
    Backend backend(context, settings);
    backend.start();
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const error_code & /*problem*/, int /*number*/) { backend.leave(); });
    context.run();
}

} // namespace

} // namespace radishford

int main(int argc, char **argv)
{
    try {
        radishford::serveBackend(radishford::readOptions(argc, argv));
    } catch (const std::exception &problem) {
        std::cerr << "backend_standin: " << problem.what() << "\n";
        return 1;
    }
    return 0;
}
