// Notices changes of one file, also when another file is renamed to its path.
#include "daemon/file_watch.h"

#include <sys/inotify.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <filesystem>

namespace radishford {

namespace {

// Room for several events with names of the maximum length.
constexpr std::size_t EventBufferBytes = 4096;

// Opens a descriptor that reports files of a folder that were written or renamed; negative when this is not possible.
int openWatch(const std::filesystem::path &folder)
{
    const int descriptor = inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
    if (descriptor >= 0 && inotify_add_watch(descriptor, folder.c_str(), IN_CLOSE_WRITE | IN_MOVED_TO) < 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

} // namespace

FileWatch::FileWatch(asio::io_context &context, const std::string &path)
    : path_(path)
    , name_(std::filesystem::path(path).filename())
{
    const std::filesystem::path folder = std::filesystem::absolute(path).parent_path();
    const int descriptor = openWatch(folder);
    if (descriptor < 0) {
        return;
    }
    error_code errorCode;
    descriptor_.emplace(context);
    descriptor_->assign(descriptor, errorCode);
    if (errorCode) {
        close(descriptor);
        descriptor_.reset();
    }
}

Task<bool> FileWatch::wait()
{
    std::array<char, EventBufferBytes> buffer{};
    while (descriptor_) {
        error_code errorCode;
        const std::size_t size = co_await descriptor_->async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, errorCode));
        if (errorCode) {
            descriptor_.reset();
        } else if (concernsFile({buffer.data(), size})) {
            co_return true;
        }
    }
    co_return false;
}

bool FileWatch::concernsFile(std::string_view events) const
{
    std::error_code ignored;
    const bool isLink = std::filesystem::is_symlink(std::filesystem::symlink_status(path_, ignored));
    while (events.size() >= sizeof(inotify_event)) {
        inotify_event event{};
        std::memcpy(&event, events.data(), sizeof(event));
        const std::string_view name = events.substr(sizeof(event), event.len);
        const bool isNamed = name.substr(0, name.find('\0')) == name_;
        if (isNamed || isLink || (event.mask & IN_Q_OVERFLOW) != 0) {
            return true;
        }
        events.remove_prefix(std::min(events.size(), sizeof(event) + event.len));
    }
    return false;
}

} // namespace radishford
