// Reloads the settings file of a running daemon when it changes.
#include "daemon/settings_watcher.h"

#include "wire/json_reader.h"

#include <csignal>
#include <exception>
#include <utility>

namespace radishford {

namespace {

// Time between two polls of the file, for changes that FileWatch does not report, such as that of a file behind a symbolic link.
constexpr std::chrono::seconds PollInterval(5);

} // namespace

SettingsWatcher::SettingsWatcher(WorldRunner &worldRunner, std::string path, std::string text, SettingsParser parser)
    : worldRunner_(worldRunner)
    , path_(std::move(path))
    , parser_(std::move(parser))
    , activeText_(std::move(text))
    , signals_(worldRunner.context(), SIGHUP)
    , watch_(worldRunner.context(), path_)
{
}

void SettingsWatcher::start()
{
    reload("the file has changed");
    asio::co_spawn(worldRunner_.context(), awaitSignals(), asio::detached);
    asio::co_spawn(worldRunner_.context(), awaitChanges(), asio::detached);
    asio::co_spawn(worldRunner_.context(), pollFile(), asio::detached);
}

void SettingsWatcher::reload(const char *cause)
{
    try {
        const std::string text = readFile(path_);
        if (text == activeText_) {
            return;
        }
        const DaemonSettings settings = parser_(text);
        activeText_ = text;
        worldRunner_.log(std::string("settings reloaded: ") + cause);
        worldRunner_.post(SettingsChanged{settings.world_});
    } catch (const std::exception &error) {
        // Any exception that leaves this function would end the coroutine that called it, and with it all later reloads.
        worldRunner_.log(std::string("settings not reloaded, the previous settings remain active: ") + error.what());
    }
}

Task<> SettingsWatcher::awaitSignals()
{
    for (;;) {
        co_await signals_.async_wait(asio::use_awaitable);
        reload("SIGHUP");
    }
}

Task<> SettingsWatcher::awaitChanges()
{
    for (;;) {
        const bool hasChanged = co_await watch_.wait();
        if (!hasChanged) {
            co_return;
        }
        reload("the file has changed");
    }
}

Task<> SettingsWatcher::pollFile()
{
    asio::steady_timer timer(worldRunner_.context());
    for (;;) {
        timer.expires_after(PollInterval);
        co_await timer.async_wait(asio::use_awaitable);
        reload("the file has changed");
    }
}

} // namespace radishford
