// Encoding: messages round-trip, corrupted bytes give an Error with a result code, and the accounted size is never too small.
#define BOOST_TEST_MODULE codec
#include "core/error.h"
#include "fake/fake_fleet.h"
#include "measure/measurement_budget_func.h"
#include "wire/codec.h"
#include "wire/store_json.h"
#include "wire/ticket_json.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

constexpr std::int64_t IpAndUdpHeader = 28;

std::string randomString()
{
    return *rc::gen::resize(30, rc::gen::string<std::string>());
}

InstanceRecord randomRecord()
{
    InstanceRecord record;
    record.name_ = InstanceName(randomString());
    record.failureDomain_ = randomString();
    record.service_ = ServiceName(randomString());
    record.address_ = Address{*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint16_t>()};
    record.incarnation_ = Incarnation(*rc::gen::arbitrary<std::uint64_t>());
    record.version_ = *rc::gen::arbitrary<std::uint32_t>();
    record.health_ = static_cast<Health>(*rc::gen::inRange(0, 4));
    record.backend_ = static_cast<BackendState>(*rc::gen::inRange(0, 4));
    record.leavingBackend_ = BackendStartHash(*rc::gen::arbitrary<std::uint64_t>());
    return record;
}

GossipHeader randomHeader()
{
    GossipHeader header;
    header.sender_ = InstanceName(randomString());
    header.tableHash_ = *rc::gen::arbitrary<std::uint64_t>();
    const int records = *rc::gen::inRange(0, 6);
    for (int count = 0; count < records; ++count) {
        header.records_.push_back(randomRecord());
    }
    return header;
}

SuspectRecord randomSuspect()
{
    const auto failure = [](std::uint64_t id, bool isAttributed, bool isCleared) { return SuspectFailure{FailureId(id), isAttributed, isCleared}; };
    const Millis remaining = Millis::fromMicros(*rc::gen::inRange<std::int64_t>(0, 600000000));
    return SuspectRecord{Fingerprint(*rc::gen::arbitrary<std::uint64_t>()), {failure(7, true, false), failure(8, false, true)}, true, remaining};
}

// One datagram of each type with random contents.
std::vector<Datagram> randomDatagrams()
{
    return {Ping{randomHeader()},
            Ack{randomHeader(), BackendStartHash(9)},
            PingRequest{randomHeader(), Address{1, 2}},
            Probe{3, ServiceName(randomString())},
            ProbeReply{4, InstanceName(randomString()), LoadReport{Slots(1), Slots(2), Slots(3), Millis(4)}},
            ProbeReply{4, InstanceName(randomString()), LoadReport{Slots(1), Slots(2), Slots(3), Millis(4), {}, 0, {}, {}, Millis(41), Millis(90)}},
            SuspectRequestNotice{5, randomSuspect()},
            SuspectUpdate{{randomSuspect(), SuspectRecord{}, randomSuspect()}},
            SuspectRequestAck{7}};
}

} // namespace

RC_BOOST_PROP(datagrams_round_trip_and_are_accounted_in_full, ())
{
    for (const Datagram &datagram : randomDatagrams()) {
        const std::string bytes = encodeDatagram(datagram);
        RC_ASSERT(encodeDatagram(decodeDatagram(bytes)) == bytes);
        RC_ASSERT(maxDatagramWireSize(datagram).value() >= static_cast<std::int64_t>(bytes.size()) + IpAndUdpHeader);
    }
}

// Truncated, changed or appended random bytes are either decoded or rejected with MessageMalformed; no other exception is thrown.
RC_BOOST_PROP(corrupted_datagrams_are_decoded_or_rejected, ())
{
    std::string bytes = encodeDatagram(Ping{randomHeader()});
    const std::size_t position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[position] = *rc::gen::arbitrary<char>();
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    try {
        decodeDatagram(bytes);
    } catch (const Error &error) {
        RC_ASSERT(error.code() == ResultCode::MessageMalformed);
    }
}

RC_BOOST_PROP(corrupted_frames_are_decoded_or_rejected, ())
{
    Offer offer;
    offer.isFromBackend_ = true;
    offer.leavingBackend_ = BackendStartHash(7);
    offer.callToken_ = randomString();
    std::string bytes = encodeFrame(offer).substr(FrameLengthBytes);
    const std::size_t position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[position] = *rc::gen::arbitrary<char>();
    bytes += *rc::gen::string<std::string>();
    try {
        decodeFrame(bytes);
    } catch (const Error &error) {
        RC_ASSERT(error.code() == ResultCode::MessageMalformed);
    }
}

BOOST_AUTO_TEST_CASE(notices_of_backend_servers_round_trip)
{
    const BackendStartHash start = hashOf(BackendStart{BackendId("i-1"), Incarnation(7)});
    ResponseHead head;
    head.leavingBackend_ = start;
    Offer offer;
    offer.isFromBackend_ = true;
    offer.leavingBackend_ = start;
    OfferReply reply;
    reply.report_ = LoadReport{Slots(1), Slots(2), Slots(3), Millis(4), {}, 0, {}, {}, Millis(41), Millis(90)};
    const auto decode = [](const Frame &frame) { return decodeFrame(encodeFrame(frame).substr(FrameLengthBytes)); };
    BOOST_TEST((std::get<ResponseHead>(decode(head)).leavingBackend_ == start));
    const Offer decoded = std::get<Offer>(decode(offer));
    BOOST_TEST(decoded.isFromBackend_);
    BOOST_TEST((decoded.leavingBackend_ == start));
    const LoadReport report = std::get<OfferReply>(decode(reply)).report_;
    BOOST_TEST((report.requestInterval_ == Millis(41)));
    BOOST_TEST((report.limitWait_ == Millis(90)));
}

BOOST_AUTO_TEST_CASE(oversized_messages_are_rejected)
{
    BOOST_CHECK_THROW(encodeFrame(BodyChunk{1, std::string(MaxFrameBytes, 'x')}), Error);
    BOOST_CHECK_THROW(decodeFrameLength("\xff\xff\xff\x7f"), Error);
    Ping ping;
    ping.header_.records_.resize(40);
    BOOST_CHECK_THROW(encodeDatagram(ping), Error);
}

BOOST_AUTO_TEST_CASE(a_heartbeat_with_the_longest_names_fits_into_a_datagram)
{
    InstanceRecord record;
    record.name_ = InstanceName(std::string(48, 'n'));
    record.failureDomain_ = std::string(32, 'd');
    record.service_ = ServiceName(std::string(48, 's'));
    GossipHeader header;
    header.sender_ = record.name_;
    header.records_.assign(7, record);
    BOOST_TEST(encodeDatagram(PingRequest{header, Address{1, 2}}).size() <= MaxDatagramBytes);
    BOOST_TEST(encodeDatagram(Ack{header, BackendStartHash(1)}).size() <= MaxDatagramBytes);
}

BOOST_AUTO_TEST_CASE(tickets_round_trip_through_frames_and_json)
{
    Ticket ticket = standardTicket(9, "id");
    ticket.objects_.push_back(TicketObject{"i1", TicketNumber(9), DrainSpec{true}});
    ticket.objects_.push_back(TicketObject{"00ff", TicketNumber(9), QuarantineSpec{false}});
    const std::string text = boost::json::serialize(toJson(ticket));
    BOOST_TEST(boost::json::serialize(toJson(parseTicket(text))) == text);
    TicketBatch batch;
    batch.objects_ = ticket.objects_;
    const std::string bytes = encodeFrame(batch);
    BOOST_TEST((encodeFrame(decodeFrame(std::string_view(bytes).substr(FrameLengthBytes))) == bytes));
}

BOOST_AUTO_TEST_CASE(invalid_tickets_give_the_expected_result_code)
{
    const std::vector<std::pair<std::string, ResultCode>> cases{
        {"{", ResultCode::BadJson},
        {"[]", ResultCode::WrongType},
        {R"({"author":"a","reason":"r"})", ResultCode::MissingKey},
        {R"({"author":"a","reason":"r","objects":[],"extra":1})", ResultCode::UnknownKey},
        {R"({"author":"a","reason":"r","objects":[{"kind":"cat","name":"x"}]})", ResultCode::OutOfRange},
        {R"({"author":"a","reason":"r","objects":[{"kind":"drain","name":"x","draining":1}]})", ResultCode::WrongType},
        {R"({"author":"a","reason":"r","objects":[{"kind":"drain","name":"x"},{"kind":"drain","name":"x"}]})", ResultCode::DuplicateName},
        {R"({"author":"a","reason":"r","objects":[{"kind":"service","name":"x","classes":[{"name":"c","queue":-1}]}]})", ResultCode::OutOfRange},
        {R"({"author":"a","reason":"r","objects":[{"kind":"service","name":"x","classes":[{"name":"c"},{"name":"c"}]}]})", ResultCode::DuplicateName},
    };
    for (const auto &[text, code] : cases) {
        try {
            parseTicket(text);
            BOOST_ERROR("accepted: " + text);
        } catch (const Error &error) {
            BOOST_TEST((error.code() == code), text + " gave " + error.what());
        }
    }
}

BOOST_AUTO_TEST_CASE(malformed_store_responses_are_rejected)
{
    BOOST_CHECK_THROW(parseStoreResponse(TicketRead{}, "{"), Error);
    BOOST_CHECK_THROW(parseStoreResponse(TicketRead{}, R"({"results":[{"values":["{}"]}]})"), Error);
    BOOST_CHECK_THROW(parseStoreResponse(ClaimDelete{}, R"({"results":[{"done":false,"current":"{}"}]})"), Error);
    BOOST_TEST(parseStoreResponse(TicketRead{}, R"({"results":[{"values":[]}]})").ok_);
}

// An exception other than Error ended the request without a response, and all further claims waited for it.
BOOST_AUTO_TEST_CASE(a_malformed_fingerprint_in_a_claim_row_is_reported)
{
    for (const char *fingerprint : {"", "x", "7x", "-7", "99999999999999999999999"}) {
        const std::string row = std::string(R"({\"call\":\"c\",\"owner\":\"o\",\"fingerprint\":\")") + fingerprint + R"(\"})";
        const std::string text = R"({"results":[{"done":false,"current":")" + row + R"("}]})";
        BOOST_CHECK_THROW(parseStoreResponse(ClaimDelete{}, text), Error);
    }
}

// Guards against a boolean with a value other than 0 and 1, on which the program's course would depend.
BOOST_AUTO_TEST_CASE(a_frame_with_an_invalid_boolean_is_rejected)
{
    std::string bytes = encodeFrame(WithdrawalReply{1, true}).substr(FrameLengthBytes);
    BOOST_TEST(std::get<WithdrawalReply>(decodeFrame(bytes)).handedOver_);
    bytes.back() = static_cast<char>(224);
    BOOST_CHECK_THROW(decodeFrame(bytes), Error);
}
