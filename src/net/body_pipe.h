// A request's body on its way through the inbound side.
#pragma once

#include "net/net.h"
#include "net/signal.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace radishford {

// A request's body on its way from the outbound side to the backend server.
class BodyPipe
{
public:
    explicit BodyPipe(const asio::any_io_executor &executor);

    // Adds a part.
    void push(std::string bytes);

    // Ends the body; broken when it is not whole.
    void end(bool whole);

    // Waits until there is room for further parts.
    Task<> hasRoom();

    // The next part; empty at the end. Nothing when the body is broken.
    Task<std::optional<std::string>> pop();

    // Bytes added so far.
    [[nodiscard]] std::uint64_t total() const;

    // True once the whole body was added.
    [[nodiscard]] bool isWhole() const;

    // True once it is known that the body ends early.
    [[nodiscard]] bool isBroken() const;

private:
    std::deque<std::string> parts_;
    std::size_t waiting_ = 0;
    std::uint64_t total_ = 0;
    bool ended_ = false;
    bool whole_ = false;
    Signal changed_;
};

} // namespace radishford
