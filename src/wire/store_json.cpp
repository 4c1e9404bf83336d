// Requests to the platform's table service as JSON transactions.
#include "wire/store_json.h"

#include "wire/json_reader.h"
#include "wire/ticket_json.h"

#include <boost/json.hpp>

#include <charconv>

namespace radishford {

namespace json = boost::json;

namespace {

// Digits of the ticket number in a row key; leading zeros make keys sort by number.
constexpr std::size_t TicketNumberDigits = 20;
// Maximum number of tickets in one read.
constexpr int MaxTicketsPerRead = 200;
constexpr const char *TicketPrefix = "ticket/";
constexpr const char *ClaimPrefix = "claim/";

// Encodes the value of a claim row.
std::string claimToJson(const ClaimValue &value)
{
    const json::object object{{"call", value.callToken_}, {"owner", value.owner_}, {"fingerprint", std::to_string(value.fingerprint_.value())}};
    return json::serialize(object);
}

// Decodes the value of a claim row. Throws Error with MessageMalformed when the fingerprint is not a number.
ClaimValue claimFromJson(const std::string &text)
{
    const json::value parsed = parseJson(text, "claim");
    JsonReader reader(parsed, "claim");
    ClaimValue value;
    value.callToken_ = reader.text("call");
    value.owner_ = reader.text("owner");
    const std::string fingerprint = reader.text("fingerprint");
    std::uint64_t number = 0;
    const char *const end = fingerprint.data() + fingerprint.size();
    const auto result = std::from_chars(fingerprint.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end) {
        throw Error(ResultCode::MessageMalformed, "claim.fingerprint \"" + fingerprint + "\"");
    }
    value.fingerprint_ = Fingerprint(number);
    return value;
}

// Creates the transaction steps of an operation; one overload for each type.
json::array transactionSteps(const ClaimInsertBatch &operation)
{
    json::array steps;
    for (const ClaimInsert &claim : operation.claims_) {
        steps.push_back(json::object{{"op", "insert"}, {"key", ClaimPrefix + claim.key_}, {"value", claimToJson(claim.value_)}});
    }
    return steps;
}

json::array transactionSteps(const ClaimReplace &operation)
{
    return {json::object{
        {"op", "replace"}, {"key", ClaimPrefix + operation.key_}, {"expected", claimToJson(operation.expected_)}, {"value", claimToJson(operation.value_)}}};
}

json::array transactionSteps(const ClaimDelete &operation)
{
    return {json::object{{"op", "delete"}, {"key", ClaimPrefix + operation.key_}, {"expected", claimToJson(operation.expected_)}}};
}

json::array transactionSteps(const TicketInsert &operation)
{
    const std::string value = json::serialize(toJson(operation.ticket_));
    return {json::object{{"op", "insert"}, {"key", ticketRowKey(operation.ticket_.number_)}, {"value", value}}};
}

json::array transactionSteps(const TicketRead &operation)
{
    return {json::object{{"op", "scan"}, {"prefix", TicketPrefix}, {"from", ticketRowKey(operation.from_)}, {"limit", MaxTicketsPerRead}}};
}

// Reads a ticket row through a conditional delete. It expects an empty value, which no ticket has, so that nothing is deleted and the
// response contains the current row.
json::array transactionSteps(const TicketVerify &operation)
{
    return {json::object{{"op", "delete"}, {"key", ticketRowKey(operation.number_)}, {"expected", ""}}};
}

// The native table service stores only tickets and claims. A desired state and a list of daemons exist only in the platform's store.
template<typename Operation>
json::array transactionSteps(const Operation & /*operation*/)
{
    throw Error(ResultCode::UnknownKey, "operation not supported by the table service");
}

// Decodes the result of one claim step.
ClaimResult claimResultFromJson(const json::value &value)
{
    JsonReader reader(value, "result");
    ClaimResult result;
    result.wasApplied_ = reader.boolean("done", false);
    if (!result.wasApplied_ && reader.has("current")) {
        result.existingRow_ = claimFromJson(reader.text("current"));
    }
    return result;
}

// Decodes the results of all claim steps.
StoreResponse decodeClaimResults(const std::vector<json::value> &results)
{
    StoreResponse response;
    for (const json::value &result : results) {
        response.claims_.push_back(claimResultFromJson(result));
    }
    response.ok_ = true;
    return response;
}

// Decodes the results of an operation; one overload for each type.
StoreResponse decodeResults(const ClaimInsertBatch & /*operation*/, const std::vector<json::value> &results)
{
    return decodeClaimResults(results);
}

StoreResponse decodeResults(const ClaimReplace & /*operation*/, const std::vector<json::value> &results)
{
    return decodeClaimResults(results);
}

StoreResponse decodeResults(const ClaimDelete & /*operation*/, const std::vector<json::value> &results)
{
    return decodeClaimResults(results);
}

StoreResponse decodeResults(const TicketInsert & /*operation*/, const std::vector<json::value> &results)
{
    StoreResponse response;
    for (const json::value &result : results) {
        JsonReader reader(result, "result");
        response.wasInserted_ = reader.boolean("done", false);
        if (!response.wasInserted_ && reader.has("current")) {
            response.tickets_.push_back(parseTicket(reader.text("current")));
        }
    }
    response.ok_ = true;
    return response;
}

StoreResponse decodeResults(const TicketVerify & /*operation*/, const std::vector<json::value> &results)
{
    return decodeResults(TicketInsert{}, results);
}

StoreResponse decodeResults(const TicketRead & /*operation*/, const std::vector<json::value> &results)
{
    StoreResponse response;
    for (const json::value &result : results) {
        JsonReader reader(result, "result");
        for (const std::string &row : reader.texts("values")) {
            response.tickets_.push_back(parseTicket(row));
        }
    }
    response.ok_ = true;
    return response;
}

// Operations that the native table service does not support are never sent and have no response.
template<typename Operation>
StoreResponse decodeResults(const Operation & /*operation*/, const std::vector<json::value> & /*results*/)
{
    return StoreResponse{};
}

} // namespace

std::string storeRequestToJson(const StoreOperation &operation)
{
    const json::array steps = std::visit([](const auto &body) { return transactionSteps(body); }, operation);
    return json::serialize(json::object{{"steps", steps}});
}

StoreResponse parseStoreResponse(const StoreOperation &operation, const std::string &text)
{
    const json::value parsed = parseJson(text, "store answer");
    JsonReader reader(parsed, "store answer");
    const std::vector<json::value> results = reader.list("results");
    return std::visit([&](const auto &body) { return decodeResults(body, results); }, operation);
}

std::string ticketRowKey(TicketNumber number)
{
    const std::string digits = std::to_string(number.value());
    return TicketPrefix + std::string(TicketNumberDigits - std::min(TicketNumberDigits, digits.size()), '0') + digits;
}

} // namespace radishford
