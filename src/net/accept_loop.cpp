// Accepts connections on one listening port, up to a limit.
#include "net/accept_loop.h"

namespace radishford {

Task<> acceptLoop(tcp::acceptor &acceptor, AcceptOptions options)
{
    for (;;) {
        error_code errorCode;
        tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, errorCode));
        if (errorCode == asio::error::operation_aborted) {
            co_return;
        }
        if (errorCode) {
            continue;
        }
        if (options.connectionCount_() >= options.maxConnections_) {
            ++*options.rejectedCount_;
            continue;
        }
        options.serve_(std::move(socket));
    }
}

} // namespace radishford
