// Log lines for changes of state, by log4cplus.
#include "daemon/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace radishford {

namespace {

// The process's logger.
log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("radishford"));
}

} // namespace

void startLog(const std::string &instance)
{
    constexpr bool ToStandardError = true;
    constexpr bool FlushEachLine = true;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(ToStandardError, FlushEachLine));
    const std::string pattern = "%D{%Y-%m-%dT%H:%M:%S.%q} " + instance + " %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_STRING_TO_TSTRING(pattern)));
    logger().addAppender(appender);
    logger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void logChange(const std::string &text)
{
    LOG4CPLUS_INFO(logger(), LOG4CPLUS_STRING_TO_TSTRING(text));
}

} // namespace radishford
