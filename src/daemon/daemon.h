// The daemon process: connects the decision state (World) with the network components that carry out its effects.
#pragma once

#include "daemon/admin_server.h"
#include "daemon/announcement_server.h"
#include "daemon/settings.h"
#include "net/caller_server.h"
#include "net/datagram_port.h"
#include "net/exchange_client.h"
#include "net/exchange_server.h"
#include "net/store_client.h"
#include "net/world_runner.h"

namespace radishford {

// Owns the decision state and all network components. Each effect type has one overload of handle(), which a dispatch table calls.
class Daemon : public EffectHandler
{
public:
    // Opens all ports; connections wait until start(). Throws boost::system::system_error when a port is in use.
    Daemon(asio::io_context &context, const DaemonSettings &settings, const HttpAdapters &adapters, std::uint64_t seed);

    // Returns the runner of the world, through which components that are started later read its state and post events.
    WorldRunner &worldRunner();

    // Starts to accept connections and datagrams.
    void start();

    // Starts a graceful shutdown: the process exits once the minimum shutdown time is over and no calls of callers or admissions remain,
    // and at the latest when the maximum shutdown time is over.
    void requestShutdown();

    void apply(const Effect &effect) override;

    // Each overload carries out one type of effect. They are public only for the dispatch table; other code calls apply().
    void handle(const StartExchange &effect);
    void handle(const SendConfirmation &effect);
    void handle(const SendWithdrawal &effect);
    void handle(const AbandonExchange &effect);
    void handle(const RelayResponse &effect);
    void handle(const FailCall &effect);
    void handle(const AbortCall &effect);
    void handle(const ReplyToOffer &effect);
    void handle(const ReplyToWithdrawal &effect);
    void handle(const HandOver &effect);
    void handle(const FailExchange &effect);
    void handle(const EndExchange &effect);
    void handle(const CancelBackendRequest &effect);
    void handle(const CheckBackendHealth &effect);
    void handle(const SendDatagram &effect);
    void handle(const SendTicketPull &effect);
    void handle(const SendTicketBatch &effect);
    void handle(const SendStoreRequest &effect);
    void handle(const ReplyToTicket &effect);
    void handle(const LogStateChange &effect);
    void handle(const LogDecision &effect);
    void handle(const RecordSpan &effect);
    void handle(const Exit &effect);

private:
    // Waits until callers and other daemons have the responses that they are owed, then stops.
    Task<> completeExit();

    // Stops the io_context, which ends the process.
    void stop();

    asio::io_context &context_;
    DaemonSettings settings_;
    WorldRunner worldRunner_;
    CallerServer callerServer_;
    ExchangeClient exchangeClient_;
    ExchangeServer exchangeServer_;
    DatagramPort datagramPort_;
    StoreClient storeClient_;
    AnnouncementServer announcementServer_;
    AdminServer adminServer_;
    // Ends an exit that callers delay.
    asio::steady_timer exitTimer_;
};

} // namespace radishford
