// Random pairs of events at requests of several kept connections, judged by the users' rule on lost requests.
// KEPT_SEED and KEPT_SECONDS in the environment change the seed and the duration.
#define BOOST_TEST_MODULE platform_kept_random
#include "standin/kept_caller.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <deque>
#include <memory>
#include <random>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

constexpr std::uint64_t DefaultSeed = 20261205;
constexpr int DefaultSeconds = 5;
constexpr std::size_t CallerCount = 6;
// How long a caller waits for an answer.
constexpr Millis Patience{6000};

// Reads a number from the environment.
std::uint64_t setting(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name); // NOLINT(concurrency-mt-unsafe): the test has one thread
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Kinds of requests.
enum class RequestKind : std::uint8_t {
    Safe,
    Unsafe,
    BufferedUpload,
    StreamedUpload,
    ChunkedUpload,
    Count,
};

// What the server does.
enum class ServerAct : std::uint8_t {
    Answers, // Answers once it has read the request.
    AnswersLong, // The same, with a response that is relayed as it arrives.
    AnswersInParts, // Answers with a pause in the middle.
    AnswersEarly, // Answers before it has read the body.
    RejectsEarly, // Answers with a failure before it has read the body.
    Refuses, // States before it has read the body that it does not run the request.
    Hangs, // Answers long after the time limit.
    Breaks, // Closes its connection before it has read the body.
    Count,
};

// What the caller does at the moment.
enum class CallerAct : std::uint8_t {
    SendsRest, // Sends the rest of its body.
    PausesReading, // Reads nothing for a while.
    SendsNext, // Sends its next request.
    Leaves, // Closes its connection.
    Count,
};

// One request in progress.
struct RandomCall {
    std::string id_{};
    RequestKind kind_ = RequestKind::Safe;
    ServerAct server_ = ServerAct::Answers;
    CallerAct act_ = CallerAct::SendsRest;
    std::string rest_{};
    Millis startedAt_{};
    // When the caller acts; never() once it has.
    Millis actAt_ = Millis::never();
    Millis resumeAt_ = Millis::never();
    // Number of its response on the connection.
    std::size_t number_ = 2;
    bool hasLeft_ = false;
    bool isFollowed_ = false;
};

// Callers with random requests beside each other.
class RandomCalls
{
public:
    explicit RandomCalls(std::uint64_t seed)
        : random_(seed)
    {
        slots_.resize(CallerCount);
    }

    // Runs random requests for a while and then to their end.
    void run(Millis duration)
    {
        const Millis end = WorldRunner::now() + duration;
        fixture_.runUntil(
            [&]() {
                bool isIdle = true;
                for (Slot &slot : slots_) {
                    step(slot, WorldRunner::now() < end);
                    isIdle = isIdle && !slot.call_;
                }
                return isIdle && WorldRunner::now() >= end;
            },
            duration + Patience + Patience);
    }

    [[nodiscard]] const std::vector<ObservedRequest> &requests() const
    {
        return requests_;
    }

    // Responses that do not belong to their request, and requests without a second run that ran twice.
    [[nodiscard]] const std::vector<std::string> &faults() const
    {
        return faults_;
    }

    // Describes a request by its id.
    [[nodiscard]] std::string describe(const std::string &id) const
    {
        const auto found = descriptions_.find(id);
        return found == descriptions_.end() ? id : found->second;
    }

    DaemonFixture &fixture()
    {
        return fixture_;
    }

private:
    // A connection and its request.
    struct Slot {
        std::unique_ptr<KeptCaller> caller_;
        std::optional<RandomCall> call_;
    };

    // Random number up to a limit, inclusive.
    int pick(int limit)
    {
        return std::uniform_int_distribution<int>(0, limit)(random_);
    }

    // Random value of an enumeration.
    template<typename Kind>
    Kind pickKind()
    {
        return static_cast<Kind>(pick(static_cast<int>(Kind::Count) - 1));
    }

    // Continues the request of a connection, or starts one.
    void step(Slot &slot, bool mayStart)
    {
        if (!slot.call_) {
            if (mayStart) {
                start(slot);
            }
            return;
        }
        KeptCaller &caller = *slot.caller_;
        RandomCall &call = *slot.call_;
        const Millis now = WorldRunner::now();
        if (call.actAt_ <= now) {
            call.actAt_ = Millis::never();
            act(caller, call);
        }
        if (call.resumeAt_ <= now) {
            call.resumeAt_ = Millis::never();
            caller.setReading(true);
        }
        caller.pump();
        const std::vector<HttpResponse> responses = caller.responses();
        const bool isAnswered = responses.size() >= call.number_;
        if (isAnswered || caller.hasEnded() || now - call.startedAt_ > Patience) {
            finish(slot, responses);
        }
    }

    // Starts a request, on a new connection if there is none.
    void start(Slot &slot)
    {
        if (!slot.caller_) {
            slot.caller_ = std::make_unique<KeptCaller>(fixture_, pick(3) == 0 ? 4096 : 0);
            if (!slot.caller_->wasAnswered()) {
                slot.caller_.reset();
                return;
            }
        }
        KeptCaller &caller = *slot.caller_;
        RandomCall call;
        call.id_ = "q" + std::to_string(++lastId_);
        call.kind_ = pickKind<RequestKind>();
        call.server_ = pickKind<ServerAct>();
        call.act_ = pickKind<CallerAct>();
        call.number_ = caller.responses().size() + 1;
        call.startedAt_ = WorldRunner::now();
        const Millis limit(100 + pick(4) * 50);
        const Millis serverDelay(pick(1) == 0 ? pick(30) : limit.count() - 10 + pick(10));
        fixture_.responsesById_[call.id_] = script(call, serverDelay);
        send(caller, call, limit);
        // The moments that matter: the server's act and the time limit, each with a few milliseconds before and after.
        constexpr std::array Offsets{-5, -2, -1, 0, 1, 2, 5};
        const Millis moment = pick(2) == 0 ? limit : serverDelay;
        call.actAt_ = call.startedAt_ + moment + Millis(Offsets.at(static_cast<std::size_t>(pick(6))));
        descriptions_[call.id_] = call.id_ + " kind " + std::to_string(static_cast<int>(call.kind_)) + " server "
            + std::to_string(static_cast<int>(call.server_)) + " caller " + std::to_string(static_cast<int>(call.act_)) + " limit "
            + std::to_string(limit.count()) + " server at " + std::to_string(serverDelay.count()) + " caller at "
            + std::to_string((call.actAt_ - call.startedAt_).count());
        slot.call_ = call;
    }

    // The response of the server to a request.
    ScriptedResponse script(const RandomCall &call, Millis delay)
    {
        const std::string fields = "Attempt-Id: {id}\r\nResponse-Signature: s\r\n";
        switch (call.server_) {
        case ServerAct::Answers:
            return {.bytes_ = DaemonFixture::matchingResponse("whole"), .bodyReadDelay_ = delay};
        case ServerAct::AnswersLong:
            return {.bytes_ = longResponse(300000), .bodyReadDelay_ = delay};
        case ServerAct::AnswersInParts:
            return {.bytes_ = longResponse(200000).substr(0, 100000), .lateBytes_ = longResponse(200000).substr(100000), .lateDelay_ = delay};
        case ServerAct::AnswersEarly:
            return {.bytes_ = longResponse(pick(1) == 0 ? 10 : 200000), .respondsBeforeBody_ = true, .earlyDelay_ = delay};
        case ServerAct::RejectsEarly:
            return {.bytes_ = "HTTP/1.1 409 No\r\n" + fields + "Content-Length: 2\r\n\r\nno", .respondsBeforeBody_ = true, .earlyDelay_ = delay};
        case ServerAct::Refuses:
            return {.bytes_ = refusal(), .respondsBeforeBody_ = true, .earlyDelay_ = delay};
        case ServerAct::Hangs:
            return {.lateBytes_ = DaemonFixture::matchingResponse("late"), .lateDelay_ = Millis(800)};
        default:
            return {.afterResponse_ = AfterResponse::Close, .respondsBeforeBody_ = true, .earlyDelay_ = delay, .endsBeforeBody_ = true};
        }
    }

    // Sends a request; of a streamed body only the first part.
    void send(KeptCaller &caller, RandomCall &call, Millis limit)
    {
        constexpr std::size_t BufferedBytes = std::size_t{400} << 10U;
        switch (call.kind_) {
        case RequestKind::Safe:
            caller.send(plainRequest("GET", "/r/1", call.id_, limit));
            break;
        case RequestKind::Unsafe:
            caller.send(plainRequest("POST", "/w/1", call.id_, limit));
            break;
        case RequestKind::BufferedUpload:
            caller.send(uploadHead(BodyFraming::Length, call.id_, limit, BufferedBytes) + std::string(BufferedBytes, 'b'));
            break;
        default: {
            const BodyFraming framing = call.kind_ == RequestKind::ChunkedUpload ? BodyFraming::Chunked : BodyFraming::Length;
            caller.send(uploadHead(framing, call.id_, limit, StreamedBytes) + framedPart(framing, std::string(FirstBytes, 'b'), false));
            call.rest_ = framedPart(framing, std::string(StreamedBytes - FirstBytes, 'b'), true);
            break;
        }
        }
    }

    // Does what the caller does at the moment. A caller that does not leave sends the rest of its body too.
    void act(KeptCaller &caller, RandomCall &call)
    {
        if (call.act_ == CallerAct::Leaves) {
            caller.close();
            call.hasLeft_ = true;
            return;
        }
        caller.send(call.rest_);
        if (call.act_ == CallerAct::PausesReading) {
            caller.setReading(false);
            call.resumeAt_ = WorldRunner::now() + Millis(pick(300));
        } else if (call.act_ == CallerAct::SendsNext && call.rest_.empty()) {
            call.isFollowed_ = true;
            caller.send(plainRequest("GET", "/r/1", call.id_ + "next"));
        }
    }

    // Records how a request ended, and keeps its connection if it is usable.
    void finish(Slot &slot, const std::vector<HttpResponse> &responses)
    {
        KeptCaller &caller = *slot.caller_;
        const RandomCall &call = *slot.call_;
        ObservedRequest request = caller.observe(call.id_, call.number_, call.server_ == ServerAct::Breaks);
        request.end_ = call.hasLeft_ ? RequestEnd::CallerLeft : request.end_;
        const bool isAnswered = request.end_ == RequestEnd::Answered;
        if (isAnswered) {
            const HttpResponse &response = responses[call.number_ - 1];
            request.isOwnAnswer_ = response["Response-Signature"].empty();
            if (!request.isOwnAnswer_ && response["Attempt-Id"] != call.id_) {
                faults_.push_back("an answer of another request: " + describe(call.id_));
            }
        }
        requests_.push_back(request);
        const auto runs = std::count_if(fixture_.receivedRequests_.begin(), fixture_.receivedRequests_.end(),
                                        [&](const ReceivedRequest &received) { return received.message_["Attempt-Id"] == call.id_; });
        if (runs > 1 && call.kind_ != RequestKind::Safe) {
            faults_.push_back("run twice: " + describe(call.id_));
        }
        const bool isKept = isAnswered && responses[call.number_ - 1].keep_alive() && !call.isFollowed_ && !caller.hasEnded();
        if (call.isFollowed_ && isAnswered && responses[call.number_ - 1].keep_alive()) {
            const bool isNextAnswered = caller.awaitStatus(call.number_ + 1) != 0U;
            ObservedRequest next = caller.observe(call.id_ + "next", call.number_ + 1);
            descriptions_[next.id_] = "request behind " + describe(call.id_);
            next.end_ = isNextAnswered ? RequestEnd::Answered : next.end_;
            requests_.push_back(next);
        }
        slot.call_.reset();
        if (!isKept) {
            slot.caller_.reset();
        } else {
            caller.setReading(true);
        }
    }

    std::mt19937_64 random_;
    DaemonFixture fixture_;
    std::deque<Slot> slots_;
    std::vector<ObservedRequest> requests_;
    std::vector<std::string> faults_;
    std::map<std::string, std::string> descriptions_;
    std::uint64_t lastId_ = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(random_pairs_of_events_lose_requests_of_kept_connections)
{
    const std::uint64_t seed = setting("KEPT_SEED", DefaultSeed);
    RandomCalls calls(seed);
    calls.run(Millis(static_cast<std::int64_t>(setting("KEPT_SECONDS", DefaultSeconds)) * 1000));
    const LostRule rule(LostRuleBounds{}, {});
    std::size_t answered = 0;
    std::size_t passedOn = 0;
    for (const ObservedRequest &request : calls.requests()) {
        answered += request.end_ == RequestEnd::Answered ? 1 : 0;
        passedOn += request.isPassedOn_ ? 1 : 0;
        BOOST_TEST(!rule.isLostOnKeptConnection(request), "lost: " << calls.describe(request.id_) << ", seed " << seed);
        BOOST_TEST((request.end_ != RequestEnd::TimedOut), "no end: " << calls.describe(request.id_) << ", seed " << seed);
    }
    for (const std::string &fault : calls.faults()) {
        BOOST_ERROR(fault + ", seed " + std::to_string(seed));
    }
    BOOST_TEST_MESSAGE(calls.requests().size() << " requests, " << passedOn << " passed on, " << answered << " answered, seed " << seed);
    BOOST_TEST(answered > calls.requests().size() / 4);
}
