// What one deployment's HTTP says differently from another's. Small strategies translate; they keep no state and decide nothing.
#pragma once

#include "net/http_exchange.h"
#include "store/store_type.h"
#include "wire/frame_type.h"
#include "world/event_type.h"
#include "world/world.h"

#include <cstdint>
#include <string>
#include <vector>

namespace radishford {

using CallerHeader = http::request_header<>;
using AnswerHeader = http::response_header<>;

// What the front end must know of a caller's request before it reads the body.
struct CallIntake {
    // Ok, or why the request is refused at once.
    ResultCode code_ = ResultCode::Ok;
    // The call, but for what is known only with its body.
    CallArrived event_;
    Bytes maxBody_;
    // True when the body may be passed on before it is whole.
    bool streamed_ = false;
    // Header fields for the backend server.
    std::vector<HeaderField> fields_;
};

// A result of our own on its way to a caller.
struct CallFailure {
    ResultCode code_ = ResultCode::NoBackend;
    std::string trace_;
    // When the caller may come again; zero when nothing is known.
    Millis retryAfter_;
    bool keepAlive_ = false;
};

// Speaks with callers.
class CallDialect
{
public:
    virtual ~CallDialect() = default;

    // Reads a request's header by the configuration in force.
    [[nodiscard]] virtual CallIntake readCall(const World &world, const CallerHeader &header) const = 0;

    // Builds the answer for a result of our own.
    [[nodiscard]] virtual TextResponse failure(const CallFailure &failure) const = 0;
};

// What an answer's header says about the request that waits for it.
enum class AnswerKind : std::uint8_t {
    Own, // The request's answer.
    Refused, // The backend server did not run the request.
    WrongInstance, // Another backend server has the address, and did not run it.
    Stale, // The answer of an earlier request on this connection.
    Spoiled, // No answer that can be passed on.
};

// What a request to the backend server must say.
struct BackendTerms {
    // Who must run it; empty when any may.
    BackendId id_;
    // Time left for the answer.
    Millis remaining_;
    // The trace's context, as its header field has it.
    std::string traceParent_;
};

// Speaks with the backend server.
class BackendDialect
{
public:
    virtual ~BackendDialect() = default;

    // Adds the fields that tell the backend server about deadline, instance and trace.
    virtual void addFields(http::fields &fields, const BackendTerms &terms) const = 0;

    // Judges an answer's header against the request's fields.
    [[nodiscard]] virtual AnswerKind judge(const AnswerHeader &answer, const std::vector<HeaderField> &request) const = 0;

    // Load that came with an answer.
    [[nodiscard]] virtual BackendLoad loadOf(const AnswerHeader &answer) const = 0;

    // Who answered a health check; empty when the answer names nobody.
    [[nodiscard]] virtual BackendId idOf(const AnswerHeader &answer) const = 0;

    // Reads a call of the backend server that announces itself or says goodbye. Throws Error with AdminUnknown or AnnounceMalformed.
    [[nodiscard]] virtual Event readAnnouncement(const TextRequest &request) const = 0;
};

// Speaks with the platform's store.
class StoreDialect
{
public:
    virtual ~StoreDialect() = default;

    // Builds the request of an operation.
    [[nodiscard]] virtual TextRequest encode(const StoreOperation &operation) const = 0;

    // Reads the answer. Throws Error when it cannot be read; ok_ is false when it says that nothing was done.
    [[nodiscard]] virtual StoreAnswer decode(const StoreOperation &operation, const TextResponse &response) const = 0;
};

// The strategies of one deployment; they live as long as the process.
struct Dialect {
    const CallDialect &calls_;
    const BackendDialect &backend_;
    const StoreDialect &store_;
};

// The product's own interface.
Dialect ownDialect();

} // namespace radishford
