// Takes changes of the settings file into the running daemon.
#include "daemon/settings_watch.h"

#include "core/error.h"
#include "wire/json_reader.h"

#include <csignal>
#include <utility>

namespace radishford {

namespace {

// Time between looks at the file without a signal: small beside the time in which operators expect a change, and cheap.
constexpr std::chrono::seconds LookInterval(5);

} // namespace

SettingsWatch::SettingsWatch(Engine &engine, std::string path, SettingsParser parser)
    : engine_(engine)
    , path_(std::move(path))
    , parser_(std::move(parser))
    , text_(readFile(path_))
    , signals_(engine.context(), SIGHUP)
{
}

void SettingsWatch::start()
{
    asio::co_spawn(engine_.context(), awaitSignals(), asio::detached);
    asio::co_spawn(engine_.context(), lookAtTimes(), asio::detached);
}

void SettingsWatch::reload(const char *cause)
{
    try {
        const std::string text = readFile(path_);
        if (text == text_) {
            return;
        }
        const DaemonSettings settings = parser_(text);
        text_ = text;
        engine_.log(std::string("settings reloaded: ") + cause);
        engine_.post(SettingsChanged{settings.world_});
    } catch (const Error &problem) {
        engine_.log(std::string("settings not reloaded, the earlier ones stay in force: ") + problem.what());
    }
}

Task<> SettingsWatch::awaitSignals()
{
    for (;;) {
        co_await signals_.async_wait(asio::use_awaitable);
        reload("SIGHUP");
    }
}

Task<> SettingsWatch::lookAtTimes()
{
    asio::steady_timer timer(engine_.context());
    for (;;) {
        timer.expires_after(LookInterval);
        co_await timer.async_wait(asio::use_awaitable);
        reload("the file has changed");
    }
}

} // namespace radishford
