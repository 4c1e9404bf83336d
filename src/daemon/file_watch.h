// Notices changes of one file, also when another file is renamed to its path.
#pragma once

#include "net/net.h"

#include <boost/asio/posix/stream_descriptor.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace radishford {

// Watches the folder of a file through inotify. A path that is a symbolic link may also be redirected by any rename in that folder.
class FileWatch
{
public:
    // Does not watch when the system does not support it.
    FileWatch(asio::io_context &context, const std::string &path);

    // Waits until the file may have changed. Returns false when changes cannot be noticed, or no longer.
    Task<bool> wait();

private:
    // True when one of the events may concern the file.
    [[nodiscard]] bool concernsFile(std::string_view events) const;

    std::string path_;
    std::string name_;
    std::optional<asio::posix::stream_descriptor> descriptor_;
};

} // namespace radishford
