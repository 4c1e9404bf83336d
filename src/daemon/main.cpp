// radishfordd: the daemon beside each backend server.
#include "core/error.h"
#include "daemon/daemon.h"
#include "daemon/log.h"
#include "daemon/settings_watch.h"
#include "platform/dialect.h"
#include "wire/json_reader.h"

#include <boost/program_options.hpp>

#include <chrono>
#include <iostream>
#include <random>

namespace radishford {

namespace {

namespace options = boost::program_options;

constexpr int ExitOk = 0;
constexpr int ExitBadSettings = 2;
constexpr int ExitFailed = 1;

// The command line's options.
options::options_description describeOptions()
{
    options::options_description description("radishfordd, the load balancer's daemon beside a backend server");
    auto add = description.add_options();
    add("help,h", "show this text");
    add("version", "show the version");
    add("settings,s", options::value<std::string>(), "settings file, JSON");
    add("platform-settings", options::value<std::string>(), "settings file in the platform's form; calls are routed by its desired state");
    add("check-settings", "check the settings file and end");
    return description;
}

// Milliseconds since the Unix epoch.
std::uint64_t unixMillis()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

// Runs a daemon until it is asked to end and nothing is in flight.
void runDaemon(const std::string &path, const SettingsParser &parser, const Dialect &dialect)
{
    DaemonSettings settings = parser(readFile(path));
    settings.world_.incarnation_ = Incarnation(unixMillis());
    startLog(settings.world_.name_.value());
    asio::io_context context(1);
    std::random_device device;
    Daemon daemon(context, settings, dialect, (static_cast<std::uint64_t>(device()) << 32U) | device());
    SettingsWatch watch(daemon.engine(), path, parser);
    daemon.start();
    watch.start();
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const error_code & /*problem*/, int /*number*/) { daemon.shutDown(); });
    logChange("started in " + settings.world_.failureDomain_);
    context.run();
    logChange("ended");
}

// Reads the command line and runs what it asks for.
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
    const bool onPlatform = values.count("platform-settings") > 0;
    if (values.count("settings") + values.count("platform-settings") != 1) {
        std::cerr << "radishfordd: either --settings or --platform-settings is required\n" << description;
        return ExitBadSettings;
    }
    const std::string path = values[onPlatform ? "platform-settings" : "settings"].as<std::string>();
    const SettingsParser parser = onPlatform ? platform::parseSettings : parseSettings;
    if (values.count("check-settings") > 0) {
        parser(readFile(path));
        std::cout << "settings are valid\n";
        return ExitOk;
    }
    runDaemon(path, parser, onPlatform ? platform::dialect() : ownDialect());
    return ExitOk;
}

} // namespace

} // namespace radishford

int main(int argc, char **argv)
{
    try {
        return radishford::run(argc, argv);
    } catch (const radishford::Error &problem) {
        std::cerr << "radishfordd: error " << problem.what() << "\n";
        return radishford::ExitBadSettings;
    } catch (const std::exception &problem) {
        std::cerr << "radishfordd: " << problem.what() << "\n";
        return radishford::ExitFailed;
    }
}
