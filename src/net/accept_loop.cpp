// Accepts connections on one listening port, up to a limit.
#include "net/accept_loop.h"

namespace radishford {

namespace {

// Time until the next attempt after a failed one. Accepting fails at once while the process has no descriptors left.
constexpr std::chrono::milliseconds RetryDelay(50);

} // namespace

Task<> acceptLoop(tcp::acceptor &acceptor, AcceptOptions options)
{
    asio::steady_timer retryTimer(acceptor.get_executor());
    for (;;) {
        error_code errorCode;
        tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, errorCode));
        if (errorCode && !acceptor.is_open()) {
            co_return;
        }
        if (errorCode) {
            retryTimer.expires_after(RetryDelay);
            co_await retryTimer.async_wait(asio::redirect_error(asio::use_awaitable, errorCode));
            continue;
        }
        if (options.connectionCount_() >= options.maxConnections_) {
            ++*options.rejectedCount_;
            continue;
        }
        options.serve_(std::move(socket));
    }
}

void closeAcceptor(tcp::acceptor &acceptor, const std::function<void(tcp::socket)> &serve)
{
    error_code errorCode;
    acceptor.non_blocking(true, errorCode);
    while (!errorCode) {
        tcp::socket socket = acceptor.accept(errorCode);
        if (!errorCode) {
            serve(std::move(socket));
        }
    }
    acceptor.close(errorCode);
}

} // namespace radishford
