// Settings: each mistake gives a numbered error that names the key.
#define BOOST_TEST_MODULE settings
#include "core/error.h"
#include "daemon/settings.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests speak of nothing else

namespace {

const std::string Good = R"({"instance":"a","failure_domain":"d1","places":[{"failure_domain":"d1","region":"r"}],
"daemon_address":"127.0.0.1:1","caller_address":"127.0.0.1:2","announce_address":"127.0.0.1:3","admin_address":"127.0.0.1:4",
"store_address":"127.0.0.1:5","seeds":["127.0.0.2:1"],"limits":{"calls":10}})";

// The good settings with one text replaced.
std::string with(const std::string &before, const std::string &after)
{
    std::string text = Good;
    return text.replace(text.find(before), before.size(), after);
}

} // namespace

BOOST_AUTO_TEST_CASE(good_settings_are_read)
{
    const DaemonSettings settings = parseSettings(Good);
    BOOST_TEST(settings.world_.name_.value() == "a");
    BOOST_TEST(settings.world_.maxCalls_ == 10U);
    BOOST_TEST(settings.world_.seeds_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(each_mistake_is_named)
{
    const std::vector<std::tuple<std::string, ResultCode, std::string>> cases{
        {with("\"instance\"", "\"instanse\""), ResultCode::MissingKey, "instance"},
        {with("\"seeds\"", "\"zeeds\""), ResultCode::UnknownKey, "zeeds"},
        {with("\"calls\"", "\"kalls\""), ResultCode::UnknownKey, "limits.kalls"},
        {with("\"calls\":10", "\"calls\":\"10\""), ResultCode::WrongType, "limits.calls"},
        {with("\"calls\":10", "\"calls\":0"), ResultCode::OutOfRange, "limits.calls"},
        {with("\"calls\":10", "\"calls\":99999999999999999999"), ResultCode::WrongType, "limits.calls"},
        {with("127.0.0.1:2", "127.0.0.1:1"), ResultCode::DuplicateAddress, "caller_address"},
        {with("127.0.0.1:2", "localhost:2"), ResultCode::BadAddress, "caller_address"},
        {with("\"failure_domain\":\"d1\",\"places\"", "\"failure_domain\":\"d9\",\"places\""), ResultCode::UnknownFailureDomain, "d9"},
        {with("\"region\":\"r\"}", "\"region\":\"r\"},{\"failure_domain\":\"d1\",\"region\":\"r\"}"), ResultCode::DuplicateName, "d1"},
        {with("[\"127.0.0.2:1\"]", "[1]"), ResultCode::WrongType, "seeds"},
        {with("\"instance\":\"a\"", "\"instance\":\"\""), ResultCode::OutOfRange, "instance"},
        {"{", ResultCode::BadJson, "settings"},
        {"[]", ResultCode::WrongType, ""},
    };
    for (const auto &[text, code, key] : cases) {
        try {
            parseSettings(text);
            BOOST_ERROR("accepted: " + text);
        } catch (const Error &problem) {
            BOOST_TEST((problem.code() == code), std::string(problem.what()) + " for " + text);
            BOOST_TEST((std::string(problem.what()).find(key) != std::string::npos), problem.what());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_missing_file_is_named)
{
    BOOST_CHECK_THROW(readSettings("/nonexistent"), Error);
}
