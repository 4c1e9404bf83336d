// Structured log lines on standard output, by log4cplus.
#include "daemon/log.h"

#include "core/token_bucket.h"

#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <boost/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <chrono>

namespace radishford {

namespace json = boost::json;

namespace {

// Lines about requests that one daemon writes in a second, and at once after a pause: about a tenth of a busy daemon's calls.
constexpr double LinesPerSecond = 50.0;
constexpr double LineBurst = 200.0;
// A pipe that takes anything takes this much without blocking.
constexpr std::size_t MostLineBytes = 4096;

// State of this process's log.
struct LogState {
    std::string instance_;
    TokenBucket decisions_;
    std::uint64_t dropped_ = 0;
    // Dropped lines that were told in a line.
    std::uint64_t told_ = 0;
};

LogState &state()
{
    static LogState log;
    return log;
}

// The process's logger.
log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("radishford"));
}

// Writes to standard output only what it takes at once; the rest is dropped and counted.
class UnblockedAppender : public log4cplus::Appender
{
public:
    ~UnblockedAppender() override
    {
        destructorImpl();
    }

    void close() override
    {
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        const std::string line = LOG4CPLUS_TSTRING_TO_STRING(event.getMessage()) + "\n";
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        const bool ready = poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        const bool taken = ready && line.size() <= MostLineBytes && write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
        state().dropped_ += taken ? 0 : 1;
    }
};

// Milliseconds since the Unix epoch.
std::int64_t unixMillis()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// Writes one object.
void writeLine(const json::object &line)
{
    LOG4CPLUS_INFO(logger(), LOG4CPLUS_STRING_TO_TSTRING(json::serialize(line)));
}

// The fields that every line has.
json::object startLine(std::string_view event)
{
    return json::object{{"time_ms", unixMillis()}, {"instance", state().instance_}, {"event", event}};
}

// Tells of lines that were dropped since the last such line.
void tellDropped()
{
    LogState &log = state();
    if (log.dropped_ == log.told_) {
        return;
    }
    json::object line = startLine("lines_dropped");
    line["count"] = log.dropped_ - log.told_;
    log.told_ = log.dropped_;
    writeLine(line);
}

} // namespace

void startLog(const std::string &instance)
{
    state().instance_ = instance;
    log4cplus::SharedAppenderPtr appender(new UnblockedAppender());
    logger().addAppender(appender);
    logger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void logChange(const std::string &text)
{
    json::object line = startLine("change");
    line["text"] = text;
    writeLine(line);
}

void logDecision(const LogDecision &effect, Millis now)
{
    LogState &log = state();
    log.decisions_.setRate(LinesPerSecond, LineBurst, now);
    if (!log.decisions_.take(1, now)) {
        ++log.dropped_;
        return;
    }
    tellDropped();
    json::object line = startLine(effect.event_);
    line["request"] = effect.request_.value();
    for (const LogField &field : effect.fields_) {
        line[field.name_] = field.value_;
    }
    writeLine(line);
}

std::uint64_t droppedLogLines()
{
    return state().dropped_;
}

} // namespace radishford
