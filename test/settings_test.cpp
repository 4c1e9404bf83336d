// Tests of the settings parser: each mistake gives an error code and names the key.
#define BOOST_TEST_MODULE settings
#include "core/error.h"
#include "daemon/settings.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

const std::string ValidSettings = R"({"instance":"a","failure_domain":"d1","places":[{"failure_domain":"d1","region":"r"}],
"daemon_address":"127.0.0.1:1","caller_address":"127.0.0.1:2","announce_address":"127.0.0.1:3","admin_address":"127.0.0.1:4",
"store_address":"127.0.0.1:5","seeds":["127.0.0.2:1"],"limits":{"calls":10}})";

// Returns the valid settings with the first match of a text replaced.
std::string withReplacement(const std::string &before, const std::string &after)
{
    std::string text = ValidSettings;
    return text.replace(text.find(before), before.size(), after);
}

} // namespace

BOOST_AUTO_TEST_CASE(valid_settings_are_parsed)
{
    const DaemonSettings settings = parseSettings(ValidSettings);
    BOOST_TEST(settings.world_.name_.value() == "a");
    BOOST_TEST(settings.world_.maxCalls_ == 10U);
    BOOST_TEST(settings.world_.seeds_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(each_mistake_gives_its_code_and_key)
{
    const std::vector<std::tuple<std::string, ResultCode, std::string>> cases{
        {withReplacement("\"instance\"", "\"instanse\""), ResultCode::MissingKey, "instance"},
        {withReplacement("\"seeds\"", "\"zeeds\""), ResultCode::UnknownKey, "zeeds"},
        {withReplacement("\"calls\"", "\"kalls\""), ResultCode::UnknownKey, "limits.kalls"},
        {withReplacement("\"calls\":10", "\"calls\":\"10\""), ResultCode::WrongType, "limits.calls"},
        {withReplacement("\"calls\":10", "\"calls\":0"), ResultCode::OutOfRange, "limits.calls"},
        {withReplacement("\"calls\":10", "\"link_megabits_per_second\":-1"), ResultCode::OutOfRange, "limits.link_megabits_per_second"},
        {withReplacement("\"calls\":10", "\"pipelined_requests\":0"), ResultCode::OutOfRange, "limits.pipelined_requests"},
        {withReplacement("\"calls\":10", "\"calls\":99999999999999999999"), ResultCode::WrongType, "limits.calls"},
        {withReplacement("127.0.0.1:2", "127.0.0.1:1"), ResultCode::DuplicateAddress, "caller_address"},
        {withReplacement("127.0.0.1:2", "localhost:2"), ResultCode::BadAddress, "caller_address"},
        {withReplacement("\"failure_domain\":\"d1\",\"places\"", "\"failure_domain\":\"d9\",\"places\""), ResultCode::UnknownFailureDomain, "d9"},
        {withReplacement("\"region\":\"r\"}", "\"region\":\"r\"},{\"failure_domain\":\"d1\",\"region\":\"r\"}"), ResultCode::DuplicateName, "d1"},
        {withReplacement("[\"127.0.0.2:1\"]", "[1]"), ResultCode::WrongType, "seeds"},
        {withReplacement("\"instance\":\"a\"", "\"instance\":\"\""), ResultCode::OutOfRange, "instance"},
        {"{", ResultCode::BadJson, "settings"},
        {"[]", ResultCode::WrongType, ""},
    };
    for (const auto &[text, code, key] : cases) {
        try {
            parseSettings(text);
            BOOST_ERROR("accepted: " + text);
        } catch (const Error &error) {
            BOOST_TEST((error.code() == code), std::string(error.what()) + " for " + text);
            BOOST_TEST((std::string(error.what()).find(key) != std::string::npos), error.what());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_missing_file_is_reported)
{
    BOOST_CHECK_THROW(readSettings("/nonexistent"), Error);
}
