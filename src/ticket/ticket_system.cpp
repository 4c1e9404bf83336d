// Distributes tickets, lets new daemons join and submits operators' tickets.
#include "fleet/instance_func.h"
#include "store/store_func.h"
#include "ticket/ticket_func.h"
#include "world/world.h"

#include <algorithm>
#include <utility>

namespace radishford {

namespace {

// A pull from a peer is abandoned after this time.
constexpr Millis PullTimeout{1000};
// Interval at which a joining daemon reads the store until its configuration is current.
constexpr Millis JoinReadInterval{1000};
// Minimum time between two reads of a daemon that serves.
constexpr Millis MinReadInterval{1000};
// A submission without a response from the store ends with an unknown outcome after this time.
constexpr Millis SubmissionTimeout{8000};
// Time between two attempts to write a submission.
constexpr Millis SubmissionRetryDelay{300};

// Applies all objects of a ticket.
void applyTicket(World &world, const Ticket &ticket)
{
    for (const TicketObject &object : ticket.objects_) {
        applyObject(world, object);
    }
}

// Applies the objects of all tickets, and advances the highest ticket as long as the numbers follow without a gap. A stale response of the
// store changes nothing.
void applyInOrder(World &world, const std::vector<Ticket> &tickets)
{
    for (const Ticket &ticket : tickets) {
        applyTicket(world, ticket);
        if (ticket.number_.value() == world.tickets_.highestTicket_.value() + 1) {
            advanceHighestTicket(world, ticket.number_);
        }
    }
}

// Sends the objects set after a ticket to one random running daemon in each failure domain, so that they are applied there without waiting
// for heartbeats.
void pushToEachDomain(World &world, TicketNumber after)
{
    const TicketBatch batch = objectsSetAfter(world, after);
    for (const std::vector<InstanceId> &domain : world.fleet_.byDomain_) {
        std::vector<InstanceId> running;
        std::copy_if(domain.begin(), domain.end(), std::back_inserter(running),
                     [&](InstanceId id) { return id != world.fleet_.self_ && isRunning(*world.fleet_.rows_.get(id)); });
        if (running.empty()) {
            continue;
        }
        const Instance &peer = *world.fleet_.rows_.get(running[world.random_.uniformBelow(running.size())]);
        world.emit(SendTicketBatch{peer.record_.address_, peer.region_, batch});
    }
}

// Reports the result of a submission to the operator, with the conflicting ticket if there is one.
void endSubmission(World &world, const Submission &submission, ResultCode code, const std::vector<Ticket> &conflicting)
{
    world.emit(ReplyToTicket{submission.requestHandle_, code, world.tickets_.highestTicket_, conflicting});
}

// Applies a ticket that the store has accepted, sends it to other daemons and reports success to the operator.
void commitSubmission(World &world, const Submission &submission)
{
    const TicketNumber before = world.tickets_.highestTicket_;
    applyTicket(world, submission.ticket_);
    if (submission.ticket_.number_.value() == before.value() + 1) {
        advanceHighestTicket(world, submission.ticket_.number_);
    }
    pushToEachDomain(world, TicketNumber(submission.ticket_.number_.value() - 1));
    endSubmission(world, submission, ResultCode::Ok, {});
}

// Processes the store's response to a submission. Returns false when the submission must be sent again, since a failed request may have
// been written.
bool handleSubmissionResponse(World &world, Submission &submission, const StoreResponse &response)
{
    if (!response.ok_) {
        submission.mayHaveBeenWritten_ = true;
        submission.nextSendAt_ = world.now_ + SubmissionRetryDelay;
        submission.storeRequestId_ = 0;
        world.counters_.add(Counter::StoreFailures);
        return false;
    }
    const bool isOwn = !response.tickets_.empty() && response.tickets_.front().submission_ == submission.ticket_.submission_;
    if (response.wasInserted_ || isOwn) {
        commitSubmission(world, submission);
        return true;
    }
    applyInOrder(world, response.tickets_);
    endSubmission(world, submission, ResultCode::TicketConflict, response.tickets_);
    return true;
}

// Sends submissions that are due, and ends expired ones with an unknown outcome.
void runSubmissions(World &world)
{
    auto &submissions = world.tickets_.submissions_;
    for (Submission &submission : submissions) {
        if (submission.storeRequestId_ == 0 && world.now_ >= submission.nextSendAt_ && world.now_ < submission.expiresAt_) {
            submission.storeRequestId_ = sendStoreRequest(world, TicketInsert{submission.ticket_});
        }
    }
    std::erase_if(submissions, [&](const Submission &submission) {
        const bool isExpired = world.now_ >= submission.expiresAt_;
        if (isExpired) {
            endSubmission(world, submission, ResultCode::TicketUnknown, {});
        }
        return isExpired;
    });
}

// Returns the time until this daemon's next read. The mean grows with the number of daemons, so that the whole fleet stays at the
// configured rate.
Millis readInterval(World &world)
{
    if (!world.tickets_.isCurrent_) {
        return JoinReadInterval;
    }
    constexpr double MillisPerSecond = 1000.0;
    const double daemons = static_cast<double>(world.fleet_.rows_.size());
    const double mean = daemons / world.settings_.storePollsPerSecond_ * MillisPerSecond;
    // Uniformly distributed around the mean, so that the reads of the fleet are spread evenly.
    const double jittered = mean * (0.5 + world.random_.uniformReal());
    return std::max(MinReadInterval, Millis(static_cast<std::int64_t>(jittered)));
}

// Starts a read of the store when one is due. Daemons that follow the desired state read it by a watch instead.
void runRead(World &world)
{
    TicketTable &tickets = world.tickets_;
    if (world.settings_.isRouted_ || tickets.readRequestId_ != 0 || world.now_ < tickets.nextReadAt_) {
        return;
    }
    tickets.readRequestId_ = sendStoreRequest(world, TicketRead{TicketNumber(tickets.highestTicket_.value() + 1)});
}

// Starts a pull from a peer that has a higher ticket, unless one is running.
void runPull(World &world)
{
    TicketTable &tickets = world.tickets_;
    if (tickets.pullDeadline_ != Millis::never() && world.now_ < tickets.pullDeadline_) {
        return;
    }
    tickets.pullDeadline_ = Millis::never();
    if (tickets.highestSeen_ <= tickets.highestTicket_ || tickets.pullPeer_.port_ == 0) {
        return;
    }
    tickets.pullDeadline_ = world.now_ + PullTimeout;
    world.emit(SendTicketPull{tickets.pullPeer_, regionOfAddress(world, tickets.pullPeer_), TicketPull{tickets.highestTicket_}});
}

// Returns true when a joining daemon knows that its configuration is not outdated.
bool mayServe(const World &world)
{
    const TicketTable &tickets = world.tickets_;
    if (world.settings_.isRouted_) {
        return tickets.isVerified_ && tickets.highestTicket_ > TicketNumber();
    }
    if (tickets.highestSeen_ > tickets.highestTicket_) {
        return false;
    }
    // Without the store, daemons with a current configuration must have sent heartbeats from more than half of the failure domains, since
    // any later ticket was sent to all domains.
    const std::size_t quorum = world.settings_.places_.size() / 2 + 1;
    return tickets.isVerified_ || tickets.domainsWithCurrentDaemon_.size() >= quorum;
}

} // namespace

void advanceHighestTicket(World &world, TicketNumber number)
{
    if (number <= world.tickets_.highestTicket_) {
        return;
    }
    world.tickets_.highestTicket_ = number;
    world.tickets_.highestSeen_ = std::max(world.tickets_.highestSeen_, number);
    world.emit(LogStateChange{"ticket " + std::to_string(number.value()) + " in force"});
}

void scheduleFirstTicketRead(World &world)
{
    world.tickets_.nextReadAt_ = world.now_;
}

void recordPeerTicket(World &world, const Address &from, const GossipHeader &header)
{
    TicketTable &tickets = world.tickets_;
    const Instance *row = world.fleet_.rows_.get(findInstanceByAddress(world, from));
    if (row == nullptr) {
        return;
    }
    if (header.isCurrent_) {
        tickets.domainsWithCurrentDaemon_.insert(row->record_.failureDomain_);
    }
    if (header.ticket_ > tickets.highestTicket_) {
        tickets.highestSeen_ = std::max(tickets.highestSeen_, header.ticket_);
        tickets.pullPeer_ = from;
    }
}

void handle(World &world, const TicketBatchArrived &event)
{
    TicketTable &tickets = world.tickets_;
    if (event.from_ == tickets.pullPeer_) {
        tickets.pullDeadline_ = Millis::never();
    }
    if (!event.ok_) {
        // The next heartbeat with a higher ticket sets the peer to pull from.
        tickets.pullPeer_ = Address{};
        return;
    }
    for (const TicketObject &object : event.batch_.objects_) {
        applyObject(world, object);
    }
    // A desired state is complete in itself, so that the one of a peer that serves is as reliable as that of the store.
    tickets.isVerified_ = tickets.isVerified_ || (world.settings_.isRouted_ && event.batch_.isCurrent_);
    if (event.batch_.after_ <= tickets.highestTicket_) {
        advanceHighestTicket(world, event.batch_.highestTicket_);
    } else if (event.batch_.highestTicket_ > tickets.highestSeen_) {
        // The batch leaves out tickets that are missing here; they are pulled from the sender.
        tickets.highestSeen_ = event.batch_.highestTicket_;
        tickets.pullPeer_ = event.from_;
    }
}

void handle(World &world, const TicketSubmitted &event)
{
    const ResultCode code = validateTicket(world, event.ticket_);
    if (isShuttingDown(world)) {
        world.emit(ReplyToTicket{event.handle_, ResultCode::DaemonLeaving, world.tickets_.highestTicket_, {}});
        return;
    }
    if (code != ResultCode::Ok && code != ResultCode::TicketConflict) {
        world.emit(ReplyToTicket{event.handle_, code, world.tickets_.highestTicket_, {}});
        return;
    }
    // A submission whose number is taken is sent to the store all the same. The response contains the ticket with that number, which may be
    // this submission after a lost response.
    Submission submission;
    submission.requestHandle_ = event.handle_;
    submission.ticket_ = event.ticket_;
    submission.expiresAt_ = world.now_ + SubmissionTimeout;
    world.tickets_.submissions_.push_back(std::move(submission));
}

void endSubmissions(World &world)
{
    for (const Submission &submission : std::exchange(world.tickets_.submissions_, {})) {
        endSubmission(world, submission, ResultCode::TicketUnknown, {});
    }
}

bool handleTicketResponse(World &world, std::uint64_t request, const StoreResponse &response)
{
    TicketTable &tickets = world.tickets_;
    if (request == tickets.readRequestId_) {
        tickets.readRequestId_ = 0;
        applyInOrder(world, response.tickets_);
        if (!response.ok_) {
            world.counters_.add(Counter::StoreFailures);
        } else if (!tickets.isCurrent_) {
            tickets.verifyRequestId_ = sendStoreRequest(world, TicketVerify{TicketNumber(tickets.highestTicket_.value() + 1)});
        }
        tickets.nextReadAt_ = world.now_ + readInterval(world);
        return true;
    }
    if (request == tickets.verifyRequestId_) {
        tickets.verifyRequestId_ = 0;
        tickets.isVerified_ = response.ok_ && response.tickets_.empty();
        applyInOrder(world, response.tickets_);
        return true;
    }
    const auto found = std::find_if(tickets.submissions_.begin(), tickets.submissions_.end(),
                                    [&](const Submission &submission) { return submission.storeRequestId_ == request; });
    if (found == tickets.submissions_.end()) {
        return false;
    }
    if (handleSubmissionResponse(world, *found, response)) {
        tickets.submissions_.erase(found);
    }
    return true;
}

void runTickets(World &world)
{
    runRead(world);
    runPull(world);
    runSubmissions(world);
    if (!world.tickets_.isCurrent_ && mayServe(world)) {
        world.tickets_.isCurrent_ = true;
        world.emit(LogStateChange{"configuration is current: serving"});
    }
}

Millis nextTicketsDue(const World &world)
{
    const TicketTable &tickets = world.tickets_;
    const bool reads = !world.settings_.isRouted_ && tickets.readRequestId_ == 0;
    Millis next = reads ? tickets.nextReadAt_ : Millis::never();
    if (tickets.highestSeen_ > tickets.highestTicket_ && tickets.pullDeadline_ != Millis::never()) {
        next = std::min(next, tickets.pullDeadline_);
    }
    for (const Submission &submission : tickets.submissions_) {
        next = std::min(next, submission.storeRequestId_ == 0 ? submission.nextSendAt_ : submission.expiresAt_);
    }
    return next;
}

} // namespace radishford
