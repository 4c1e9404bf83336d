// radishfordctl: the command line tool for operators.
#include "core/error.h"
#include "ctl/commands.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>

namespace radishford {

namespace {

namespace options = boost::program_options;

// Returns the options of the command line; some apply to a few commands only.
options::options_description describeOptions()
{
    options::options_description description("Options");
    auto add = description.add_options();
    add("help,h", "show this text");
    add("version", "show the version");
    add("admin", options::value<std::string>()->default_value("127.0.0.1:7404"), "admin address of any daemon");
    add("store", options::value<std::string>(), "address of the platform's store");
    add("json", "print JSON");
    add("undo", "drain: end the drain instead of starting it");
    add("author", options::value<std::string>(), "author of a ticket that a command creates");
    add("reason", options::value<std::string>(), "reason of a ticket that a command creates");
    return description;
}

// Prints the help text. It is also the response to an invalid command line.
void printHelp(std::ostream &stream)
{
    stream << "radishfordctl [options] COMMAND\n\nCommands:\n";
    for (const CommandEntry &entry : commandTable()) {
        stream << "  " << entry.name_ << (entry.operands_.empty() ? "" : " ") << entry.operands_ << ": " << entry.help_ << "\n";
    }
    stream << "\n" << describeOptions() << "\nExit codes: 0 done, 1 failed, 2 invalid command line, 3 ticket refused by the daemon.\n";
}

// Finds the command whose name is the first one or two arguments, and returns it with the number of words of its name; nullptr when there is none.
std::pair<const CommandEntry *, std::size_t> findCommand(const std::vector<std::string> &arguments)
{
    for (const CommandEntry &entry : commandTable()) {
        const bool matchesTwoWords = arguments.size() >= 2 && entry.name_ == arguments[0] + " " + arguments[1];
        const bool matchesOneWord = !arguments.empty() && entry.name_ == arguments[0];
        if (matchesTwoWords || matchesOneWord) {
            return {&entry, matchesTwoWords ? 2 : 1};
        }
    }
    return {nullptr, 0};
}

// Returns the value of an option, or the fallback when it was not given.
std::string textOption(const options::variables_map &values, const char *name, const std::string &fallback)
{
    return values.count(name) > 0 ? values[name].as<std::string>() : fallback;
}

// Builds the context of a command from the options and operands. Throws Error when an address is invalid.
CommandContext makeContext(const options::variables_map &values, std::vector<std::string> operands)
{
    const char *user = std::getenv("USER");
    const std::string store = textOption(values, "store", "");
    return CommandContext{CtlClient(parseAddress(values["admin"].as<std::string>())),
                          store.empty() ? Address{} : parseAddress(store),
                          std::move(operands),
                          values.count("json") > 0,
                          values.count("undo") > 0,
                          textOption(values, "author", user == nullptr ? "operator" : user),
                          textOption(values, "reason", "")};
}

// Parses the command line and runs the command.
ExitCode run(int argc, char **argv)
{
    options::options_description all = describeOptions();
    all.add_options()("words", options::value<std::vector<std::string>>());
    options::positional_options_description positions;
    positions.add("words", -1);
    options::variables_map values;
    options::store(options::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
    if (values.count("help") > 0) {
        printHelp(std::cout);
        return ExitCode::Ok;
    }
    if (values.count("version") > 0) {
        std::cout << "radishfordctl " RADISHFORD_VERSION "\n";
        return ExitCode::Ok;
    }
    const std::vector<std::string> arguments = values.count("words") > 0 ? values["words"].as<std::vector<std::string>>() : std::vector<std::string>();
    const auto [command, wordCount] = findCommand(arguments);
    const std::size_t operandCount = arguments.size() - wordCount;
    if (command == nullptr || operandCount < command->requiredOperands_ || (operandCount > command->requiredOperands_ && !command->acceptsMoreOperands_)) {
        printHelp(std::cerr);
        return ExitCode::Usage;
    }
    CommandContext context = makeContext(values, {arguments.begin() + static_cast<std::ptrdiff_t>(wordCount), arguments.end()});
    return command->run_(context);
}

} // namespace

} // namespace radishford

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    using radishford::ExitCode;
    try {
        return static_cast<int>(radishford::run(argc, argv));
    } catch (const options::error &error) {
        std::cerr << "radishfordctl: " << error.what() << "\n";
        return static_cast<int>(ExitCode::Usage);
    } catch (const std::exception &error) {
        std::cerr << "radishfordctl: error " << error.what() << "\n";
        return static_cast<int>(ExitCode::Failed);
    }
}
