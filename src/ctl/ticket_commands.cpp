// Commands that check, create, submit and show tickets.
#include "core/error.h"
#include "ctl/commands.h"
#include "ctl/output.h"
#include "net/span_buffer.h"
#include "wire/json_reader.h"
#include "wire/ticket_json.h"

#include <iostream>
#include <random>

namespace radishford {

namespace json = boost::json;

namespace {

// Returns a random id of 128 bits that identifies a submission.
std::string makeSubmissionId()
{
    std::random_device device;
    const std::uint64_t high = (static_cast<std::uint64_t>(device()) << 32U) | device();
    const std::uint64_t low = (static_cast<std::uint64_t>(device()) << 32U) | device();
    return toHex(high) + toHex(low);
}

// Parses a ticket file. The number is optional; submitTicket() assigns the next one.
Ticket readTicketFile(const std::string &path)
{
    return parseTicket(readFile(path));
}

// Sets the number of a ticket and of all its objects.
void assignNumber(Ticket &ticket, std::uint64_t number)
{
    ticket.number_ = TicketNumber(number);
    for (TicketObject &object : ticket.objects_) {
        object.number_ = ticket.number_;
    }
}

// Returns the active object of the same kind and name; null when there is none.
json::value findActiveObject(const json::value &objects, const TicketObject &object)
{
    for (const json::value &row : objects.at("objects").as_array()) {
        if (row.at("kind").as_string() == objectKindName(object.spec_) && row.at("name").as_string() == object.name_) {
            return row;
        }
    }
    return nullptr;
}

// Appends the differences between two JSON values as rows of path, old value and new value.
// Objects are compared by key, arrays of equal length by index, and all other values as a whole.
void addChanges(std::vector<std::vector<std::string>> &rows, const std::string &path, const json::value &before, const json::value &after)
{
    if (before == after) {
        return;
    }
    if (before.is_object() && after.is_object()) {
        for (const auto &member : after.as_object()) {
            const json::value *previous = before.as_object().if_contains(member.key());
            addChanges(rows, path + "." + std::string(member.key()), previous == nullptr ? json::value() : *previous, member.value());
        }
        for (const auto &member : before.as_object()) {
            if (!after.as_object().contains(member.key())) {
                rows.push_back({path + "." + std::string(member.key()), plainText(member.value()), "(removed)"});
            }
        }
        return;
    }
    const bool haveSameLength = before.is_array() && after.is_array() && before.as_array().size() == after.as_array().size();
    if (haveSameLength) {
        for (std::size_t index = 0; index < after.as_array().size(); ++index) {
            addChanges(rows, path + "[" + std::to_string(index) + "]", before.as_array()[index], after.as_array()[index]);
        }
        return;
    }
    rows.push_back({path, before.is_null() ? "(none)" : plainText(before), plainText(after)});
}

// Returns the differences between a ticket and the active objects.
std::vector<std::vector<std::string>> collectChanges(const json::value &objects, const Ticket &ticket)
{
    std::vector<std::vector<std::string>> rows;
    for (const TicketObject &object : ticket.objects_) {
        json::value after = toJson(object);
        json::value before = findActiveObject(objects, object);
        after.as_object().erase("number");
        if (before.is_object()) {
            before.as_object().erase("number");
        }
        addChanges(rows, std::string(objectKindName(object.spec_)) + " " + object.name_, before, after);
    }
    return rows;
}

// Prints the differences between a ticket and the active objects.
void printChanges(const json::value &objects, const Ticket &ticket, bool asJson)
{
    const auto rows = collectChanges(objects, ticket);
    if (asJson) {
        json::array list;
        for (const auto &row : rows) {
            list.push_back(json::object{{"field", row[0]}, {"in_force", row[1]}, {"ticket", row[2]}});
        }
        printJson(json::object{{"in_force", objects.at("ticket")}, {"changes", list}});
        return;
    }
    std::cout << "active: ticket " << objects.at("ticket") << "\n";
    if (rows.empty()) {
        std::cout << "the ticket changes nothing\n";
        return;
    }
    printTable(TextTable{{"FIELD", "IN FORCE", "TICKET"}, rows});
}

// Submits a ticket and prints the outcome. Fills in the number and the submission id when they are missing.
ExitCode submitTicket(CommandContext &context, Ticket ticket)
{
    if (ticket.number_.value() == 0) {
        assignNumber(ticket, json::value_to<std::uint64_t>(context.client_.get("/status").at("ticket")) + 1);
    }
    if (ticket.submission_.empty()) {
        ticket.submission_ = makeSubmissionId();
    }
    const json::value response = context.client_.submit(ticket);
    const bool accepted = json::value_to<std::uint16_t>(response.at("code")) == numberOf(ResultCode::Ok);
    if (context.json_) {
        printJson(response);
    } else if (accepted) {
        std::cout << "ticket " << ticket.number_.value() << " accepted\n";
    } else {
        std::cout << "refused: " << response.at("code") << " " << plainText(response.at("text")) << "\n";
        if (const json::value *holder = response.as_object().if_contains("holder")) {
            std::cout << "ticket " << holder->at("number") << " is by " << plainText(holder->at("author")) << ": " << plainText(holder->at("reason")) << "\n";
        }
        printChanges(context.client_.get("/objects"), ticket, false);
    }
    return accepted ? ExitCode::Ok : ExitCode::Refused;
}

// Creates a ticket with one object from the command line's options.
Ticket makeTicket(const CommandContext &context, const std::string &fallbackReason, TicketObject object)
{
    Ticket ticket;
    ticket.author_ = context.author_;
    ticket.reason_ = context.reason_.empty() ? fallbackReason : context.reason_;
    ticket.objects_.push_back(std::move(object));
    return ticket;
}

// Returns number, author, reason and objects of a ticket as a table row.
std::vector<std::string> summaryRow(const Ticket &ticket)
{
    std::string objects;
    for (const TicketObject &object : ticket.objects_) {
        objects += (objects.empty() ? "" : ", ") + std::string(objectKindName(object.spec_)) + " " + object.name_;
    }
    return {std::to_string(ticket.number_.value()), ticket.author_, ticket.reason_, objects};
}

// Reads tickets from the store. Throws Error with MissingKey when no store address was given.
std::vector<Ticket> readTicketsFromStore(CommandContext &context, TicketNumber from)
{
    if (context.store_.port_ == 0) {
        throw Error(ResultCode::MissingKey, "--store");
    }
    return context.client_.readTickets(context.store_, from);
}

} // namespace

ExitCode runTicketCheck(CommandContext &context)
{
    const Ticket ticket = readTicketFile(context.operands_.front());
    if (context.json_) {
        printJson(toJson(ticket));
    } else {
        printTable(TextTable{{"NUMBER", "AUTHOR", "REASON", "OBJECTS"}, {summaryRow(ticket)}});
        std::cout << "the ticket is valid\n";
    }
    return ExitCode::Ok;
}

ExitCode runTicketSubmit(CommandContext &context)
{
    return submitTicket(context, readTicketFile(context.operands_.front()));
}

ExitCode runTicketShow(CommandContext &context)
{
    const TicketNumber number(std::stoull(context.operands_.front()));
    const std::vector<Ticket> tickets = readTicketsFromStore(context, number);
    if (tickets.empty() || tickets.front().number_ != number) {
        throw Error(ResultCode::TicketMissing, context.operands_.front());
    }
    std::cout << json::serialize(toJson(tickets.front())) << "\n";
    return ExitCode::Ok;
}

ExitCode runTicketLog(CommandContext &context)
{
    TextTable table{{"NUMBER", "AUTHOR", "REASON", "OBJECTS"}, {}};
    json::array list;
    TicketNumber from(1);
    for (;;) {
        const std::vector<Ticket> tickets = readTicketsFromStore(context, from);
        if (tickets.empty()) {
            break;
        }
        for (const Ticket &ticket : tickets) {
            table.rows_.push_back(summaryRow(ticket));
            list.push_back(toJson(ticket));
        }
        from = TicketNumber(tickets.back().number_.value() + 1);
    }
    if (context.json_) {
        printJson(list);
    } else {
        printTable(table);
    }
    return ExitCode::Ok;
}

ExitCode runTicketDiff(CommandContext &context)
{
    printChanges(context.client_.get("/objects"), readTicketFile(context.operands_.front()), context.json_);
    return ExitCode::Ok;
}

ExitCode runDrain(CommandContext &context)
{
    const std::string &instance = context.operands_.front();
    const std::string reason = (context.undo_ ? "end of drain of " : "drain of ") + instance;
    return submitTicket(context, makeTicket(context, reason, TicketObject{instance, TicketNumber(), DrainSpec{!context.undo_}}));
}

ExitCode runQuarantineRelease(CommandContext &context)
{
    const std::string &fingerprint = context.operands_.front();
    return submitTicket(context, makeTicket(context, "release of " + fingerprint, TicketObject{fingerprint, TicketNumber(), QuarantineSpec{false}}));
}

} // namespace radishford
