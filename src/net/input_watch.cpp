// Notices input on a socket without reading it.
#include "net/input_watch.h"

namespace radishford {

InputWatch::InputWatch(tcp::socket &socket)
    : socket_(socket)
    , timer_(socket.get_executor())
{
}

Task<> InputWatch::wait()
{
    if (!isWatching_) {
        isWatching_ = true;
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code &errorCode) {
            self->isWatching_ = false;
            // A cancelled watch says nothing about the socket.
            self->hasInput_ = self->hasInput_ || errorCode != asio::error::operation_aborted;
            self->timer_.cancel();
        });
    }
    error_code ignored;
    timer_.expires_at(std::chrono::steady_clock::time_point::max());
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

Task<> InputWatch::pause(Millis duration)
{
    error_code ignored;
    timer_.expires_after(toChrono(duration));
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void InputWatch::wake()
{
    timer_.cancel();
}

bool InputWatch::hasInput() const
{
    return hasInput_;
}

void InputWatch::clearInput()
{
    hasInput_ = false;
}

} // namespace radishford
