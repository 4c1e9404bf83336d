// Accepts connections of one port, up to a limit.
#include "net/accept_loop.h"

namespace radishford {

Task<> acceptLoop(tcp::acceptor &acceptor, AcceptPolicy policy)
{
    for (;;) {
        error_code problem;
        tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, problem));
        if (problem == asio::error::operation_aborted) {
            co_return;
        }
        if (problem) {
            continue;
        }
        if (policy.count_() >= policy.maxConnections_) {
            ++*policy.refused_;
            continue;
        }
        policy.serve_(std::move(socket));
    }
}

} // namespace radishford
