// Reconstructs the timeline of one request from the log lines of all daemons that handled it.
#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <utility>
#include <vector>

namespace radishford {

// One parsed log line.
struct LogLine {
    // Wall clock time of the daemon that wrote it; the clocks of daemons differ slightly.
    std::int64_t timeMs_ = 0;
    std::string instance_;
    std::string event_;
    // Id of the request; empty for changes of state.
    std::string request_;
    // All other fields, in the order of the line.
    std::vector<std::pair<std::string, std::string>> fields_;

    // Returns the value of a field; empty when the line lacks it.
    [[nodiscard]] std::string field(const std::string &name) const;
};

// Log lines that explain what happened to one request.
struct RequestTimeline {
    std::string request_;
    // Lines about the request and about calls made while it ran, ordered by time.
    std::vector<LogLine> lines_;
    // Changes of state on the daemons involved, from shortly before the first line until shortly after the last.
    std::vector<LogLine> changes_;
    // Number of lines that these daemons dropped in the same period; when it is not zero, the timeline may be incomplete.
    std::int64_t droppedLines_ = 0;
};

// Collects log lines of any number of daemons.
class LogReader
{
public:
    // Adds all lines of a stream. Text before the JSON object is skipped, and so are lines without such an object.
    void add(std::istream &stream);

    // Returns the timeline of a request; it has no lines when the log does not mention the request.
    [[nodiscard]] RequestTimeline timelineOf(const std::string &request) const;

private:
    std::vector<LogLine> lines_;
};

// Formats the timeline as text: events with time and daemon, then a conclusion.
std::string toText(const RequestTimeline &timeline);

} // namespace radishford
