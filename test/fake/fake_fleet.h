// Hand-written fake of the environment of several worlds: network, backend servers, store and callers, on one fake clock.
#pragma once

#include "core/random.h"
#include "fake/fake_store.h"
#include "ticket/ticket_func.h"
#include "world/world.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace radishford {

// Delay after which both ends notice a broken connection.
constexpr Millis DisconnectDelay{2};

// Outcome of one call as its caller sees it.
struct CallResult {
    // Token of the request whose response was relayed.
    std::optional<std::string> responseToken_;
    // Failure that the daemon reported.
    std::optional<ResultCode> failure_;
    // True when the connection was aborted.
    bool connectionAborted_ = false;
    Millis startedAt_;
    Millis endedAt_;

    [[nodiscard]] bool isOver() const
    {
        return responseToken_ || failure_ || connectionAborted_;
    }
};

// A call to make in a test.
struct FakeCall {
    std::string token_;
    // Action that must not run twice. Several calls may request the same action.
    std::string action_;
    std::string class_ = "read";
    std::string key_{};
    // Fingerprint of the request; zero stands for the hash of the action.
    std::uint64_t fingerprint_ = 0;
    bool canInlineBody_ = true;
    // Crashes the backend server that runs it.
    bool crashesBackend_ = false;
    Millis timeout_{};
    // Policy of a route. When unset, the class in the ticket applies.
    CallPolicy policy_{};
    Bytes bodySize_{};
    // True when the local backend server makes the call while it runs another request.
    bool isFromBackend_ = false;
    // Size of the response's body.
    Bytes responseSize_{};
};

// One instance: its world, its backend server and their state.
struct FakeInstance {
    WorldSettings settings_;
    std::unique_ptr<World> world_;
    // Incremented at each start and kill, so that events for earlier processes are dropped.
    int generation_ = 0;
    // True between pause() and resume().
    bool paused_ = false;
    // True once the world has emitted Exit.
    bool exited_ = false;
    // Events that arrived while the instance was paused.
    Inbox queuedEvents_;
    // Time of the scheduled tick.
    Millis nextWakeUp_ = Millis::never();
    // True while the backend server runs.
    bool backendRuns_ = true;
    // State that the backend server announces.
    BackendState announcedState_ = BackendState::Ready;
    // False while the backend server sends no announcements.
    bool sendsAnnouncements_ = true;
    int slots_ = 4;
    // Time that the backend server takes for each request.
    Millis serviceTime_{5};
    // Requests that run now, and their highest number so far.
    int running_ = 0;
    int maxRunning_ = 0;
    // Number of announcements sent so far.
    std::uint64_t announcementCount_ = 0;
    // Incremented at each failure of the backend server.
    int backendGeneration_ = 0;
    // Id of the backend server; empty when it follows from its generation.
    BackendId backendId_;
    // When the network link has sent all earlier responses.
    Millis linkFreeAt_;
    // Time of each hand-over to the backend server.
    std::vector<Millis> handOverTimes_;
};

// One exchange between two instances.
struct FakeExchange {
    // Indexes of the outbound and inbound instance, and their generations when the exchange was opened.
    std::size_t client_ = 0;
    std::size_t server_ = 0;
    int clientGeneration_ = 0;
    int serverGeneration_ = 0;
    AttemptId attempt_;
    ExchangeHandle handle_;
    CallHandle call_;
    // True when the body is sent with the offer.
    bool bodyInline_ = false;
    bool bodySent_ = false;
    bool ended_ = false;
    // True while the backend server runs the request.
    bool running_ = false;
    // Latest arrival time in each direction, so that messages keep their order.
    Millis lastToServer_;
    Millis lastToClient_;
};

// Runs several worlds with fakes of everything around them.
class FakeFleet
{
public:
    // Instance i is in failure domain i modulo six: regions r0 to r2 with domains a and b.
    FakeFleet(std::size_t instances, std::uint64_t seed, const WorldSettings &settings = WorldSettings());

    // Starts or restarts an instance with a new world.
    void start(std::size_t index);

    // Kills a daemon: its world and its connections are lost.
    void kill(std::size_t index);

    // Suspends a daemon: it runs no ticks, and its events are queued until resume().
    void pause(std::size_t index);
    // Ends a pause and delivers the queued events in one tick.
    void resume(std::size_t index);

    // Fails a backend server with all its running requests, and restarts it after the given time.
    void failBackend(std::size_t index, Millis downFor);

    // Partitions two instances from each other, in both directions, or restores the connection.
    void setPartitioned(std::size_t first, std::size_t second, bool isPartitioned);

    // Runs all scheduled actions up to a time and advances the clock to it.
    void runUntil(Millis time);
    // Runs all scheduled actions of the given duration and advances the clock by it.
    void runFor(Millis duration);

    // Makes a call through an instance. Returns its index in calls_ and results_.
    std::size_t call(std::size_t index, const FakeCall &call);

    // Posts a call to a daemon that has emitted Exit but whose process still runs.
    void callAfterExit(std::size_t index, const CallArrived &event);

    // Submits a ticket through an instance. Returns the index of its result in ticketResults_.
    std::size_t submit(std::size_t index, const Ticket &ticket);

    // Delivers an event to an instance at the current time.
    void post(std::size_t index, Event event);

    // Schedules an action at a later time.
    void at(Millis time, std::function<void()> action);

    // Service time in percent of the usual that the backend server reports now; zero when it reports none.
    [[nodiscard]] int slownessOf(std::size_t index) const;

    // Id of the current process of a backend server.
    [[nodiscard]] BackendId backendIdOf(std::size_t index) const;

    [[nodiscard]] Millis now() const;
    // The world of an instance; only valid while its daemon runs.
    World &world(std::size_t index);
    [[nodiscard]] std::size_t size() const;

    // The outbound instance of an exchange at an inbound one, and its attempt.
    [[nodiscard]] std::pair<std::size_t, AttemptId> attemptOf(std::size_t index, ExchangeHandle handle) const;

    // Number of times that backend servers have run an action.
    [[nodiscard]] int executions(const std::string &action) const;

    // True when every running instance uses this ticket or a later one.
    [[nodiscard]] bool allUseTicket(std::uint64_t number) const;

    FakeStore store_;
    std::vector<FakeInstance> instances_;
    std::vector<FakeCall> calls_;
    std::vector<CallResult> results_;
    std::vector<std::optional<ReplyToTicket>> ticketResults_;
    // Number of executions by action and by token.
    std::map<std::string, int> executions_;
    std::map<std::string, int> executionsByToken_;
    // Number of backend server failures caused by crashing requests.
    int backendCrashes_ = 0;
    // Returns the service time of the next request at an instance; replaces the instances' fixed service time when set.
    std::function<Millis(std::size_t)> serviceTimeOf_;
    // Returns the current service time at an instance in percent of the usual. When unset, backend servers report none.
    std::function<int(std::size_t)> slowness_;
    // Returns true when a backend server refuses the next request although its health check succeeds.
    std::function<bool(std::size_t)> refuses_;
    // Returns what a backend server states in a response. When unset, they state nothing.
    std::function<BackendNotice(std::size_t)> notice_;
    // Returns true when a backend server does not respond to the next health check.
    std::function<bool(std::size_t)> ignoresChecks_;
    // Returns true when a backend server never responds to the next request.
    std::function<bool(std::size_t)> hangs_;
    // Bytes per second of each instance's network link; zero when it takes no time. What an instance sends waits for earlier responses.
    Bytes linkBytesPerSecond_;
    // Number of relayed responses that came from other regions.
    int crossRegionRelays_ = 0;
    // Instances whose store requests fail.
    std::set<std::size_t> storeUnavailableFor_;
    // Error of the wall clock from which incarnation numbers are taken.
    Millis clockOffset_;
    // Number of health checks that succeeded.
    std::uint64_t healthChecks_ = 0;
    // Probability that a datagram is lost, and that it is duplicated, in permille.
    std::uint64_t datagramFaultPermille_ = 0;
    // Probability that a message is delayed by up to two seconds, in permille.
    std::uint64_t delayedMessagePermille_ = 0;
    // Called for every effect with the index of its instance, so that tests can observe traffic.
    std::function<void(std::size_t, const Effect &)> effectObserver_;

private:
    // An action to run at a time. Actions of the same time run in the order in which they were scheduled.
    struct ScheduledAction {
        Millis time_;
        std::uint64_t order_ = 0;
        std::function<void()> action_;
        bool operator<(const ScheduledAction &other) const
        {
            return std::tie(time_, order_) > std::tie(other.time_, other.order_);
        }
    };
    using ExchangePtr = std::shared_ptr<FakeExchange>;

    // Delivers an event to one process of an instance: drops it when that process has ended, queues it while the instance is paused.
    void deliver(std::size_t index, int generation, Event event);
    // Runs one tick of an instance and applies its effects.
    void tick(std::size_t index, Inbox inbox);
    // Schedules a tick at the next deadline of an instance's world.
    void scheduleWakeUp(std::size_t index);
    // Announces the backend server of an instance if it runs, and schedules the next announcement.
    void announce(std::size_t index);
    // Draws the delay of one message: shortest within an instance, longest between regions.
    Millis drawDelay(std::size_t from, std::size_t to);
    // True when two instances are in the same region.
    static bool sameRegion(std::size_t first, std::size_t second);
    // Index of the running instance with an address.
    std::optional<std::size_t> find(const Address &address) const;
    // True while the network between two instances is partitioned.
    bool isPartitioned(std::size_t first, std::size_t second) const;
    // Time at which the link of an instance has sent this number of bytes behind all earlier ones.
    Millis sendOverLink(std::size_t index, Bytes size);
    // Sends an event on an exchange, in order, with a drawn delay.
    void sendToServer(const ExchangePtr &exchange, Event event);
    void sendToClient(const ExchangePtr &exchange, Event event);
    // Breaks the connection of an exchange; both ends notice after DisconnectDelay.
    void breakExchange(const ExchangePtr &exchange);
    // Breaks all exchanges from and to an instance.
    void breakExchangesOf(std::size_t index);
    // Runs a request at the backend server of an instance.
    void runRequest(std::size_t index, const ExchangePtr &exchange, const BackendStart &backend);
    // Tells an instance what its backend server states in a response to something that was sent at the given time.
    void deliverNotice(std::size_t index, int generation, const BackendStart &backend, Millis askedAt);
    // The result of a call if it was made at this instance; nullptr otherwise.
    CallResult *resultOf(std::size_t index, CallHandle handle);

    // Apply one effect of an instance's world; one overload for each type.
    void apply(std::size_t index, const StartExchange &effect);
    void apply(std::size_t index, const SendConfirmation &effect);
    void apply(std::size_t index, const SendWithdrawal &effect);
    void apply(std::size_t index, const AbandonExchange &effect);
    void apply(std::size_t index, const RelayResponse &effect);
    void apply(std::size_t index, const FailCall &effect);
    void apply(std::size_t index, const AbortCall &effect);
    void apply(std::size_t index, const ReplyToOffer &effect);
    void apply(std::size_t index, const ReplyToWithdrawal &effect);
    void apply(std::size_t index, const HandOver &effect);
    void apply(std::size_t index, const FailExchange &effect);
    void apply(std::size_t index, const EndExchange &effect);
    void apply(std::size_t index, const CancelBackendRequest &effect);
    void apply(std::size_t index, const CheckBackendHealth &effect);
    // Responds to a watch as soon as the data has changed, at the latest at the given time.
    void respondToWatch(std::size_t index, int generation, const SendStoreRequest &effect, Millis until);
    void apply(std::size_t index, const SendDatagram &effect);
    void apply(std::size_t index, const SendTicketPull &effect);
    void apply(std::size_t index, const SendTicketBatch &effect);
    void apply(std::size_t index, const SendStoreRequest &effect);
    void apply(std::size_t index, const ReplyToTicket &effect);
    void apply(std::size_t index, const LogStateChange &effect);
    void apply(std::size_t index, const LogDecision &effect);
    void apply(std::size_t index, const RecordSpan &effect);
    void apply(std::size_t index, const Exit &effect);

    std::string service_ = "booking";
    Random random_;
    Millis now_{1000};
    std::uint64_t order_ = 0;
    std::priority_queue<ScheduledAction> queue_;
    std::set<std::pair<std::size_t, std::size_t>> partitions_;
    std::uint64_t lastHandle_ = 0;
    // Instance that accepted each call.
    std::map<std::size_t, std::size_t> callInstances_;
    std::map<std::pair<std::size_t, AttemptId>, ExchangePtr> byAttempt_;
    std::map<std::pair<std::size_t, ExchangeHandle>, ExchangePtr> byHandle_;
};

// A ticket that declares the service "booking" with classes read, check, write, keyed and upload, and a measuring budget.
Ticket standardTicket(std::uint64_t number, const std::string &submission = "first");

} // namespace radishford
