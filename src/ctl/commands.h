// Commands of radishfordctl.
#pragma once

#include "ctl/ctl_client.h"

#include <string>
#include <string_view>
#include <vector>

namespace radishford {

// Options, operands and connections of one invocation.
struct CommandContext {
    CtlClient client_;
    // Address of the platform's store; port zero when --store was not given.
    Address store_;
    // Arguments after the name of the command.
    std::vector<std::string> operands_;
    // True when output is JSON instead of tables.
    bool json_ = false;
    // True when drain ends a drain instead of starting it.
    bool undo_ = false;
    std::string author_;
    std::string reason_;
};

// Exit codes of radishfordctl.
enum class ExitCode : int {
    Ok = 0, // Done.
    Failed = 1, // A daemon, the store or a file could not be reached or read, or nothing was found.
    Usage = 2, // The command line is invalid.
    Refused = 3, // The daemon refused the ticket.
};

// Describes one command and the function that runs it.
struct CommandEntry {
    // Name of the command: one or two words, separated by one space.
    std::string_view name_;
    // Operands as the help text shows them.
    std::string_view operands_;
    // Number of operands that the command requires.
    std::size_t requiredOperands_;
    std::string_view help_;
    ExitCode (*run_)(CommandContext &);
    // True when further operands are accepted.
    bool acceptsMoreOperands_ = false;
};

// Returns all commands, in the order of the help text.
const std::vector<CommandEntry> &commandTable();

// Commands that check, submit and show tickets.
ExitCode runTicketCheck(CommandContext &context);
ExitCode runTicketSubmit(CommandContext &context);
ExitCode runTicketShow(CommandContext &context);
ExitCode runTicketLog(CommandContext &context);
ExitCode runTicketDiff(CommandContext &context);

// Commands that create and submit a ticket.
ExitCode runDrain(CommandContext &context);
ExitCode runQuarantineRelease(CommandContext &context);

// Commands that show the state of the fleet.
ExitCode runStatus(CommandContext &context);
ExitCode runMembers(CommandContext &context);
ExitCode runExplain(CommandContext &context);
ExitCode runBudgetReport(CommandContext &context);
ExitCode runQuarantineList(CommandContext &context);

// Prints a completion script for bash.
ExitCode runCompletion(CommandContext &context);

} // namespace radishford
