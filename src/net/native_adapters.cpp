// Native HTTP interface: calls by service and request class, announcements in JSON, the store's table transactions.
#include "net/http_adapters.h"

#include "call/call_func.h"
#include "core/error.h"
#include "net/failure_response.h"
#include "net/http_fields.h"
#include "wire/announcement_json.h"
#include "wire/store_json.h"

#include <charconv>

namespace radishford {

namespace {

// The service that a request addresses: the Radishford-Service field, or else the first label of the host.
ServiceName readService(const CallerHeader &header)
{
    const auto serviceField = header["Radishford-Service"];
    if (!serviceField.empty()) {
        return ServiceName(std::string(serviceField));
    }
    const std::string host(header[http::field::host]);
    return ServiceName(host.substr(0, host.find_first_of(".:")));
}

// The timeout that the caller sets in the Radishford-Deadline-Ms field; zero when there is none.
Millis readTimeout(const CallerHeader &header)
{
    const std::string field(header["Radishford-Deadline-Ms"]);
    std::int64_t milliseconds = 0;
    std::from_chars(field.data(), field.data() + field.size(), milliseconds);
    return Millis(std::max<std::int64_t>(0, milliseconds));
}

// Classifies requests of callers by service and request class.
class NativeCallAdapter : public CallAdapter
{
public:
    [[nodiscard]] ParsedCallHeader readCall(const World &world, const CallerHeader &header) const override
    {
        ParsedCallHeader parsedHeader;
        CallArrived &event = parsedHeader.event_;
        event.service_ = readService(header);
        event.idempotencyKey_ = std::string(header["Idempotency-Key"]);
        event.timeout_ = readTimeout(header);
        const std::string target(header.target());
        const std::string path = target.substr(0, target.find('?'));
        const RequestClassification classification
            = classifyRequest(world, event.service_, std::string(header.method_string()), path, !event.idempotencyKey_.empty());
        parsedHeader.code_ = classification.code_;
        if (classification.class_ != nullptr) {
            event.class_ = classification.class_->name_;
            parsedHeader.maxBody_ = classification.class_->maxBody_;
            parsedHeader.isStreamed_ = classification.class_->isStreamed_;
        }
        parsedHeader.fields_ = forwardedFields(header);
        return parsedHeader;
    }

    [[nodiscard]] HttpResponse makeFailureResponse(const CallFailure &failure) const override
    {
        return failureResponse(failure.code_, failure.trace_, failure.keepAlive_);
    }
};

// For backend servers that accept any call, report no load and announce themselves in JSON.
class NativeBackendAdapter : public BackendAdapter
{
public:
    void addFields(http::fields &fields, const BackendRequestContext &requestContext) const override
    {
        fields.set("Radishford-Deadline-Ms", std::to_string(requestContext.remaining_.count()));
        fields.set("traceparent", requestContext.traceParent_);
    }

    [[nodiscard]] ResponseKind classifyResponse(const BackendResponseHeader & /*response*/, const std::vector<HeaderField> & /*request*/) const override
    {
        return ResponseKind::Matching;
    }

    [[nodiscard]] bool namesRequest(const BackendResponseHeader & /*response*/) const override
    {
        return false;
    }

    [[nodiscard]] BackendLoad readLoad(const BackendResponseHeader & /*response*/) const override
    {
        return {};
    }

    [[nodiscard]] BackendNotice readNotice(const BackendResponseHeader & /*response*/) const override
    {
        return {};
    }

    [[nodiscard]] BackendId readBackendId(const BackendResponseHeader & /*response*/) const override
    {
        return {};
    }

    [[nodiscard]] Event readAnnouncement(const HttpRequest &request) const override
    {
        if (request.method() != http::verb::post || request.target() != "/announce") {
            throw Error(ResultCode::AdminUnknown, std::string(request.target()));
        }
        return announcementFromJson(request.body());
    }
};

// Encodes store operations as table transactions.
class NativeStoreAdapter : public StoreAdapter
{
public:
    [[nodiscard]] HttpRequest encode(const StoreOperation &operation) const override
    {
        return makeRequest(http::verb::post, "/table/transact", storeRequestToJson(operation));
    }

    [[nodiscard]] StoreResponse decode(const StoreOperation &operation, const HttpResponse &response) const override
    {
        return response.result() == http::status::ok ? parseStoreResponse(operation, response.body()) : StoreResponse{};
    }

    [[nodiscard]] std::optional<StoreEra> readEra(const HttpResponse & /*response*/) const override
    {
        return std::nullopt;
    }
};

} // namespace

HttpAdapters nativeHttpAdapters()
{
    static const NativeCallAdapter Calls;
    static const NativeBackendAdapter Backend;
    static const NativeStoreAdapter Store;
    return HttpAdapters{Calls, Backend, Store};
}

} // namespace radishford
