// Log lines about decisions on requests.
#include "world/decision_log.h"

#include "call/attempt_func.h"
#include "core/hash.h"
#include "table/unanswered_reasons.h"
#include "world/world.h"

#include <string>
#include <utility>
#include <vector>

namespace radishford {

namespace {

// One of this many calls that completed with a response is logged. The hash of the trace id selects them, so that all daemons log the same calls.
constexpr std::uint64_t SampledCallInterval = 64;

// True for calls that are logged even when they succeed.
bool isSampled(const TraceId &request)
{
    return hashBytes(request.value()) % SampledCallInterval == 0;
}

// True for refusals that only report a lack of capacity. One call may get many of them, so they are not logged.
bool isCapacityRefusal(ResultCode code)
{
    return code == ResultCode::Overloaded || code == ResultCode::BackendLimited || code == ResultCode::Withdrawn;
}

// Formats a duration as whole milliseconds.
std::string formatMillis(Millis duration)
{
    return std::to_string(duration.count());
}

// Appends the number and name of a result code.
void appendResult(std::vector<LogField> &fields, ResultCode code)
{
    fields.push_back({"code", std::to_string(numberOf(code))});
    fields.push_back({"result", std::string(resultCodeInfo(code).name_)});
}

// Appends the inbound side's state of its local backend server.
void appendBackend(std::vector<LogField> &fields, const World &world)
{
    const AdmissionTable &table = world.admissions_;
    fields.push_back({"backend", table.backend_.id_.value()});
    fields.push_back({"in_flight", std::to_string(table.inFlight_.value())});
    fields.push_back({"queued", std::to_string(table.queued_.value())});
    fields.push_back({"slowness", std::to_string(table.backend_.slowness_.value())});
    fields.push_back({"slowness_age_ms", formatMillis(world.now_ - table.backend_.slownessAt_)});
}

// Appends what the outbound side knows about the selected instance.
void appendSelectedInstance(std::vector<LogField> &fields, const World &world, const Attempt &attempt)
{
    fields.push_back({"to", attempt.instanceName_.value()});
    const Instance *instance = world.fleet_.rows_.get(attempt.instance_);
    if (instance == nullptr || instance->reportReceivedAt_ == Millis::never()) {
        return;
    }
    fields.push_back({"report_age_ms", formatMillis(world.now_ - instance->reportReceivedAt_)});
    fields.push_back({"slowness", std::to_string(instance->report_.slowness_.value())});
    fields.push_back({"in_flight", std::to_string(instance->report_.inFlight_.value())});
}

// Appends the progress of a call: elapsed and remaining time, offers sent and backend servers reached.
void appendProgress(std::vector<LogField> &fields, const World &world, const Call &call)
{
    fields.push_back({"service", call.service_.value()});
    fields.push_back({"route", call.class_.value()});
    fields.push_back({"age_ms", formatMillis(world.now_ - call.startedAt_)});
    fields.push_back({"left_ms", formatMillis(call.deadline_ - world.now_)});
    fields.push_back({"offers", std::to_string(call.attemptsStarted_)});
    fields.push_back({"backends", std::to_string(call.backendsReached_)});
    fields.push_back({"configuration", std::to_string(world.tickets_.highestTicket_.value())});
}

} // namespace

void logRequestRefused(World &world, const TraceId &request, ResultCode code)
{
    std::vector<LogField> fields;
    appendResult(fields, code);
    fields.push_back({"configuration", std::to_string(world.tickets_.highestTicket_.value())});
    world.emit(LogDecision{"request_refused", request, std::move(fields)});
}

void logCallFailed(World &world, const Call &call, ResultCode code)
{
    std::vector<LogField> fields;
    appendResult(fields, code);
    fields.push_back({"last", std::string(resultCodeInfo(call.lastFailureCode_).name_)});
    appendProgress(fields, world, call);
    world.emit(LogDecision{"call_failed", call.trace_, std::move(fields)});
}

void logCallAborted(World &world, const Call &call, ResultCode code, UnansweredReason reason)
{
    std::vector<LogField> fields;
    appendResult(fields, code);
    fields.push_back({"reason", std::string(nameOf(reason))});
    fields.push_back({"last", std::string(resultCodeInfo(call.lastFailureCode_).name_)});
    appendProgress(fields, world, call);
    world.emit(LogDecision{"call_aborted", call.trace_, std::move(fields)});
}

void logUnanswered(World &world, const CallerDisconnected &event, const Call *call)
{
    std::vector<LogField> fields;
    fields.push_back({"reason", std::string(nameOf(event.reason_))});
    fields.push_back({"number_on_connection", std::to_string(event.numberOnConnection_)});
    fields.push_back({"written", std::to_string(event.written_.value())});
    if (call != nullptr) {
        const bool maybeRan = call->mayHaveRun_ || anyMayRun(world, *call);
        fields.push_back({"may_have_run", maybeRan ? "true" : "false"});
        appendProgress(fields, world, *call);
    }
    world.emit(LogDecision{"request_unanswered", event.trace_, std::move(fields)});
}

void logCallCompleted(World &world, const Call &call, const Attempt &attempt)
{
    if (!isSampled(call.trace_)) {
        return;
    }
    std::vector<LogField> fields;
    appendSelectedInstance(fields, world, attempt);
    appendProgress(fields, world, call);
    world.emit(LogDecision{"call_answered", call.trace_, std::move(fields)});
}

void logAttemptEnded(World &world, const Call &call, const Attempt &attempt, ResultCode code)
{
    if (code == ResultCode::Ok || isCapacityRefusal(code)) {
        return;
    }
    std::vector<LogField> fields;
    appendResult(fields, code);
    fields.push_back({"attempt_age_ms", formatMillis(world.now_ - attempt.startedAt_)});
    appendSelectedInstance(fields, world, attempt);
    appendProgress(fields, world, call);
    world.emit(LogDecision{"attempt_ended", call.trace_, std::move(fields)});
}

void logRetryOrHedge(World &world, const Call &call, const Attempt &attempt)
{
    if (!attempt.isHedge_ && call.backendsReached_ == 0) {
        return;
    }
    std::vector<LogField> fields;
    fields.push_back({"because", attempt.isHedge_ ? "the first still runs" : std::string(resultCodeInfo(call.lastFailureCode_).name_)});
    appendSelectedInstance(fields, world, attempt);
    appendProgress(fields, world, call);
    world.emit(LogDecision{"call_repeated", call.trace_, std::move(fields)});
}

void logAdmissionEnded(World &world, const Offer &offer, ResultCode code)
{
    if (isCapacityRefusal(code)) {
        return;
    }
    std::vector<LogField> fields;
    appendResult(fields, code);
    fields.push_back({"from", offer.sender_.value()});
    fields.push_back({"route", offer.class_.value()});
    appendBackend(fields, world);
    world.emit(LogDecision{"admission_ended", offer.trace_, std::move(fields)});
}

void logHandOver(World &world, const Admission &row)
{
    if (!isSampled(row.offer_.trace_)) {
        return;
    }
    std::vector<LogField> fields;
    fields.push_back({"from", row.offer_.sender_.value()});
    fields.push_back({"waited_ms", formatMillis(world.now_ - row.arrivedAt_)});
    appendBackend(fields, world);
    world.emit(LogDecision{"handed_over", row.offer_.trace_, std::move(fields)});
}

} // namespace radishford
