// A request's body on its way through the inbound side.
#include "net/body_pipe.h"

namespace radishford {

namespace {

// Bytes of a body that may wait.
constexpr std::size_t MaxWaiting = std::size_t{256} << 10U;

} // namespace

BodyPipe::BodyPipe(const asio::any_io_executor &executor)
    : changed_(executor)
{
}

void BodyPipe::push(std::string bytes)
{
    waiting_ += bytes.size();
    total_ += bytes.size();
    parts_.push_back(std::move(bytes));
    changed_.notify();
}

void BodyPipe::end(bool whole)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    whole_ = whole;
    changed_.notify();
}

Task<> BodyPipe::hasRoom()
{
    while (!ended_ && waiting_ > MaxWaiting) {
        co_await changed_.wait();
    }
}

Task<std::optional<std::string>> BodyPipe::pop()
{
    while (parts_.empty() && !ended_) {
        co_await changed_.wait();
    }
    if (ended_ && !whole_) {
        co_return std::nullopt;
    }
    if (parts_.empty()) {
        co_return std::string();
    }
    std::string part = std::move(parts_.front());
    parts_.pop_front();
    waiting_ -= part.size();
    changed_.notify();
    co_return part;
}

std::uint64_t BodyPipe::total() const
{
    return total_;
}

bool BodyPipe::isWhole() const
{
    return whole_;
}

bool BodyPipe::isBroken() const
{
    return ended_ && !whole_;
}

} // namespace radishford
