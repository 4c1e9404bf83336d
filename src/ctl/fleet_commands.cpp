// Commands that show the state of the fleet.
#include "core/error.h"
#include "ctl/commands.h"
#include "ctl/output.h"
#include "ctl/request_timeline.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>

namespace radishford {

namespace json = boost::json;

namespace {

// Summary of the daemons in one failure domain.
struct DomainStatus {
    // Lowest and highest active ticket of the daemons that responded.
    std::uint64_t lowest_ = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t highest_ = 0;
    int daemons_ = 0;
    // Daemons that did not respond.
    int unreachable_ = 0;
    // Daemons that do not yet know the active configuration.
    int joining_ = 0;
    // Names of the instances that are behind.
    std::vector<std::string> behind_;
};

// Returns an unsigned integer field.
std::uint64_t unsignedField(const json::value &row, const char *key)
{
    return json::value_to<std::uint64_t>(row.at(key));
}

// Groups the daemons' responses by failure domain. A daemon is behind when it lacks the highest ticket, is still joining or did not respond.
std::map<std::string, DomainStatus> groupByDomain(const std::vector<DaemonResponse> &responses, std::uint64_t highest)
{
    std::map<std::string, DomainStatus> domains;
    for (const DaemonResponse &response : responses) {
        DomainStatus &domain = domains[response.failureDomain_];
        ++domain.daemons_;
        if (!response.ok_) {
            ++domain.unreachable_;
            domain.behind_.push_back(response.instance_);
            continue;
        }
        const std::uint64_t ticket = unsignedField(response.body_, "ticket");
        const bool current = response.body_.at("current").as_bool();
        domain.joining_ += current ? 0 : 1;
        domain.lowest_ = std::min(domain.lowest_, ticket);
        domain.highest_ = std::max(domain.highest_, ticket);
        if (ticket < highest || !current) {
            domain.behind_.push_back(response.instance_);
        }
    }
    return domains;
}

// Returns the highest ticket that is active on any daemon.
std::uint64_t highestTicket(const std::vector<DaemonResponse> &responses)
{
    std::uint64_t highest = 0;
    for (const DaemonResponse &response : responses) {
        highest = std::max(highest, response.ok_ ? unsignedField(response.body_, "ticket") : 0);
    }
    return highest;
}

// Joins names with spaces; returns a hyphen when there are none.
std::string join(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += (text.empty() ? "" : " ") + name;
    }
    return text.empty() ? "-" : text;
}

// A span with the fields that the explain command shows.
struct ExplainedSpan {
    std::string instance_;
    std::string id_;
    std::string parent_;
    std::string name_;
    std::string detail_;
    std::string code_;
    std::string result_;
    std::string outcome_;
    std::uint64_t startNanos_ = 0;
    std::uint64_t endNanos_ = 0;
};

// Returns the value of a span's attribute; empty when it has none of this name.
std::string findAttribute(const json::value &span, const std::string &key)
{
    for (const json::value &attribute : span.at("attributes").as_array()) {
        if (attribute.at("key").as_string() == key) {
            return std::string(attribute.at("value").at("stringValue").as_string());
        }
    }
    return {};
}

// Appends the spans of one daemon's response.
void addSpans(std::vector<ExplainedSpan> &spans, const DaemonResponse &response)
{
    if (!response.ok_) {
        return;
    }
    const json::value &scope = response.body_.at("resourceSpans").as_array().at(0).at("scopeSpans").as_array().at(0);
    for (const json::value &row : scope.at("spans").as_array()) {
        ExplainedSpan span;
        span.instance_ = response.instance_;
        span.id_ = std::string(row.at("spanId").as_string());
        if (const json::value *parent = row.as_object().if_contains("parentSpanId")) {
            span.parent_ = std::string(parent->as_string());
        }
        span.name_ = std::string(row.at("name").as_string());
        span.detail_ = findAttribute(row, "detail");
        span.code_ = findAttribute(row, "code");
        span.result_ = findAttribute(row, "result");
        span.outcome_ = findAttribute(row, "outcome");
        span.startNanos_ = std::stoull(std::string(row.at("startTimeUnixNano").as_string()));
        span.endNanos_ = std::stoull(std::string(row.at("endTimeUnixNano").as_string()));
        spans.push_back(std::move(span));
    }
}

// Prints a span and its descendants, indented by depth.
void printSpan(const std::vector<ExplainedSpan> &spans, const ExplainedSpan &span, std::size_t depth)
{
    constexpr double NanosPerMilli = 1e6;
    const double milliseconds = static_cast<double>(span.endNanos_ - span.startNanos_) / NanosPerMilli;
    std::cout << std::string(2 * depth, ' ') << span.name_ << " " << span.detail_ << " at " << span.instance_ << ": " << span.code_ << " " << span.result_
              << " (" << span.outcome_ << "), " << milliseconds << " ms\n";
    for (const ExplainedSpan &child : spans) {
        if (child.parent_ == span.id_) {
            printSpan(spans, child, depth + 1);
        }
    }
}

// Converts spans to JSON.
json::array spansToJson(const std::vector<ExplainedSpan> &spans)
{
    json::array rows;
    for (const ExplainedSpan &span : spans) {
        rows.push_back(json::object{{"instance", span.instance_},
                                    {"span", span.id_},
                                    {"parent", span.parent_},
                                    {"name", span.name_},
                                    {"detail", span.detail_},
                                    {"code", span.code_},
                                    {"result", span.result_},
                                    {"outcome", span.outcome_},
                                    {"start_unix_nano", span.startNanos_},
                                    {"end_unix_nano", span.endNanos_}});
    }
    return rows;
}

// Prints an array of flat objects as a table or as JSON.
ExitCode printRows(const json::value &rows, bool asJson)
{
    if (asJson) {
        printJson(rows);
    } else {
        printTable(makeTable(rows));
    }
    return ExitCode::Ok;
}

// Prints the timeline of a request from log files.
ExitCode explainFromLogs(const CommandContext &context)
{
    LogReader reader;
    for (auto path = std::next(context.operands_.begin()); path != context.operands_.end(); ++path) {
        if (*path == "-") {
            reader.add(std::cin);
            continue;
        }
        std::ifstream file(*path);
        if (!file) {
            throw Error(ResultCode::UnreadableFile, *path);
        }
        reader.add(file);
    }
    const RequestTimeline timeline = reader.timelineOf(context.operands_.front());
    std::cout << toText(timeline);
    return timeline.lines_.empty() ? ExitCode::Failed : ExitCode::Ok;
}

} // namespace

ExitCode runStatus(CommandContext &context)
{
    const std::vector<DaemonResponse> responses = context.client_.getFromAllDaemons("/status");
    const std::uint64_t highest = highestTicket(responses);
    json::array rows;
    for (const auto &[name, domain] : groupByDomain(responses, highest)) {
        rows.push_back(json::object{{"failure_domain", name},
                                    {"daemons", domain.daemons_},
                                    {"in_force", domain.lowest_ == std::numeric_limits<std::uint64_t>::max() ? 0 : domain.lowest_},
                                    {"highest", highest},
                                    {"joining", domain.joining_},
                                    {"silent", domain.unreachable_},
                                    {"behind", join(domain.behind_)}});
    }
    return printRows(rows, context.json_);
}

ExitCode runMembers(CommandContext &context)
{
    return printRows(context.client_.get("/members"), context.json_);
}

ExitCode runExplain(CommandContext &context)
{
    if (context.operands_.size() > 1) {
        return explainFromLogs(context);
    }
    std::vector<ExplainedSpan> spans;
    for (const DaemonResponse &response : context.client_.getFromAllDaemons("/spans?trace=" + context.operands_.front())) {
        addSpans(spans, response);
    }
    std::sort(spans.begin(), spans.end(), [](const ExplainedSpan &first, const ExplainedSpan &second) { return first.startNanos_ < second.startNanos_; });
    if (context.json_) {
        printJson(spansToJson(spans));
        return ExitCode::Ok;
    }
    if (spans.empty()) {
        std::cout << "no daemon has spans of this trace\n";
        return ExitCode::Failed;
    }
    for (const ExplainedSpan &span : spans) {
        const bool hasParent = std::any_of(spans.begin(), spans.end(), [&](const ExplainedSpan &other) { return other.id_ == span.parent_; });
        if (!hasParent) {
            printSpan(spans, span, 0);
        }
    }
    return ExitCode::Ok;
}

ExitCode runBudgetReport(CommandContext &context)
{
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> sums;
    json::value limits;
    for (const DaemonResponse &response : context.client_.getFromAllDaemons("/budget")) {
        if (!response.ok_) {
            continue;
        }
        limits = response.body_;
        for (const json::value &row : response.body_.at("spent").as_array()) {
            const std::string key = plainText(row.at("purpose")) + "," + plainText(row.at("from")) + "," + plainText(row.at("to"));
            sums[key].first += unsignedField(row, "messages");
            sums[key].second += unsignedField(row, "bytes");
        }
    }
    json::array rows;
    for (const auto &[key, sum] : sums) {
        const std::size_t first = key.find(',');
        const std::size_t second = key.find(',', first + 1);
        rows.push_back(json::object{{"purpose", key.substr(0, first)},
                                    {"from", key.substr(first + 1, second - first - 1)},
                                    {"to", key.substr(second + 1)},
                                    {"messages", sum.first},
                                    {"bytes", sum.second}});
    }
    if (limits.is_object() && !context.json_) {
        std::cout << "limits of each daemon: " << limits.at("bytes_per_second") << " bytes/s, " << limits.at("probes_per_second") << " probes/s; pairs "
                  << json::serialize(limits.at("region_pairs")) << "\n";
    }
    if (context.json_) {
        printJson(json::object{{"set", limits}, {"spent", rows}});
        return ExitCode::Ok;
    }
    return printRows(rows, false);
}

ExitCode runQuarantineList(CommandContext &context)
{
    std::map<std::string, json::value> byFingerprint;
    for (const DaemonResponse &response : context.client_.getFromAllDaemons("/quarantine")) {
        if (!response.ok_) {
            continue;
        }
        for (const json::value &row : response.body_.as_array()) {
            json::value &known = byFingerprint[plainText(row.at("fingerprint"))];
            const bool isNewer = known.is_null() || unsignedField(row, "failures") > unsignedField(known, "failures");
            known = isNewer ? row : known;
        }
    }
    json::array rows;
    for (const auto &[fingerprint, row] : byFingerprint) {
        rows.push_back(row);
    }
    return printRows(rows, context.json_);
}

} // namespace radishford
