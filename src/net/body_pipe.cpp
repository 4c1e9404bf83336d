// Bounded queue for a request body on the inbound daemon.
#include "net/body_pipe.h"

namespace radishford {

namespace {

// Above this many queued bytes waitForSpace() blocks.
constexpr std::size_t MaxPendingBytes = std::size_t{256} << 10U;

} // namespace

BodyPipe::BodyPipe(const asio::any_io_executor &executor)
    : changed_(executor)
{
}

void BodyPipe::push(std::string bytes)
{
    pendingBytes_ += bytes.size();
    totalBytes_ += bytes.size();
    chunks_.push_back(std::move(bytes));
    changed_.notify();
}

void BodyPipe::end(bool complete)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    complete_ = complete;
    changed_.notify();
}

Task<> BodyPipe::waitForSpace()
{
    while (!ended_ && pendingBytes_ > MaxPendingBytes) {
        co_await changed_.wait();
    }
}

Task<std::optional<std::string>> BodyPipe::pop()
{
    while (chunks_.empty() && !ended_) {
        co_await changed_.wait();
    }
    if (ended_ && !complete_) {
        co_return std::nullopt;
    }
    if (chunks_.empty()) {
        co_return std::string();
    }
    std::string chunk = std::move(chunks_.front());
    chunks_.pop_front();
    pendingBytes_ -= chunk.size();
    changed_.notify();
    co_return chunk;
}

std::uint64_t BodyPipe::totalBytes() const
{
    return totalBytes_;
}

bool BodyPipe::isComplete() const
{
    return complete_;
}

bool BodyPipe::isTruncated() const
{
    return ended_ && !complete_;
}

} // namespace radishford
