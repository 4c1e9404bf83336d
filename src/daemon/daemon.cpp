// The daemon: a world and the parts that carry out its effects.
#include "daemon/daemon.h"

#include "daemon/log.h"

#include <array>
#include <utility>

namespace radishford {

namespace {

// Hands the effect type at one index of Effect to its overload.
template<std::size_t Index>
void applyAt(Daemon &daemon, const Effect &effect)
{
    daemon.on(std::get<Index>(effect));
}

using EffectFunction = void (*)(Daemon &, const Effect &);

// The functions of all effect types, by index of Effect.
template<std::size_t... Indexes>
constexpr std::array<EffectFunction, sizeof...(Indexes)> effectFunctions(std::index_sequence<Indexes...>)
{
    return {applyAt<Indexes>...};
}

constexpr auto EffectFunctions = effectFunctions(std::make_index_sequence<std::variant_size_v<Effect>>());

} // namespace

Daemon::Daemon(asio::io_context &context, const DaemonSettings &settings, const Dialect &dialect, std::uint64_t seed)
    : context_(context)
    , settings_(settings)
    , engine_(context, settings.world_, seed, *this)
    , callers_(engine_, settings.callerAddress_, settings.callerLimits_, dialect.calls_)
    , exchangeClient_(engine_, callers_)
    , exchangeServer_(engine_, settings.world_.address_, settings.exchangeLimits_, dialect.backend_)
    , datagrams_(engine_, settings.world_.address_)
    , store_(engine_, settings.storeAddress_, dialect.store_)
    , announce_(engine_, settings.announceAddress_, dialect.backend_)
    , admin_(engine_, settings)
{
}

void Daemon::start()
{
    callers_.start();
    exchangeServer_.start();
    datagrams_.start();
    announce_.start();
    admin_.start();
}

Engine &Daemon::engine()
{
    return engine_;
}

void Daemon::shutDown()
{
    engine_.post(ShutdownAsked{});
}

void Daemon::apply(const Effect &effect)
{
    EffectFunctions[effect.index()](*this, effect);
}

void Daemon::on(const StartExchange &effect)
{
    exchangeClient_.start(effect);
}

void Daemon::on(const SendGo &effect)
{
    exchangeClient_.go(effect.attempt_);
}

void Daemon::on(const SendWithdraw &effect)
{
    exchangeClient_.withdraw(effect.attempt_);
}

void Daemon::on(const DropExchange &effect)
{
    exchangeClient_.drop(effect.attempt_);
}

void Daemon::on(const RelayAnswer &effect)
{
    exchangeClient_.grant(effect.attempt_);
}

void Daemon::on(const FailCall &effect)
{
    callers_.fail(effect);
}

void Daemon::on(const AbortCall &effect)
{
    callers_.cut(effect.call_);
}

void Daemon::on(const ReplyOffer &effect)
{
    exchangeServer_.reply(effect);
}

void Daemon::on(const ReplyWithdraw &effect)
{
    exchangeServer_.reply(effect);
}

void Daemon::on(const HandOver &effect)
{
    exchangeServer_.handOver(effect);
}

void Daemon::on(const FailExchange &effect)
{
    exchangeServer_.fail(effect);
}

void Daemon::on(const EndExchange &effect)
{
    exchangeServer_.end(effect);
}

void Daemon::on(const CancelBackend &effect)
{
    exchangeServer_.cancel(effect);
}

void Daemon::on(const CheckBackend &effect)
{
    exchangeServer_.check(effect);
}

void Daemon::on(const SendDatagram &effect)
{
    datagrams_.send(effect);
}

void Daemon::on(const SendTicketPull &effect)
{
    exchangeClient_.pullTickets(effect);
}

void Daemon::on(const SendTicketBatch &effect)
{
    exchangeClient_.pushTickets(effect);
}

void Daemon::on(const SendStore &effect)
{
    store_.send(effect);
}

void Daemon::on(const ReplyTicket &effect)
{
    admin_.answerTicket(effect);
}

void Daemon::on(const LogChange &effect)
{
    logChange(effect.text_);
}

void Daemon::on(const LogDecision &effect)
{
    logDecision(effect, Engine::now());
}

void Daemon::on(const EndSpan &effect)
{
    engine_.spans().add(effect);
    if (effect.name_ == "call") {
        engine_.latency().add(effect.end_ - effect.start_);
    }
}

void Daemon::on(const Exit & /*effect*/)
{
    // Datagrams of this tick have been sent; answers on open connections get a moment to leave.
    constexpr std::chrono::milliseconds Linger(100);
    const auto timer = std::make_shared<asio::steady_timer>(context_, Linger);
    timer->async_wait([this, timer](const error_code & /*problem*/) { context_.stop(); });
}

} // namespace radishford
