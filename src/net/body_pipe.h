// Bounded queue for a request body on the inbound daemon.
#pragma once

#include "net/async_condition.h"
#include "net/net.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace radishford {

// Passes a request body from the connection to the outbound daemon to the coroutine that writes it to the backend server.
class BodyPipe
{
public:
    // Waiting coroutines resume on the executor; all calls must be made on its thread.
    explicit BodyPipe(const asio::any_io_executor &executor);

    // Appends a chunk. Never blocks; call waitForSpace() afterwards to apply backpressure.
    void push(std::string bytes);

    // Ends the body. With `complete` false, readers see it as truncated. Only the first call has an effect.
    void end(bool complete);

    // Waits until the queue is within its limit or the body has ended.
    Task<> waitForSpace();

    // Waits for the next chunk and removes it. Empty at the end of the body; nothing when the body is truncated.
    Task<std::optional<std::string>> pop();

    // Bytes appended so far.
    [[nodiscard]] std::uint64_t totalBytes() const;

    // True once the complete body was appended.
    [[nodiscard]] bool isComplete() const;

    // True once the body has ended early.
    [[nodiscard]] bool isTruncated() const;

private:
    std::deque<std::string> chunks_;
    // Bytes in chunks_.
    std::size_t pendingBytes_ = 0;
    // Bytes appended since the start, whether removed or not.
    std::uint64_t totalBytes_ = 0;
    bool ended_ = false;
    bool complete_ = false;
    AsyncCondition changed_;
};

} // namespace radishford
