// Datagrams exchanged between daemons.
#pragma once

#include "call/suspect_type.h"
#include "fleet/instance_type.h"
#include "measure/load_report_type.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace radishford {

// Purpose that an outgoing message is accounted to.
enum class MessagePurpose : std::uint8_t {
    Call, // First attempts of calls, their bodies and responses.
    Retry, // Later attempts of calls.
    Measuring, // Probes, and load reports that are sent inside other messages.
    Membership, // Heartbeats and instance records.
    Configuration, // Tickets.
    Store, // Requests to the platform's table service.
    Quarantine, // Notices of requests that may crash backend servers.
    Count, // Number of purposes.
};

// Header of every heartbeat message.
struct GossipHeader {
    // Name of the sender.
    InstanceName sender_;
    // Matches an acknowledgement to its ping.
    std::uint32_t sequence_ = 0;
    // Hash over the running instances in the sender's table.
    std::uint64_t tableHash_ = 0;
    // Number of instances that the sender believes to be running.
    std::uint32_t runningCount_ = 0;
    // Highest ticket number up to which the sender has received every ticket.
    TicketNumber ticket_;
    // Hash of the sender's suspects. A receiver whose own differs sends its suspects.
    std::uint64_t suspectsHash_ = 0;
    // True when the sender applies that configuration to calls; false while it is still joining.
    bool isCurrent_ = false;
    // Records for the receiver to merge; the first one is the sender's own.
    std::vector<InstanceRecord> records_;
};

// Heartbeat request.
struct Ping {
    GossipHeader header_;
};

// Acknowledgement of a ping.
struct Ack {
    GossipHeader header_;
    // The backend server beside the receiver that leaves, as the sender knows; zero when it knows of none. The receiver may have restarted since.
    BackendStartHash leavingBackend_{};
};

// Asks the receiver to ping a third instance.
struct PingRequest {
    GossipHeader header_;
    // Address of the instance to ping.
    Address target_;
};

// Asks for a load report.
struct Probe {
    // Matches the reply.
    std::uint64_t token_ = 0;
    // Service of the backend server that the report must describe.
    ServiceName service_;
};

// Response to a probe.
struct ProbeReply {
    // The probe's token.
    std::uint64_t token_ = 0;
    // Name of the sender.
    InstanceName sender_;
    // Load of the sender's backend server.
    LoadReport report_;
};

// Informs the daemons of a service about a request that was running when its backend server failed, or that has completed since.
struct SuspectRequestNotice {
    // Matches the acknowledgement; zero when none is wanted.
    std::uint64_t token_ = 0;
    SuspectRecord record_;
};

// Acknowledges a notice, so that its sender stops repeating it.
struct SuspectRequestAck {
    // The notice's token.
    std::uint64_t token_ = 0;
};

// Some of the sender's suspects.
struct SuspectUpdate {
    std::vector<SuspectRecord> records_;
};

// Any datagram.
using Datagram = std::variant<Ping, Ack, PingRequest, Probe, ProbeReply, SuspectRequestNotice, SuspectRequestAck, SuspectUpdate>;

} // namespace radishford
