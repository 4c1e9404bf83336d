// UDP socket for datagrams between daemons.
#include "net/datagram_port.h"

#include "core/error.h"
#include "wire/codec.h"

namespace radishford {

DatagramPort::DatagramPort(WorldRunner &worldRunner, const Address &address)
    : worldRunner_(worldRunner)
    , socket_(worldRunner.context(), toEndpoint<udp>(address))
{
    socket_.non_blocking(true);
}

void DatagramPort::start()
{
    asio::co_spawn(socket_.get_executor(), receiveLoop(), asio::detached);
}

void DatagramPort::send(const SendDatagram &effect)
{
    try {
        const std::string bytes = encodeDatagram(effect.datagram_);
        error_code ignored;
        socket_.send_to(asio::buffer(bytes), toEndpoint<udp>(effect.to_), 0, ignored);
    } catch (const Error &) {
        ++worldRunner_.counters().badMessages_;
    }
}

Task<> DatagramPort::receiveLoop()
{
    std::array<char, MaxDatagramBytes + 1> buffer{};
    for (;;) {
        udp::endpoint from;
        error_code errorCode;
        const std::size_t size = co_await socket_.async_receive_from(asio::buffer(buffer), from, asio::redirect_error(asio::use_awaitable, errorCode));
        if (errorCode == asio::error::operation_aborted) {
            co_return;
        }
        if (errorCode) {
            continue;
        }
        try {
            worldRunner_.post(DatagramArrived{fromEndpoint(from), decodeDatagram({buffer.data(), size})});
        } catch (const Error &) {
            ++worldRunner_.counters().badMessages_;
        }
    }
}

} // namespace radishford
