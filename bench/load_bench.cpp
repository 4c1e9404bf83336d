// Load client that sends calls at a fixed rate over persistent connections and prints latency quantiles.
#include "core/address.h"
#include "net/net.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <vector>

namespace radishford {

namespace {

namespace options = boost::program_options;

// Number of first calls of each connection that are not counted.
constexpr int WarmUpCalls = 20;

// Command line options.
struct LoadOptions {
    Address target_;
    int callsPerSecond_ = 500;
    int seconds_ = 5;
    int connections_ = 16;
};

// Latencies of successful calls in microseconds, and the number of failed calls.
struct LoadResult {
    std::vector<double> micros_;
    int failed_ = 0;
};

// Sends the calls of one connection, each at its scheduled time.
Task<> runConnection(asio::io_context &context, LoadOptions settings, int number, LoadResult &result)
{
    using Clock = std::chrono::steady_clock;
    beast::tcp_stream stream(context);
    co_await stream.async_connect(toEndpoint<tcp>(settings.target_), asio::use_awaitable);
    stream.socket().set_option(tcp::no_delay(true));
    beast::flat_buffer buffer;
    asio::steady_timer timer(context);
    const std::chrono::nanoseconds gap(std::int64_t{1000000000} * settings.connections_ / settings.callsPerSecond_);
    const Clock::time_point start = Clock::now() + gap * number / settings.connections_;
    const int calls = settings.callsPerSecond_ * settings.seconds_ / settings.connections_;
    for (int call = 0; call < calls; ++call) {
        const Clock::time_point due = start + gap * call;
        timer.expires_at(due);
        co_await timer.async_wait(asio::use_awaitable);
        http::request<http::empty_body> request(http::verb::get, "/calendar", 11);
        request.set(http::field::host, "booking");
        const Clock::time_point sentAt = Clock::now();
        error_code problem;
        co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, problem));
        http::response<http::string_body> response;
        co_await http::async_read(stream, buffer, response, asio::redirect_error(asio::use_awaitable, problem));
        if (problem || response.result() != http::status::ok) {
            ++result.failed_;
            continue;
        }
        // The first calls include the time to open connections.
        if (call < WarmUpCalls) {
            continue;
        }
        result.micros_.push_back(std::chrono::duration<double, std::micro>(Clock::now() - sentAt).count());
    }
}

// Runs the load and prints the result in one line.
void runLoad(const LoadOptions &settings)
{
    asio::io_context context(1);
    LoadResult result;
    for (int number = 0; number < settings.connections_; ++number) {
        asio::co_spawn(context, runConnection(context, settings, number, result), asio::detached);
    }
    context.run();
    std::sort(result.micros_.begin(), result.micros_.end());
    const auto quantile = [&](double part) {
        return result.micros_.empty() ? 0 : result.micros_[static_cast<std::size_t>(part * static_cast<double>(result.micros_.size() - 1))];
    };
    std::printf("calls %zu failed %d p50 %.0f p99 %.0f p99.9 %.0f us\n", result.micros_.size(), result.failed_, quantile(0.5), quantile(0.99), quantile(0.999));
}

} // namespace

} // namespace radishford

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    radishford::LoadOptions settings;
    std::string target;
    options::options_description description("Load client");
    auto add = description.add_options();
    add("target", options::value(&target)->required(), "address");
    add("rate", options::value(&settings.callsPerSecond_), "calls a second");
    add("seconds", options::value(&settings.seconds_), "length");
    add("connections", options::value(&settings.connections_), "connections");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        settings.target_ = radishford::parseAddress(target);
        radishford::runLoad(settings);
    } catch (const std::exception &problem) {
        std::cerr << "load_bench: " << problem.what() << "\n";
        return 1;
    }
    return 0;
}
