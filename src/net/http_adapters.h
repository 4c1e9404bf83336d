// Strategies that translate between a deployment's HTTP interface and the daemon's types. They keep no state and make no decisions.
#pragma once

#include "net/http_client_server.h"
#include "store/store_type.h"
#include "wire/frame_type.h"
#include "world/event_type.h"
#include "world/world.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace radishford {

using CallerHeader = http::request_header<>;
using BackendResponseHeader = http::response_header<>;

// What the front end learns from a caller's request header before it reads the body.
struct ParsedCallHeader {
    // Ok, or the reason to reject the request without reading its body.
    ResultCode code_ = ResultCode::Ok;
    // The call, without the fields that depend on the body.
    CallArrived event_;
    Bytes maxBody_;
    // True when the body may be forwarded before it is complete.
    bool isStreamed_ = false;
    // Header fields to forward to the backend server.
    std::vector<HeaderField> fields_;
};

// A failure that the daemon reports to a caller.
struct CallFailure {
    ResultCode code_ = ResultCode::NoBackend;
    std::string trace_;
    // Delay after which the caller may retry; zero when none is known.
    Millis retryAfter_;
    bool keepAlive_ = false;
};

// Translates requests of callers and failure responses to them.
class CallAdapter
{
public:
    virtual ~CallAdapter() = default;

    // Reads a request's header under the active configuration.
    [[nodiscard]] virtual ParsedCallHeader readCall(const World &world, const CallerHeader &header) const = 0;

    // Builds the HTTP response that reports a failure.
    [[nodiscard]] virtual HttpResponse makeFailureResponse(const CallFailure &failure) const = 0;
};

// How a response header relates to the request that was sent on the connection.
enum class ResponseKind : std::uint8_t {
    Matching, // The response to the request.
    Refused, // The backend server states that it did not run the request.
    WrongInstance, // Another backend server uses the address and did not run the request.
    Stale, // The response to an earlier request on the same connection.
    Invalid, // Malformed or not verifiable as the response to the request, or stale responses arrived until the connection was given up; not forwarded.
};

// Context that is added to the header of a request to the backend server.
struct BackendRequestContext {
    // Backend server that must run the request; empty when any may.
    BackendId id_;
    // Time left until the deadline of the response.
    Millis remaining_;
    // Value of the traceparent header field.
    std::string traceParent_;
};

// Translates requests to the backend server, its responses and its announcements.
class BackendAdapter
{
public:
    virtual ~BackendAdapter() = default;

    // Adds the header fields for deadline, instance and trace.
    virtual void addFields(http::fields &fields, const BackendRequestContext &requestContext) const = 0;

    // Classifies a response header by comparing it with the request's fields.
    [[nodiscard]] virtual ResponseKind classifyResponse(const BackendResponseHeader &response, const std::vector<HeaderField> &request) const = 0;

    // True when a response header names the request that it responds to.
    [[nodiscard]] virtual bool namesRequest(const BackendResponseHeader &response) const = 0;

    // Reads the load that a response header reports; all zero when it reports none.
    [[nodiscard]] virtual BackendLoad readLoad(const BackendResponseHeader &response) const = 0;

    // Reads what a response header states about the backend server.
    [[nodiscard]] virtual BackendNotice readNotice(const BackendResponseHeader &response) const = 0;

    // Reads the id of the backend server that responded to a health check; empty when the response has none.
    [[nodiscard]] virtual BackendId readBackendId(const BackendResponseHeader &response) const = 0;

    // Reads a request by which a backend server announces or deregisters itself. Throws Error with AdminUnknown or AnnounceMalformed.
    [[nodiscard]] virtual Event readAnnouncement(const HttpRequest &request) const = 0;
};

// Translates operations of the platform's store.
class StoreAdapter
{
public:
    virtual ~StoreAdapter() = default;

    // Builds the HTTP request of an operation.
    [[nodiscard]] virtual HttpRequest encode(const StoreOperation &operation) const = 0;

    // Reads the response to an operation. Throws Error when it is malformed; ok_ is false when it says that nothing was done.
    [[nodiscard]] virtual StoreResponse decode(const StoreOperation &operation, const HttpResponse &response) const = 0;

    // Reads the era that a response of any status reports; absent when it reports none.
    [[nodiscard]] virtual std::optional<StoreEra> readEra(const HttpResponse &response) const = 0;
};

// The adapters of one deployment. The referenced objects live as long as the process.
struct HttpAdapters {
    const CallAdapter &calls_;
    const BackendAdapter &backend_;
    const StoreAdapter &store_;
};

// Returns the adapters of the daemon's native HTTP interface.
HttpAdapters nativeHttpAdapters();

} // namespace radishford
