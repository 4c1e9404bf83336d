// Datagrams between daemons.
#pragma once

#include "fleet/instance_type.h"
#include "measure/load_type.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace radishford {

// What a message is sent for. Every outgoing message is charged to one of these.
enum class Purpose : std::uint8_t {
    Call, // First attempts of calls, their bodies and answers.
    Retry, // Further attempts.
    Measuring, // Probes, and load reports that ride on other messages.
    Membership, // Heartbeats and instance records.
    Configuration, // Tickets.
    Store, // Requests to the platform's table service.
    Quarantine, // Notices of suspected requests.
    Count, // Number of purposes.
};

// Part that every heartbeat message carries.
struct GossipHeader {
    // Name of the sender.
    InstanceName sender_;
    // Matches an acknowledgement to its ping.
    std::uint32_t sequence_ = 0;
    // Hash over the sender's table of live instances.
    std::uint64_t tableHash_ = 0;
    // Instances that the sender holds for running.
    std::uint32_t running_ = 0;
    // Highest ticket below and including which the sender knows everything.
    TicketNumber ticket_;
    // True when the sender serves by that ticket, rather than still joining.
    bool current_ = false;
    // Records to merge.
    std::vector<InstanceRecord> records_;
};

// Heartbeat request.
struct Ping {
    GossipHeader header_;
};

// Heartbeat answer.
struct Ack {
    GossipHeader header_;
};

// Asks the receiver to ping a third instance.
struct PingRequest {
    GossipHeader header_;
    // Whom to ping.
    Address target_;
};

// Asks for a load report.
struct Probe {
    // Matches the reply.
    std::uint64_t token_ = 0;
    // Which backend server the report must be about.
    ServiceName service_;
};

// Answers a probe.
struct ProbeReply {
    // The probe's token.
    std::uint64_t token_ = 0;
    // Name of the sender.
    InstanceName sender_;
    // Load of the sender's backend server.
    LoadReport report_;
};

// Tells the daemons of a service about a request that was running when its backend server failed.
struct SuspectNotice {
    // Matches the acknowledgement.
    std::uint64_t token_ = 0;
    // Hash of the request.
    Fingerprint fingerprint_;
    // Ids of failures of backend servers while it ran.
    std::vector<std::uint64_t> failures_;
    // True when the request has since run whole and is no longer suspected.
    bool cleared_ = false;
};

// Confirms a notice.
struct SuspectAck {
    // The notice's token.
    std::uint64_t token_ = 0;
};

// Any datagram.
using Datagram = std::variant<Ping, Ack, PingRequest, Probe, ProbeReply, SuspectNotice, SuspectAck>;

} // namespace radishford
