// Tests that documentation pages and example tickets agree with the code.
#define BOOST_TEST_MODULE docs
#include "table/result_codes.h"
#include "table/systems.h"
#include "wire/json_reader.h"
#include "wire/ticket_json.h"
#include "world/world_settings.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

// Returns the text of a file of the repository.
std::string page(const std::string &path)
{
    return readFile(std::string(RADISHFORD_SOURCE) + "/" + path);
}

} // namespace

BOOST_AUTO_TEST_CASE(every_result_code_is_documented)
{
    const std::string text = page("docs/RESULT-CODES.md");
    for (const ResultCodeInfo &info : ResultCodeTable) {
        const std::string line = "| " + std::to_string(numberOf(info.code_)) + " | " + std::string(info.name_) + " | " + std::string(toText(info.outcome_))
            + " | " + std::to_string(info.httpStatus_) + " | " + std::string(info.text_) + " |";
        BOOST_TEST((text.find(line) != std::string::npos), line);
    }
}

BOOST_AUTO_TEST_CASE(every_system_is_in_the_design_page)
{
    const std::string text = page("docs/DESIGN.md");
    for (const SystemEntry &system : Systems) {
        BOOST_TEST((text.find("`" + std::string(system.name_) + "`") != std::string::npos), system.name_);
    }
}

BOOST_AUTO_TEST_CASE(example_tickets_are_valid_for_their_deployments)
{
    const std::vector<Place> yukiguni{{"sapporo-a", "sapporo"}, {"asahikawa-a", "asahikawa"}, {"hakodate-a", "hakodate"}};
    const std::vector<Place> paroisse{{"pamplemousses", "north"}, {"curepipe", "plateau"}, {"souillac", "south"}};
    checkBudgetRegions(parseTicket(page("examples/yukiguni.json")), yukiguni);
    checkBudgetRegions(parseTicket(page("examples/paroisse.json")), paroisse);
    BOOST_CHECK_THROW(checkBudgetRegions(parseTicket(page("examples/paroisse.json")), yukiguni), Error);
}
