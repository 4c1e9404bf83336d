// Requests to the platform's table service as JSON transactions.
#include "wire/store_json.h"

#include "wire/json_reader.h"
#include "wire/ticket_json.h"

#include <boost/json.hpp>

namespace radishford {

namespace json = boost::json;

namespace {

// Digits of a ticket's number in its key.
constexpr std::size_t NumberDigits = 20;
// Tickets of one read.
constexpr int ReadLimit = 200;
constexpr const char *TicketPrefix = "ticket/";
constexpr const char *ClaimPrefix = "claim/";

// Text of a claim row.
std::string claimText(const ClaimValue &value)
{
    const json::object object{{"call", value.callToken_}, {"owner", value.owner_}, {"fingerprint", std::to_string(value.fingerprint_.value())}};
    return json::serialize(object);
}

// Reads a claim row.
ClaimValue parseClaim(const std::string &text)
{
    const json::value parsed = parseJson(text, "claim");
    JsonReader reader(parsed, "claim");
    ClaimValue value;
    value.callToken_ = reader.text("call");
    value.owner_ = reader.text("owner");
    value.fingerprint_ = Fingerprint(std::stoull(reader.text("fingerprint")));
    return value;
}

// Writes the steps of each operation.
json::array stepsOf(const ClaimInsertBatch &operation)
{
    json::array steps;
    for (const ClaimInsert &claim : operation.claims_) {
        steps.push_back(json::object{{"op", "insert"}, {"key", ClaimPrefix + claim.key_}, {"value", claimText(claim.value_)}});
    }
    return steps;
}

json::array stepsOf(const ClaimReplace &operation)
{
    return {json::object{
        {"op", "replace"}, {"key", ClaimPrefix + operation.key_}, {"expected", claimText(operation.expected_)}, {"value", claimText(operation.value_)}}};
}

json::array stepsOf(const ClaimDelete &operation)
{
    return {json::object{{"op", "delete"}, {"key", ClaimPrefix + operation.key_}, {"expected", claimText(operation.expected_)}}};
}

json::array stepsOf(const TicketInsert &operation)
{
    const std::string value = json::serialize(toJson(operation.ticket_));
    return {json::object{{"op", "insert"}, {"key", ticketRowKey(operation.ticket_.number_)}, {"value", value}}};
}

json::array stepsOf(const TicketRead &operation)
{
    return {json::object{{"op", "scan"}, {"prefix", TicketPrefix}, {"from", ticketRowKey(operation.from_)}, {"limit", ReadLimit}}};
}

// Deletes a row only if it has a value that no ticket has: the answer shows the row, and nothing changes.
json::array stepsOf(const TicketVerify &operation)
{
    return {json::object{{"op", "delete"}, {"key", ticketRowKey(operation.number_)}, {"expected", ""}}};
}

// The table service in the product's own form holds tickets; a desired state and a list of daemons come from the platform's.
template<typename Operation>
json::array stepsOf(const Operation & /*operation*/)
{
    throw Error(ResultCode::UnknownKey, "operation that the table service does not take");
}

// Reads one result of a claim's step.
ClaimResult claimResult(const json::value &value)
{
    JsonReader reader(value, "result");
    ClaimResult result;
    result.done_ = reader.flag("done", false);
    if (!result.done_ && reader.has("current")) {
        result.current_ = parseClaim(reader.text("current"));
    }
    return result;
}

// Reads the results of claims' steps.
StoreAnswer claimAnswer(const std::vector<json::value> &results)
{
    StoreAnswer answer;
    for (const json::value &result : results) {
        answer.claims_.push_back(claimResult(result));
    }
    answer.ok_ = true;
    return answer;
}

// Reads results by the kind of operation.
StoreAnswer answerOf(const ClaimInsertBatch & /*operation*/, const std::vector<json::value> &results)
{
    return claimAnswer(results);
}

StoreAnswer answerOf(const ClaimReplace & /*operation*/, const std::vector<json::value> &results)
{
    return claimAnswer(results);
}

StoreAnswer answerOf(const ClaimDelete & /*operation*/, const std::vector<json::value> &results)
{
    return claimAnswer(results);
}

StoreAnswer answerOf(const TicketInsert & /*operation*/, const std::vector<json::value> &results)
{
    StoreAnswer answer;
    for (const json::value &result : results) {
        JsonReader reader(result, "result");
        answer.inserted_ = reader.flag("done", false);
        if (!answer.inserted_ && reader.has("current")) {
            answer.tickets_.push_back(parseTicket(reader.text("current")));
        }
    }
    answer.ok_ = true;
    return answer;
}

StoreAnswer answerOf(const TicketVerify & /*operation*/, const std::vector<json::value> &results)
{
    return answerOf(TicketInsert{}, results);
}

StoreAnswer answerOf(const TicketRead & /*operation*/, const std::vector<json::value> &results)
{
    StoreAnswer answer;
    for (const json::value &result : results) {
        JsonReader reader(result, "result");
        for (const std::string &row : reader.texts("values")) {
            answer.tickets_.push_back(parseTicket(row));
        }
    }
    answer.ok_ = true;
    return answer;
}

// Operations that are never sent have no answer.
template<typename Operation>
StoreAnswer answerOf(const Operation & /*operation*/, const std::vector<json::value> & /*results*/)
{
    return StoreAnswer{};
}

} // namespace

std::string storeRequestText(const StoreOperation &operation)
{
    const json::array steps = std::visit([](const auto &body) { return stepsOf(body); }, operation);
    return json::serialize(json::object{{"steps", steps}});
}

StoreAnswer parseStoreAnswer(const StoreOperation &operation, const std::string &text)
{
    const json::value parsed = parseJson(text, "store answer");
    JsonReader reader(parsed, "store answer");
    const std::vector<json::value> results = reader.list("results");
    return std::visit([&](const auto &body) { return answerOf(body, results); }, operation);
}

std::string ticketRowKey(TicketNumber number)
{
    const std::string digits = std::to_string(number.value());
    return TicketPrefix + std::string(NumberDigits - std::min(NumberDigits, digits.size()), '0') + digits;
}

} // namespace radishford
