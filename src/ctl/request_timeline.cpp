// Reconstructs the timeline of one request from the log lines of all daemons that handled it.
#include "ctl/request_timeline.h"

#include "ctl/output.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <iomanip>
#include <set>
#include <sstream>
#include <string_view>

namespace radishford {

namespace {

namespace json = boost::json;

// Changes of state within this time before or after the request are shown as context. Clocks of daemons differ by less.
constexpr std::int64_t ContextWindowMs = 2000;
// Separates a request's id from the suffix of a call made while it ran.
constexpr char CallSeparator = '.';

// Explains the result of a failed call to an operator.
struct Conclusion {
    std::string_view result_;
    std::string_view text_;
};

constexpr std::array<Conclusion, 10> Conclusions{{
    {"DeadlineNotRun", "no backend server had capacity in time; it was not run"},
    {"Overloaded", "all slots and queues were full; it was not run"},
    {"DeadlineUnknown", "a backend server had started it and had not responded when the deadline passed; it may have run"},
    {"AnswerLost", "the connection broke after the request was handed over; it may have run"},
    {"AnswerSpoiled", "the backend server's response was not the complete response to this request; it may have run"},
    {"BackendFailed", "the backend server closed the connection while it ran the request"},
    {"Quarantined", "the request was running during several failures of backend servers and is quarantined"},
    {"RetryBudgetSpent", "a further attempt was needed and the retry budget was spent; it was not run"},
    {"DaemonLeaving", "the daemon that accepted it was shutting down; it was not run"},
    {"NotReady", "the daemon had just started and had no configuration yet; it was not run"},
}};

// Events that report how a request ended for its caller.
constexpr std::array<std::string_view, 5> FinalEvents{"call_failed", "call_answered", "call_aborted", "request_refused", "request_unanswered"};

// Parses a line. Returns false when it is not a log line of a daemon.
bool parseLine(const std::string &text, LogLine &line)
{
    const std::size_t start = text.find('{');
    json::error_code error;
    const json::value value = start == std::string::npos ? json::value() : json::parse(text.substr(start), error);
    const json::object *object = error ? nullptr : value.if_object();
    if (object == nullptr || !object->contains("time_ms") || !object->contains("event")) {
        return false;
    }
    for (const auto &[key, field] : *object) {
        const std::string name(key);
        const std::string valueText = plainText(field);
        if (name == "time_ms") {
            line.timeMs_ = std::strtoll(valueText.c_str(), nullptr, 10);
        } else if (name == "instance") {
            line.instance_ = valueText;
        } else if (name == "event") {
            line.event_ = valueText;
        } else if (name == "request") {
            line.request_ = valueText;
        } else {
            line.fields_.emplace_back(name, valueText);
        }
    }
    return true;
}

// Returns true when a line is about the request or about a call made while it ran.
bool concernsRequest(const LogLine &line, const std::string &request)
{
    return line.request_ == request || line.request_.starts_with(request + CallSeparator);
}

// Writes one line with its time relative to the start.
void writeLine(std::ostream &text, const LogLine &line, std::int64_t start, const std::string &request)
{
    text << std::setw(7) << line.timeMs_ - start << " ms  " << line.instance_ << "  " << line.event_;
    if (!line.request_.empty() && line.request_ != request) {
        text << " (call " << line.request_.substr(request.size() + 1) << ")";
    }
    for (const auto &[name, value] : line.fields_) {
        text << "  " << name << "=" << value;
    }
    text << "\n";
}

// Returns the last line that reports how the request itself ended; nullptr when there is none.
const LogLine *findFinalLine(const RequestTimeline &timeline)
{
    const LogLine *end = nullptr;
    for (const LogLine &line : timeline.lines_) {
        const bool isFinal = std::find(FinalEvents.begin(), FinalEvents.end(), line.event_) != FinalEvents.end();
        end = isFinal && line.request_ == timeline.request_ ? &line : end;
    }
    return end;
}

// Writes how the request ended, why, and whether it may have run.
void writeConclusion(std::ostream &text, const RequestTimeline &timeline)
{
    const LogLine *end = findFinalLine(timeline);
    if (end == nullptr) {
        text << "conclusion: no line says how the request ended; the daemon that accepted it may have failed, or its line was dropped\n";
        return;
    }
    if (end->event_ == "request_unanswered") {
        text << "conclusion: the caller got no complete response: " << end->field("reason") << "\n";
        return;
    }
    const std::string result = end->field("result");
    const auto found = std::find_if(Conclusions.begin(), Conclusions.end(), [&](const Conclusion &row) { return row.result_ == result; });
    text << "conclusion: " << (end->event_ == "call_answered" ? "answered" : result);
    if (found != Conclusions.end()) {
        text << ": " << found->text_;
    }
    if (!end->field("last").empty() && end->field("last") != result) {
        text << "; the last attempt ended with " << end->field("last");
    }
    text << "\n";
}

} // namespace

std::string LogLine::field(const std::string &name) const
{
    const auto found = std::find_if(fields_.begin(), fields_.end(), [&](const auto &entry) { return entry.first == name; });
    return found == fields_.end() ? std::string() : found->second;
}

void LogReader::add(std::istream &stream)
{
    std::string text;
    while (std::getline(stream, text)) {
        LogLine line;
        if (parseLine(text, line)) {
            lines_.push_back(std::move(line));
        }
    }
}

RequestTimeline LogReader::timelineOf(const std::string &request) const
{
    RequestTimeline timeline;
    timeline.request_ = request;
    std::set<std::string> involvedInstances;
    for (const LogLine &line : lines_) {
        if (concernsRequest(line, request)) {
            timeline.lines_.push_back(line);
            involvedInstances.insert({line.instance_, line.field("to"), line.field("from")});
        }
    }
    if (timeline.lines_.empty()) {
        return timeline;
    }
    const auto byTime = [](const LogLine &first, const LogLine &second) { return first.timeMs_ < second.timeMs_; };
    std::stable_sort(timeline.lines_.begin(), timeline.lines_.end(), byTime);
    const std::int64_t from = timeline.lines_.front().timeMs_ - ContextWindowMs;
    const std::int64_t until = timeline.lines_.back().timeMs_ + ContextWindowMs;
    for (const LogLine &line : lines_) {
        if (line.timeMs_ < from || line.timeMs_ > until || !involvedInstances.contains(line.instance_)) {
            continue;
        }
        if (line.event_ == "change") {
            timeline.changes_.push_back(line);
        } else if (line.event_ == "lines_dropped") {
            timeline.droppedLines_ += std::strtoll(line.field("count").c_str(), nullptr, 10);
        }
    }
    std::stable_sort(timeline.changes_.begin(), timeline.changes_.end(), byTime);
    return timeline;
}

std::string toText(const RequestTimeline &timeline)
{
    if (timeline.lines_.empty()) {
        return "no log line mentions this request\n";
    }
    std::ostringstream text;
    const std::int64_t start = timeline.lines_.front().timeMs_;
    for (const LogLine &line : timeline.lines_) {
        writeLine(text, line, start, timeline.request_);
    }
    if (!timeline.changes_.empty()) {
        text << "changes of state:\n";
    }
    for (const LogLine &line : timeline.changes_) {
        writeLine(text, line, start, {});
    }
    if (timeline.droppedLines_ > 0) {
        text << "lines dropped in this period: " << timeline.droppedLines_ << "\n";
    }
    writeConclusion(text, timeline);
    return text.str();
}

} // namespace radishford
