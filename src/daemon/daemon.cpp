// The daemon process: connects the decision state (World) with the network components that carry out its effects.
#include "daemon/daemon.h"

#include "daemon/log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace radishford {

namespace {

// Calls the overload of handle() for the alternative of Effect with this index.
template<std::size_t Index>
void dispatchAt(Daemon &daemon, const Effect &effect)
{
    daemon.handle(std::get<Index>(effect));
}

using EffectDispatcher = void (*)(Daemon &, const Effect &);

// Builds the table of dispatch functions, one for each alternative of Effect in its order.
template<std::size_t... Indexes>
constexpr std::array<EffectDispatcher, sizeof...(Indexes)> makeDispatchTable(std::index_sequence<Indexes...>)
{
    return {dispatchAt<Indexes>...};
}

// Minimum time between the decision to exit and the exit, for datagrams, store requests and other messages of the last tick, and for responses
// when the maximum duration of the shutdown is already over.
constexpr Millis MinExitTime{100};

constexpr auto DispatchTable = makeDispatchTable(std::make_index_sequence<std::variant_size_v<Effect>>());

} // namespace

Daemon::Daemon(asio::io_context &context, const DaemonSettings &settings, const HttpAdapters &adapters, std::uint64_t seed)
    : context_(context)
    , settings_(settings)
    , worldRunner_(context, settings.world_, seed, *this)
    , callerServer_(worldRunner_, settings.callerAddress_, settings.callerLimits_, adapters.calls_)
    , exchangeClient_(worldRunner_, callerServer_)
    , exchangeServer_(worldRunner_, settings.world_.address_, settings.exchangeLimits_, adapters.backend_)
    , datagramPort_(worldRunner_, settings.world_.address_)
    , storeClient_(worldRunner_, settings.storeAddress_, adapters.store_)
    , announcementServer_(worldRunner_, settings.announcementAddress_, adapters.backend_)
    , adminServer_(worldRunner_, settings)
    , exitTimer_(context)
{
}

void Daemon::start()
{
    callerServer_.start();
    exchangeServer_.start();
    datagramPort_.start();
    announcementServer_.start();
    adminServer_.start();
}

WorldRunner &Daemon::worldRunner()
{
    return worldRunner_;
}

void Daemon::requestShutdown()
{
    worldRunner_.post(ShutdownRequested{});
}

void Daemon::apply(const Effect &effect)
{
    DispatchTable[effect.index()](*this, effect);
}

void Daemon::handle(const StartExchange &effect)
{
    exchangeClient_.start(effect);
}

void Daemon::handle(const SendConfirmation &effect)
{
    exchangeClient_.sendConfirmation(effect.attempt_);
}

void Daemon::handle(const SendWithdrawal &effect)
{
    exchangeClient_.sendWithdrawal(effect.attempt_);
}

void Daemon::handle(const AbandonExchange &effect)
{
    exchangeClient_.abandon(effect.attempt_);
}

void Daemon::handle(const RelayResponse &effect)
{
    exchangeClient_.allowRelay(effect.attempt_);
}

void Daemon::handle(const FailCall &effect)
{
    callerServer_.fail(effect);
}

void Daemon::handle(const AbortCall &effect)
{
    callerServer_.abort(effect.call_, effect.reason_);
}

void Daemon::handle(const ReplyToOffer &effect)
{
    exchangeServer_.reply(effect);
}

void Daemon::handle(const ReplyToWithdrawal &effect)
{
    exchangeServer_.reply(effect);
}

void Daemon::handle(const HandOver &effect)
{
    exchangeServer_.handOver(effect);
}

void Daemon::handle(const FailExchange &effect)
{
    exchangeServer_.fail(effect);
}

void Daemon::handle(const EndExchange &effect)
{
    exchangeServer_.end(effect);
}

void Daemon::handle(const CancelBackendRequest &effect)
{
    exchangeServer_.cancel(effect);
}

void Daemon::handle(const CheckBackendHealth &effect)
{
    exchangeServer_.check(effect);
}

void Daemon::handle(const SendDatagram &effect)
{
    datagramPort_.send(effect);
}

void Daemon::handle(const SendTicketPull &effect)
{
    exchangeClient_.pullTickets(effect);
}

void Daemon::handle(const SendTicketBatch &effect)
{
    exchangeClient_.pushTickets(effect);
}

void Daemon::handle(const SendStoreRequest &effect)
{
    storeClient_.send(effect);
}

void Daemon::handle(const ReplyToTicket &effect)
{
    adminServer_.completeSubmission(effect);
}

void Daemon::handle(const LogStateChange &effect)
{
    logChange(effect.text_);
}

void Daemon::handle(const LogDecision &effect)
{
    logDecision(effect, WorldRunner::now());
}

void Daemon::handle(const RecordSpan &effect)
{
    worldRunner_.spans().add(effect);
    if (effect.name_ == "call") {
        worldRunner_.latency().add(effect.end_ - effect.start_);
    }
}

void Daemon::handle(const Exit &effect)
{
    callerServer_.startDraining();
    exchangeServer_.startDraining();
    asio::co_spawn(context_, completeExit(), asio::detached);
    if (effect.latestAt_ == Millis::never()) {
        return;
    }
    exitTimer_.expires_after(toChrono(std::max(MinExitTime, effect.latestAt_ - WorldRunner::now())));
    exitTimer_.async_wait([this](const error_code &errorCode) {
        if (!errorCode) {
            stop();
        }
    });
}

Task<> Daemon::completeExit()
{
    const Millis earliestExit = WorldRunner::now() + MinExitTime;
    co_await callerServer_.waitUntilDrained();
    asio::steady_timer timer(context_, toChrono(std::max(Millis(), earliestExit - WorldRunner::now())));
    co_await timer.async_wait(asio::use_awaitable);
    co_await exchangeServer_.waitUntilDrained();
    stop();
}

void Daemon::stop()
{
    logChange("exit with " + std::to_string(callerServer_.openRequestCount()) + " open requests of callers");
    context_.stop();
}

} // namespace radishford
