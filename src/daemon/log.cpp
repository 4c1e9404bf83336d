// Structured log on standard output through log4cplus.
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
#include <csignal>

namespace radishford {

namespace json = boost::json;

namespace {

// Rate limit of lines about requests, and the burst allowed after a pause. The rate covers about a tenth of a busy daemon's calls.
constexpr double LinesPerSecond = 50.0;
constexpr double LineBurst = 200.0;
// A pipe that poll() reports as writable accepts this many bytes without blocking.
constexpr std::size_t MaxLineBytes = 4096;

// Log state of the process.
struct LogState {
    std::string instance_;
    TokenBucket decisionLimiter_;
    std::uint64_t droppedLines_ = 0;
    // Dropped lines that an earlier "lines_dropped" line has reported.
    std::uint64_t reportedDrops_ = 0;
};

LogState &state()
{
    static LogState log;
    return log;
}

// Returns the logger of this process.
log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("radishford"));
}

// Writes a line to standard output only if that does not block; otherwise the line is dropped and counted.
class NonBlockingAppender : public log4cplus::Appender
{
public:
    ~NonBlockingAppender() override
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
        const bool isWritable = poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        const bool isWritten = isWritable && line.size() <= MaxLineBytes && write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
        state().droppedLines_ += isWritten ? 0 : 1;
    }
};

// Returns milliseconds since the Unix epoch.
std::int64_t unixMillis()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// Writes one JSON object as a line.
void writeLine(const json::object &line)
{
    LOG4CPLUS_INFO(logger(), LOG4CPLUS_STRING_TO_TSTRING(json::serialize(line)));
}

// Returns a line with the fields that every line has.
json::object startLine(std::string_view event)
{
    return json::object{{"time_ms", unixMillis()}, {"instance", state().instance_}, {"event", event}};
}

// Reports how many lines were dropped since the last report, if any.
void logDroppedCount()
{
    LogState &log = state();
    if (log.droppedLines_ == log.reportedDrops_) {
        return;
    }
    json::object line = startLine("lines_dropped");
    line["count"] = log.droppedLines_ - log.reportedDrops_;
    log.reportedDrops_ = log.droppedLines_;
    writeLine(line);
}

} // namespace

void initializeLog(const std::string &instance)
{
    state().instance_ = instance;
    // Without a reader of standard output a write fails, and its line is dropped. The signal would end the process.
    std::signal(SIGPIPE, SIG_IGN);
    log4cplus::SharedAppenderPtr appender(new NonBlockingAppender());
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
    log.decisionLimiter_.setRate(LinesPerSecond, LineBurst, now);
    if (!log.decisionLimiter_.tryTake(1, now)) {
        ++log.droppedLines_;
        return;
    }
    logDroppedCount();
    json::object line = startLine(effect.event_);
    line["request"] = effect.request_.value();
    for (const LogField &field : effect.fields_) {
        line[field.name_] = field.value_;
    }
    writeLine(line);
}

std::uint64_t droppedLogLines()
{
    return state().droppedLines_;
}

} // namespace radishford
