// Commands about tickets.
#include "core/error.h"
#include "ctl/commands.h"
#include "ctl/output.h"
#include "net/span_ring.h"
#include "wire/json_reader.h"
#include "wire/ticket_json.h"

#include <iostream>
#include <random>

namespace radishford {

namespace json = boost::json;

namespace {

// Draws an id that tells this submission from all others.
std::string drawSubmission()
{
    std::random_device device;
    const std::uint64_t high = (static_cast<std::uint64_t>(device()) << 32U) | device();
    const std::uint64_t low = (static_cast<std::uint64_t>(device()) << 32U) | device();
    return toHex(high) + toHex(low);
}

// Reads a ticket file. The number may be left out: then the next one is taken.
Ticket readTicket(const std::string &path)
{
    return parseTicket(readFile(path));
}

// Gives a ticket a number and sets it on its objects.
void setNumber(Ticket &ticket, std::uint64_t number)
{
    ticket.number_ = TicketNumber(number);
    for (TicketObject &object : ticket.objects_) {
        object.number_ = ticket.number_;
    }
}

// The object in force of the same kind and name; null when there is none.
json::value inForce(const json::value &objects, const TicketObject &object)
{
    for (const json::value &row : objects.at("objects").as_array()) {
        if (row.at("kind").as_string() == kindName(object.spec_) && row.at("name").as_string() == object.name_) {
            return row;
        }
    }
    return nullptr;
}

// Changes of one field, below a path; lists of named entries are compared by name.
void addChanges(std::vector<std::vector<std::string>> &rows, const std::string &path, const json::value &before, const json::value &after)
{
    if (before == after) {
        return;
    }
    if (before.is_object() && after.is_object()) {
        for (const auto &member : after.as_object()) {
            const json::value *old = before.as_object().if_contains(member.key());
            addChanges(rows, path + "." + std::string(member.key()), old == nullptr ? json::value() : *old, member.value());
        }
        for (const auto &member : before.as_object()) {
            if (!after.as_object().contains(member.key())) {
                rows.push_back({path + "." + std::string(member.key()), plainText(member.value()), "(removed)"});
            }
        }
        return;
    }
    const bool lists = before.is_array() && after.is_array() && before.as_array().size() == after.as_array().size();
    if (lists) {
        for (std::size_t index = 0; index < after.as_array().size(); ++index) {
            addChanges(rows, path + "[" + std::to_string(index) + "]", before.as_array()[index], after.as_array()[index]);
        }
        return;
    }
    rows.push_back({path, before.is_null() ? "(none)" : plainText(before), plainText(after)});
}

// What a ticket changes against what is in force.
std::vector<std::vector<std::string>> changesOf(const json::value &objects, const Ticket &ticket)
{
    std::vector<std::vector<std::string>> rows;
    for (const TicketObject &object : ticket.objects_) {
        json::value after = toJson(object);
        json::value before = inForce(objects, object);
        after.as_object().erase("number");
        if (before.is_object()) {
            before.as_object().erase("number");
        }
        addChanges(rows, std::string(kindName(object.spec_)) + " " + object.name_, before, after);
    }
    return rows;
}

// Prints what a ticket changes.
void printChanges(const json::value &objects, const Ticket &ticket, bool asJson)
{
    const auto rows = changesOf(objects, ticket);
    if (asJson) {
        json::array list;
        for (const auto &row : rows) {
            list.push_back(json::object{{"field", row[0]}, {"in_force", row[1]}, {"ticket", row[2]}});
        }
        printJson(json::object{{"in_force", objects.at("ticket")}, {"changes", list}});
        return;
    }
    std::cout << "in force: ticket " << objects.at("ticket") << "\n";
    if (rows.empty()) {
        std::cout << "the ticket changes nothing\n";
        return;
    }
    printTable(TextTable{{"FIELD", "IN FORCE", "TICKET"}, rows});
}

// Submits a ticket and prints the outcome.
ExitCode submit(CommandContext &context, Ticket ticket)
{
    if (ticket.number_.value() == 0) {
        setNumber(ticket, json::value_to<std::uint64_t>(context.client_.get("/status").at("ticket")) + 1);
    }
    if (ticket.submission_.empty()) {
        ticket.submission_ = drawSubmission();
    }
    const json::value answer = context.client_.submit(ticket);
    const bool accepted = json::value_to<std::uint16_t>(answer.at("code")) == numberOf(ResultCode::Ok);
    if (context.json_) {
        printJson(answer);
    } else if (accepted) {
        std::cout << "ticket " << ticket.number_.value() << " accepted\n";
    } else {
        std::cout << "refused: " << answer.at("code") << " " << plainText(answer.at("text")) << "\n";
        if (const json::value *holder = answer.as_object().if_contains("holder")) {
            std::cout << "ticket " << holder->at("number") << " is by " << plainText(holder->at("author")) << ": " << plainText(holder->at("reason")) << "\n";
        }
        printChanges(context.client_.get("/objects"), ticket, false);
    }
    return accepted ? ExitCode::Ok : ExitCode::Refused;
}

// A ticket of the command line's own with one object.
Ticket makeTicket(const CommandContext &context, const std::string &fallbackReason, TicketObject object)
{
    Ticket ticket;
    ticket.author_ = context.author_;
    ticket.reason_ = context.reason_.empty() ? fallbackReason : context.reason_;
    ticket.objects_.push_back(std::move(object));
    return ticket;
}

// One ticket in a few words.
std::vector<std::string> summaryOf(const Ticket &ticket)
{
    std::string objects;
    for (const TicketObject &object : ticket.objects_) {
        objects += (objects.empty() ? "" : ", ") + std::string(kindName(object.spec_)) + " " + object.name_;
    }
    return {std::to_string(ticket.number_.value()), ticket.author_, ticket.reason_, objects};
}

// Tickets of the store; throws when no store address was given.
std::vector<Ticket> readStore(CommandContext &context, TicketNumber from)
{
    if (context.store_.port_ == 0) {
        throw Error(ResultCode::MissingKey, "--store");
    }
    return context.client_.readTickets(context.store_, from);
}

} // namespace

ExitCode runTicketCheck(CommandContext &context)
{
    const Ticket ticket = readTicket(context.operands_.front());
    if (context.json_) {
        printJson(toJson(ticket));
    } else {
        printTable(TextTable{{"NUMBER", "AUTHOR", "REASON", "OBJECTS"}, {summaryOf(ticket)}});
        std::cout << "the ticket is valid\n";
    }
    return ExitCode::Ok;
}

ExitCode runTicketSubmit(CommandContext &context)
{
    return submit(context, readTicket(context.operands_.front()));
}

ExitCode runTicketShow(CommandContext &context)
{
    const TicketNumber number(std::stoull(context.operands_.front()));
    const std::vector<Ticket> tickets = readStore(context, number);
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
        const std::vector<Ticket> tickets = readStore(context, from);
        if (tickets.empty()) {
            break;
        }
        for (const Ticket &ticket : tickets) {
            table.rows_.push_back(summaryOf(ticket));
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
    printChanges(context.client_.get("/objects"), readTicket(context.operands_.front()), context.json_);
    return ExitCode::Ok;
}

ExitCode runDrain(CommandContext &context)
{
    const std::string &instance = context.operands_.front();
    const std::string reason = (context.undo_ ? "end of drain of " : "drain of ") + instance;
    return submit(context, makeTicket(context, reason, TicketObject{instance, TicketNumber(), DrainSpec{!context.undo_}}));
}

ExitCode runQuarantineRelease(CommandContext &context)
{
    const std::string &fingerprint = context.operands_.front();
    return submit(context, makeTicket(context, "release of " + fingerprint, TicketObject{fingerprint, TicketNumber(), QuarantineSpec{false}}));
}

} // namespace radishford
