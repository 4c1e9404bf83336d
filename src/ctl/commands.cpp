// The command table and shell completion.
#include "ctl/commands.h"

#include <iostream>
#include <map>

namespace radishford {

namespace {

// Options that shell completion suggests.
constexpr const char *Options = "--admin --store --json --undo --author --reason --help --version";

} // namespace

const std::vector<CommandEntry> &commandTable()
{
    static const std::vector<CommandEntry> Commands{
        {"ticket check", "FILE", 1, "check a ticket file without asking any daemon", runTicketCheck},
        {"ticket submit", "FILE", 1, "submit a ticket; without a number it gets the next one", runTicketSubmit},
        {"ticket show", "NUMBER", 1, "show one ticket of the store (needs --store)", runTicketShow},
        {"ticket log", "", 0, "list all tickets of the store (needs --store)", runTicketLog},
        {"ticket diff", "FILE", 1, "show what a ticket would change", runTicketDiff},
        {"status", "", 0, "show the active ticket in each failure domain, and which instances are behind", runStatus},
        {"members", "", 0, "list the instances that the daemon knows", runMembers},
        {"drain", "INSTANCE", 1, "submit a ticket that stops new work for an instance (--undo ends the drain)", runDrain},
        {"explain", "ID [FILE...]", 1, "show why a call ended as it did, from the daemons' spans or from log files (- for standard input)", runExplain, true},
        {"budget", "", 0, "show traffic by purpose and region pair against the measuring budget", runBudgetReport},
        {"quarantine list", "", 0, "list suspected and quarantined requests", runQuarantineList},
        {"quarantine release", "FINGERPRINT", 1, "submit a ticket that releases a request from quarantine", runQuarantineRelease},
        {"completion", "", 0, "print a completion script for bash", runCompletion},
    };
    return Commands;
}

ExitCode runCompletion(CommandContext & /*context*/)
{
    std::map<std::string, std::string> groups;
    std::string groupNames;
    for (const CommandEntry &entry : commandTable()) {
        const std::string words(entry.name_);
        const std::size_t separator = words.find(' ');
        const std::string group = words.substr(0, separator);
        const bool isKnown = groups.contains(group);
        groupNames += isKnown ? "" : group + " ";
        groups[group] += separator == std::string::npos ? "" : words.substr(separator + 1) + " ";
    }
    std::cout << "_radishfordctl() {\n    local words=\"\" previous\n";
    std::cout << "    for previous in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do case \"$previous\" in\n";
    for (const auto &[group, words] : groups) {
        if (!words.empty()) {
            std::cout << "        " << group << ") words=\"" << words << "\" ;;\n";
        }
    }
    std::cout << "    esac; done\n    [ -n \"$words\" ] || words=\"" << groupNames << Options << "\"\n";
    std::cout << "    COMPREPLY=($(compgen -f -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n";
    std::cout << "complete -F _radishfordctl radishfordctl\n";
    return ExitCode::Ok;
}

} // namespace radishford
