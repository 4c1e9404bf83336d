// The daemon: a world and the parts that carry out its effects.
#pragma once

#include "daemon/admin_pages.h"
#include "daemon/announce_page.h"
#include "daemon/settings.h"
#include "net/caller_server.h"
#include "net/datagram_port.h"
#include "net/engine.h"
#include "net/exchange_client.h"
#include "net/exchange_server.h"
#include "net/store_client.h"

namespace radishford {

// Wires the front end's parts to one world. Each effect type has one overload of on(), reached by a table.
class Daemon : public EffectHandler
{
public:
    // Opens all ports. Throws boost::system::system_error when one is taken.
    Daemon(asio::io_context &context, const DaemonSettings &settings, const Dialect &dialect, std::uint64_t seed);

    // The world and its events, for parts that start after the daemon.
    Engine &engine();

    // Starts to serve.
    void start();

    // Ends the process once nothing is in flight.
    void shutDown();

    void apply(const Effect &effect) override;

    // Carries out one type of effect each.
    void on(const StartExchange &effect);
    void on(const SendGo &effect);
    void on(const SendWithdraw &effect);
    void on(const DropExchange &effect);
    void on(const RelayAnswer &effect);
    void on(const FailCall &effect);
    void on(const AbortCall &effect);
    void on(const ReplyOffer &effect);
    void on(const ReplyWithdraw &effect);
    void on(const HandOver &effect);
    void on(const FailExchange &effect);
    void on(const EndExchange &effect);
    void on(const CancelBackend &effect);
    void on(const CheckBackend &effect);
    void on(const SendDatagram &effect);
    void on(const SendTicketPull &effect);
    void on(const SendTicketBatch &effect);
    void on(const SendStore &effect);
    void on(const ReplyTicket &effect);
    void on(const LogChange &effect);
    void on(const LogDecision &effect);
    void on(const EndSpan &effect);
    void on(const Exit &effect);

private:
    asio::io_context &context_;
    DaemonSettings settings_;
    Engine engine_;
    CallerServer callers_;
    ExchangeClient exchangeClient_;
    ExchangeServer exchangeServer_;
    DatagramPort datagrams_;
    StoreClient store_;
    AnnouncePage announce_;
    AdminPages admin_;
};

} // namespace radishford
