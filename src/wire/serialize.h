// Serialization of all messages. The order of the fields is the wire format.
#pragma once

#include "core/error.h"
#include "fleet/datagram_type.h"
#include "wire/frame_type.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include <algorithm>
#include <type_traits>

namespace radishford {

// Maximum length of a string or list in a message, so that a corrupted length cannot cause a large allocation.
constexpr std::uint32_t MaxElements = 1U << 20U;

// True for archives that encode.
template<typename Archive>
constexpr bool IsSaving = Archive::is_saving::value;

// Checks a decoded enum value or boolean. Throws Error with MessageMalformed when it exceeds the last one.
template<typename T>
void checkRange(T value, T last)
{
    if (value > last) {
        throw Error(ResultCode::MessageMalformed, "value out of range");
    }
}

// Encodes or decodes a string with its length. Decoding allocates at most MaxElements bytes before a corrupted length is detected at the
// end of the message.
template<typename Archive>
void serializeString(Archive &archive, std::string &text)
{
    auto size = static_cast<std::uint32_t>(text.size());
    archive(size);
    if (size > MaxElements) {
        throw Error(ResultCode::MessageMalformed, "string too long");
    }
    if constexpr (!IsSaving<Archive>) {
        text.resize(size);
    }
    archive(cereal::binary_data(text.data(), size));
}

// Declared here because lists and variants contain fields.
template<typename Archive, typename T>
void serializeField(Archive &archive, T &value);

// Encodes or decodes a list with its length. Elements are decoded one by one, so that a corrupted length allocates nothing in advance.
template<typename Archive, typename T>
void serializeList(Archive &archive, std::vector<T> &list)
{
    auto size = static_cast<std::uint32_t>(list.size());
    archive(size);
    if (size > MaxElements) {
        throw Error(ResultCode::MessageMalformed, "list too long");
    }
    for (std::uint32_t index = 0; index < size; ++index) {
        if constexpr (!IsSaving<Archive>) {
            list.emplace_back();
        }
        serializeField(archive, list[index]);
    }
}

// Encodes or decodes the value of a variant whose active alternative is the index.
template<typename Archive, std::size_t Index = 0, typename... Ts>
void serializeAlternative(Archive &archive, std::variant<Ts...> &value, std::size_t index)
{
    if constexpr (Index == sizeof...(Ts)) {
        throw Error(ResultCode::MessageMalformed, "unknown message type");
    } else {
        if (index != Index) {
            serializeAlternative<Archive, Index + 1, Ts...>(archive, value, index);
            return;
        }
        if constexpr (!IsSaving<Archive>) {
            value.template emplace<Index>();
        }
        serializeField(archive, std::get<Index>(value));
    }
}

// Encodes or decodes a variant as the index of its alternative and the value.
template<typename Archive, typename... Ts>
void serializeVariant(Archive &archive, std::variant<Ts...> &value)
{
    auto index = static_cast<std::uint8_t>(value.index());
    archive(index);
    serializeAlternative(archive, value, index);
}

// Type traits for lists and variants.
template<typename T>
struct IsVector : std::false_type {
};
template<typename T>
struct IsVector<std::vector<T>> : std::true_type {
};
template<typename T>
struct IsVariant : std::false_type {
};
template<typename... Ts>
struct IsVariant<std::variant<Ts...>> : std::true_type {
};

// Overloads that detect strong types.
template<typename Tag, typename Rep>
std::true_type detectStrongType(const StrongType<Tag, Rep> *);
std::false_type detectStrongType(const void *);

// Encodes or decodes one field of any type.
template<typename Archive, typename T>
void serializeField(Archive &archive, T &value)
{
    if constexpr (std::is_same_v<T, std::string>) {
        serializeString(archive, value);
    } else if constexpr (std::is_same_v<T, Millis>) {
        std::int64_t micros = value.micros();
        archive(micros);
        value = Millis::fromMicros(micros);
    } else if constexpr (decltype(detectStrongType(static_cast<T *>(nullptr)))::value) {
        typename T::Representation raw = value.value();
        serializeField(archive, raw);
        value = T(raw);
    } else if constexpr (IsVector<T>::value) {
        serializeList(archive, value);
    } else if constexpr (IsVariant<T>::value) {
        serializeVariant(archive, value);
    } else if constexpr (std::is_enum_v<T>) {
        auto raw = static_cast<std::underlying_type_t<T>>(value);
        archive(raw);
        value = static_cast<T>(raw);
    } else if constexpr (std::is_same_v<T, bool>) {
        auto raw = static_cast<std::uint8_t>(value);
        archive(raw);
        checkRange<std::uint8_t>(raw, 1);
        value = raw != 0;
    } else if constexpr (std::is_arithmetic_v<T>) {
        archive(value);
    } else {
        serializeFields(archive, value);
    }
}

// Encodes or decodes several fields in order.
template<typename Archive, typename... Ts>
void serializeAll(Archive &archive, Ts &...values)
{
    (serializeField(archive, values), ...);
}

// One overload for each message and each structure inside a message.
template<typename Archive>
void serializeFields(Archive &archive, Address &value)
{
    serializeAll(archive, value.ip_, value.port_);
}

// Encodes or decodes a slot count in two bytes; larger counts are clamped.
template<typename Archive>
void serializeSlots16(Archive &archive, Slots &value)
{
    auto raw = static_cast<std::uint16_t>(std::clamp(value.value(), 0, 0xFFFF));
    archive(raw);
    value = Slots(raw);
}

// Encodes or decodes a duration of at most an hour in four bytes; longer ones are clamped.
template<typename Archive>
void serializeMicros32(Archive &archive, Millis &value)
{
    auto micros = static_cast<std::uint32_t>(std::clamp<std::int64_t>(value.micros(), 0, 0xFFFFFFFF));
    archive(micros);
    value = Millis::fromMicros(micros);
}

// A report takes one byte when it is absent, seventeen bytes when it is present, and eight more when the backend server limits its requests.
template<typename Archive>
void serializeFields(Archive &archive, LoadReport &value)
{
    constexpr std::uint8_t Present = 1;
    constexpr std::uint8_t PresentWithLimit = 2;
    auto kind = static_cast<std::uint8_t>(value.limit_.value() <= 0 ? 0 : value.requestInterval_ > Millis() ? PresentWithLimit : Present);
    archive(kind);
    checkRange(kind, PresentWithLimit);
    if (kind == 0) {
        value = LoadReport{};
        return;
    }
    serializeSlots16(archive, value.inFlight_);
    serializeSlots16(archive, value.queued_);
    serializeSlots16(archive, value.limit_);
    serializeMicros32(archive, value.latency_);
    auto slowness = static_cast<std::uint16_t>(std::clamp(value.slowness_.value(), 0, 0xFFFF));
    archive(slowness);
    value.slowness_ = Percent(slowness);
    auto nearFullSamples = static_cast<std::uint8_t>(std::clamp(value.nearFullSamples_, 0, 0xFF));
    archive(nearFullSamples);
    value.nearFullSamples_ = nearFullSamples;
    auto nearFullSlowness = static_cast<std::uint16_t>(std::clamp(value.nearFullSlownessSum_.value(), 0, 0xFFFF));
    archive(nearFullSlowness);
    value.nearFullSlownessSum_ = Percent(nearFullSlowness);
    auto failureShare = static_cast<std::uint8_t>(std::clamp(value.failureShare_.value(), 0, 0xFF));
    archive(failureShare);
    value.failureShare_ = Percent(failureShare);
    if (kind == PresentWithLimit) {
        serializeMicros32(archive, value.requestInterval_);
        serializeMicros32(archive, value.limitWait_);
    }
}

template<typename Archive>
void serializeFields(Archive &archive, BackendStart &value)
{
    serializeAll(archive, value.id_, value.incarnation_);
}

template<typename Archive>
void serializeFields(Archive &archive, InstanceRecord &value)
{
    serializeAll(archive, value.name_, value.address_, value.adminAddress_, value.failureDomain_, value.incarnation_, value.version_);
    serializeAll(archive, value.health_, value.service_, value.slots_, value.backend_, value.leavingBackend_);
    checkRange(value.health_, Health::Left);
    checkRange(value.backend_, BackendState::Draining);
}

template<typename Archive>
void serializeFields(Archive &archive, GossipHeader &value)
{
    serializeAll(archive, value.sender_, value.sequence_, value.tableHash_, value.runningCount_, value.ticket_, value.suspectsHash_, value.isCurrent_,
                 value.records_);
}

template<typename Archive>
void serializeFields(Archive &archive, Ping &value)
{
    serializeField(archive, value.header_);
}

template<typename Archive>
void serializeFields(Archive &archive, Ack &value)
{
    serializeAll(archive, value.header_, value.leavingBackend_);
}

template<typename Archive>
void serializeFields(Archive &archive, PingRequest &value)
{
    serializeAll(archive, value.header_, value.target_);
}

template<typename Archive>
void serializeFields(Archive &archive, Probe &value)
{
    serializeAll(archive, value.token_, value.service_);
}

template<typename Archive>
void serializeFields(Archive &archive, ProbeReply &value)
{
    serializeAll(archive, value.token_, value.sender_, value.report_);
}

template<typename Archive>
void serializeFields(Archive &archive, SuspectFailure &value)
{
    serializeAll(archive, value.id_, value.isAttributed_, value.isCleared_);
}

template<typename Archive>
void serializeFields(Archive &archive, SuspectRecord &value)
{
    serializeAll(archive, value.fingerprint_, value.failures_, value.isStored_, value.remaining_);
}

template<typename Archive>
void serializeFields(Archive &archive, SuspectRequestNotice &value)
{
    serializeAll(archive, value.token_, value.record_);
}

template<typename Archive>
void serializeFields(Archive &archive, SuspectUpdate &value)
{
    serializeField(archive, value.records_);
}

template<typename Archive>
void serializeFields(Archive &archive, SuspectRequestAck &value)
{
    serializeField(archive, value.token_);
}

template<typename Archive>
void serializeFields(Archive &archive, Offer &value)
{
    serializeAll(archive, value.attempt_, value.sender_, value.callToken_, value.service_, value.class_, value.remaining_, value.fingerprint_);
    serializeAll(archive, value.key_, value.routed_, value.isIdempotent_, value.priority_, value.latencyTargetRemaining_);
    serializeAll(archive, value.isBodyInline_, value.requiresWholeBody_, value.trace_, value.parentSpan_, value.sentAt_);
    serializeAll(archive, value.isFromBackend_, value.leavingBackend_, value.isFingerprintPartial_);
}

template<typename Archive>
void serializeFields(Archive &archive, OfferReply &value)
{
    serializeAll(archive, value.attempt_, value.verdict_, value.code_, value.report_);
    checkRange(value.verdict_, Verdict::Refused);
}

template<typename Archive>
void serializeFields(Archive &archive, Confirmation &value)
{
    serializeField(archive, value.attempt_);
}

template<typename Archive>
void serializeFields(Archive &archive, WithdrawalRequest &value)
{
    serializeField(archive, value.attempt_);
}

template<typename Archive>
void serializeFields(Archive &archive, WithdrawalReply &value)
{
    serializeAll(archive, value.attempt_, value.handedOver_);
}

template<typename Archive>
void serializeFields(Archive &archive, ExchangeFailure &value)
{
    serializeAll(archive, value.attempt_, value.code_);
}

template<typename Archive>
void serializeFields(Archive &archive, ResponseEnd &value)
{
    serializeAll(archive, value.attempt_, value.bodyBytes_, value.report_);
}

template<typename Archive>
void serializeFields(Archive &archive, HeaderField &value)
{
    serializeAll(archive, value.name_, value.value_);
}

template<typename Archive>
void serializeFields(Archive &archive, RequestHead &value)
{
    serializeAll(archive, value.attempt_, value.method_, value.target_, value.fields_, value.hasLength_, value.length_);
}

template<typename Archive>
void serializeFields(Archive &archive, ResponseHead &value)
{
    serializeAll(archive, value.attempt_, value.status_, value.fields_, value.hasLength_, value.length_, value.leavingBackend_);
}

template<typename Archive>
void serializeFields(Archive &archive, BodyChunk &value)
{
    serializeAll(archive, value.attempt_, value.bytes_);
}

template<typename Archive>
void serializeFields(Archive &archive, BodyEnd &value)
{
    serializeAll(archive, value.attempt_, value.bodyBytes_);
}

template<typename Archive>
void serializeFields(Archive & /*archive*/, ConnectionEnd & /*value*/)
{
}

template<typename Archive>
void serializeFields(Archive &archive, RequestClass &value)
{
    serializeAll(archive, value.name_, value.methods_, value.pathPrefix_, value.isIdempotent_, value.isKeyRequired_, value.slotShare_, value.queueLimit_);
    serializeAll(archive, value.deadline_, value.maxBody_, value.isStreamed_);
}

template<typename Archive>
void serializeFields(Archive &archive, ServiceSpec &value)
{
    serializeAll(archive, value.classes_, value.retryBudget_, value.coldStart_, value.drainTimeout_, value.quarantine_);
}

template<typename Archive>
void serializeFields(Archive &archive, RegionPairBudget &value)
{
    serializeAll(archive, value.from_, value.to_, value.bytesPerSecond_, value.probesPerSecond_);
}

template<typename Archive>
void serializeFields(Archive &archive, MeasurementBudgetSpec &value)
{
    serializeAll(archive, value.bytesPerSecond_, value.probesPerSecond_, value.daemonsPerRegion_, value.regionPairs_);
}

template<typename Archive>
void serializeFields(Archive &archive, DrainSpec &value)
{
    serializeField(archive, value.isDraining_);
}

template<typename Archive>
void serializeFields(Archive &archive, QuarantineSpec &value)
{
    serializeField(archive, value.isQuarantined_);
}

template<typename Archive>
void serializeFields(Archive &archive, WeightedService &value)
{
    serializeAll(archive, value.service_, value.weight_);
}

template<typename Archive>
void serializeFields(Archive &archive, Route &value)
{
    serializeAll(archive, value.name_, value.host_, value.pathPrefix_, value.isIdempotent_, value.isStreamed_, value.timeout_, value.latencyTarget_);
    serializeAll(archive, value.priority_, value.maxBackends_, value.weightedServices_);
}

template<typename Archive>
void serializeFields(Archive &archive, RoutedService &value)
{
    serializeAll(archive, value.name_, value.healthPath_);
}

template<typename Archive>
void serializeFields(Archive &archive, RequestLimits &value)
{
    serializeAll(archive, value.maxHeader_, value.maxBody_, value.headerTimeout_, value.idleTimeout_);
}

template<typename Archive>
void serializeFields(Archive &archive, RoutingSpec &value)
{
    serializeAll(archive, value.routes_, value.services_, value.requestLimits_);
}

template<typename Archive>
void serializeFields(Archive &archive, TicketObject &value)
{
    serializeAll(archive, value.name_, value.number_, value.spec_);
}

template<typename Archive>
void serializeFields(Archive &archive, TicketPull &value)
{
    serializeField(archive, value.after_);
}

template<typename Archive>
void serializeFields(Archive &archive, TicketBatch &value)
{
    serializeAll(archive, value.after_, value.highestTicket_, value.isCurrent_, value.objects_);
}

} // namespace radishford
