// Changes of the settings file of a running daemon, with the program as a process of its own.
#define BOOST_TEST_MODULE platform_reload
#include "standin/daemon_fixture.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// Replaces the first match of a text.
std::string replaced(std::string text, const std::string &before, const std::string &after)
{
    return text.replace(text.find(before), before.size(), after);
}

} // namespace

// Guards against a settings file with a value of a wrong type after which all later changes are ignored.
BOOST_AUTO_TEST_CASE(a_value_of_a_wrong_type_does_not_end_the_reloads)
{
    DaemonFixture fixture(RADISHFORD_PROGRAM);
    // Changes of a file behind a symbolic link are left to the signal.
    const std::filesystem::path path = fixture.process().settingsPath();
    std::filesystem::create_directory(path.parent_path() / "linked");
    std::filesystem::rename(path, path.parent_path() / "linked" / "settings.json");
    std::filesystem::create_symlink(path.parent_path() / "linked" / "settings.json", path);
    const std::string valid = fixture.settingsText(6);
    const std::vector<std::pair<std::string, std::string>> mistakes{
        {R"("a":"r")", R"("a":5)"},        {R"("heartbeatS":1.5)", R"("heartbeatS":"often")"}, {R"("portRange":[)", R"("portRange":["p",)"},
        {R"("seeds":[])", R"("seeds":7)"}, {R"("nodeName":"live")", R"("nodeName":{})"},
    };
    std::size_t reloads = 0;
    const auto reload = [&](const std::string &settings, const std::string &expected) {
        const std::string before = fixture.process().log();
        fixture.process().writeSettings(settings);
        fixture.process().sendSignal(SIGHUP);
        return fixture.runUntil([&]() { return fixture.process().log().find(expected, before.size()) != std::string::npos; }, Millis(2000));
    };
    for (const auto &[before, after] : mistakes) {
        BOOST_TEST(reload(replaced(valid, before, after), "settings not reloaded"), after);
        BOOST_TEST(reload(fixture.settingsText(7 + static_cast<double>(++reloads)), "settings reloaded: SIGHUP"), after);
    }
}

// Guards against a change of the settings file that is only noticed by the next poll, up to 5 s later (review/10).
BOOST_AUTO_TEST_CASE(a_changed_file_is_noticed_without_a_signal)
{
    DaemonFixture fixture(RADISHFORD_PROGRAM);
    const std::string path = fixture.process().settingsPath();
    const std::vector<std::pair<const char *, std::function<void(const std::string &)>>> writers{
        {"written in place", [&](const std::string &text) { fixture.process().writeSettings(text); }},
        {"replaced by rename",
         [&](const std::string &text) {
             std::ofstream(path + ".new") << text;
             std::filesystem::rename(path + ".new", path);
         }},
    };
    double graceSeconds = 7;
    for (const auto &[description, write] : writers) {
        const std::size_t before = fixture.process().log().size();
        write(fixture.settingsText(graceSeconds++));
        const auto isReloaded = [&]() { return fixture.process().log().find("settings reloaded", before) != std::string::npos; };
        BOOST_TEST(fixture.runUntil(isReloaded, Millis(1000)), description);
    }
}
