// radishfordd: the load balancer's daemon, which runs next to each backend server.
#include "core/error.h"
#include "daemon/daemon.h"
#include "daemon/log.h"
#include "daemon/settings_watcher.h"
#include "platform/adapters.h"
#include "wire/json_reader.h"

#include <boost/program_options.hpp>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <random>

namespace radishford {

namespace {

namespace options = boost::program_options;

// Exit codes of radishfordd; 2 stands for an invalid command line or settings file.
constexpr int ExitOk = 0;
constexpr int ExitBadSettings = 2;
constexpr int ExitFailed = 1;

// Returns the options of the command line.
options::options_description describeOptions()
{
    options::options_description description("radishfordd, the load balancer's daemon that runs next to a backend server");
    auto add = description.add_options();
    add("help,h", "show this text");
    add("version", "show the version");
    add("settings,s", options::value<std::string>(), "settings file, JSON");
    add("platform-settings", options::value<std::string>(), "settings file in the platform's format; calls are routed by the platform's desired state");
    add("check-settings", "check the settings file and exit");
    return description;
}

// Returns milliseconds since the Unix epoch.
std::uint64_t unixMillis()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

// Runs a daemon until SIGTERM or SIGINT requests shutdown, and then until the shutdown is complete.
void runDaemon(const std::string &path, const SettingsParser &parser, const HttpAdapters &adapters)
{
    const std::string text = readFile(path);
    DaemonSettings settings = parser(text);
    settings.world_.incarnation_ = Incarnation(unixMillis());
    initializeLog(settings.world_.name_.value());
    asio::io_context context(1);
    std::random_device device;
    Daemon daemon(context, settings, adapters, (static_cast<std::uint64_t>(device()) << 32U) | device());
    SettingsWatcher watcher(daemon.worldRunner(), path, text, parser);
    daemon.start();
    watcher.start();
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const error_code & /*error*/, int /*number*/) { daemon.requestShutdown(); });
    logChange("started in " + settings.world_.failureDomain_);
    context.run();
    logChange("ended");
}

// Parses the command line, then prints information, checks the settings or runs the daemon. Returns the exit code.
int run(int argc, char **argv)
{
    const options::options_description description = describeOptions();
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values.count("help") > 0) {
        std::cout << description;
        return ExitOk;
    }
    if (values.count("version") > 0) {
        std::cout << "radishfordd " RADISHFORD_VERSION "\n";
        return ExitOk;
    }
    const bool usesPlatform = values.count("platform-settings") > 0;
    if (values.count("settings") + values.count("platform-settings") != 1) {
        std::cerr << "radishfordd: either --settings or --platform-settings is required\n" << description;
        return ExitBadSettings;
    }
    const std::string path = values[usesPlatform ? "platform-settings" : "settings"].as<std::string>();
    const SettingsParser parser = usesPlatform ? platform::parseSettings : parseSettings;
    if (values.count("check-settings") > 0) {
        parser(readFile(path));
        std::cout << "settings are valid\n";
        return ExitOk;
    }
    runDaemon(path, parser, usesPlatform ? platform::httpAdapters() : nativeHttpAdapters());
    return ExitOk;
}

} // namespace

} // namespace radishford

int main(int argc, char **argv)
{
    int exitCode = radishford::ExitFailed;
    try {
        exitCode = radishford::run(argc, argv);
    } catch (const radishford::Error &error) {
        std::cerr << "radishfordd: error " << error.what() << "\n";
        exitCode = radishford::ExitBadSettings;
    } catch (const std::exception &error) {
        std::cerr << "radishfordd: " << error.what() << "\n";
    }
    std::cout.flush();
    // The destructors of static objects are skipped: the log library waits there for its worker threads, without a limit.
    std::_Exit(exitCode);
}
