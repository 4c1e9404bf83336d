// Notices input on a socket without reading it.
#pragma once

#include "core/clock_type.h"
#include "net/net.h"

#include <memory>

namespace radishford {

// Watches one socket for a coroutine that serves it and has other reasons to continue as well.
class InputWatch : public std::enable_shared_from_this<InputWatch>
{
public:
    // The socket must outlive the waits. All calls must be made on its executor's thread.
    explicit InputWatch(tcp::socket &socket);

    // Waits until the socket can be read or has failed, or until wake() is called.
    Task<> wait();

    // Waits for the duration, or until wake() is called.
    Task<> pause(Millis duration);

    // Ends a wait or pause.
    void wake();

    // True when the socket could be read, or had failed, since the last clearInput(). Its bytes may have been read since.
    [[nodiscard]] bool hasInput() const;

    // Forgets earlier input. The owner has read all available bytes.
    void clearInput();

private:
    tcp::socket &socket_;
    // Runs out at the end of a pause. Cancelling it ends a wait or pause.
    asio::steady_timer timer_;
    // True while the socket is being watched. One watch spans several waits when it is not fulfilled by the first.
    bool isWatching_ = false;
    bool hasInput_ = false;
};

} // namespace radishford
