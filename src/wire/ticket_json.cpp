// Encoding and parsing of tickets in JSON.
#include "wire/ticket_json.h"

#include "wire/json_reader.h"
#include "world/world_settings.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace radishford {

namespace json = boost::json;

namespace {

constexpr std::int64_t MaxTicketNumber = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t MaxDeadlineMs = 86400000;
constexpr std::int64_t MaxBodyBytes = std::int64_t{1} << 40;
constexpr std::int64_t MaxQueue = 100000;
constexpr std::int64_t MaxBytesPerSecond = std::int64_t{1} << 40;
constexpr std::int64_t MaxProbesPerSecond = 1000000;
constexpr std::int64_t MaxDaemons = 1000000;
constexpr std::int64_t MaxWeight = 1000000;
constexpr std::int64_t MaxPriority = 255;
constexpr std::int64_t MaxBackends = 100;
constexpr std::int64_t FullPermille = 1000;
constexpr std::int64_t DefaultQueue = 64;
constexpr std::int64_t DefaultDeadlineMs = 1000;
constexpr std::int64_t DefaultMaxBody = 65536;
constexpr std::int64_t DefaultRetryPermille = 100;
constexpr std::int64_t DefaultColdStartMs = 5000;
constexpr std::int64_t DefaultDrainTimeoutMs = 600000;
constexpr std::int64_t DefaultQuarantineMs = 600000;
// Maximum size of a body that is buffered in memory; larger bodies must be streamed.
constexpr std::int64_t MaxBufferedBody = std::int64_t{16} << 20;

// Parses a request class.
RequestClass classFromJson(const json::value &value, const std::string &path)
{
    JsonReader reader(value, path);
    RequestClass row;
    row.name_ = ClassName(reader.text("name"));
    row.methods_ = reader.texts("methods");
    row.pathPrefix_ = reader.text("path_prefix", "/");
    row.isIdempotent_ = reader.boolean("idempotent", false);
    row.isKeyRequired_ = reader.boolean("key_required", false);
    row.slotShare_ = Permille(static_cast<std::int32_t>(reader.number("slot_share_permille", 1, FullPermille, FullPermille)));
    row.queueLimit_ = Slots(static_cast<std::int32_t>(reader.number("queue", 0, MaxQueue, DefaultQueue)));
    row.deadline_ = Millis(reader.number("deadline_ms", 1, MaxDeadlineMs, DefaultDeadlineMs));
    row.isStreamed_ = reader.boolean("streamed", false);
    const std::int64_t maxBody = row.isStreamed_ ? MaxBodyBytes : MaxBufferedBody;
    row.maxBody_ = Bytes(reader.number("max_body_bytes", 0, maxBody, DefaultMaxBody));
    reader.rejectUnknownKeys();
    return row;
}

// Throws Error with DuplicateName when two classes have the same name.
void checkClassNames(const ServiceSpec &spec, const std::string &path)
{
    for (std::size_t index = 0; index < spec.classes_.size(); ++index) {
        for (std::size_t other = 0; other < index; ++other) {
            if (spec.classes_[index].name_ == spec.classes_[other].name_) {
                throw Error(ResultCode::DuplicateName, path + ".classes." + spec.classes_[index].name_.value());
            }
        }
    }
}

// Parses a service.
ObjectSpec serviceFromJson(JsonReader &reader, const std::string &path)
{
    ServiceSpec spec;
    const std::vector<json::value> classes = reader.list("classes");
    for (std::size_t index = 0; index < classes.size(); ++index) {
        spec.classes_.push_back(classFromJson(classes[index], path + ".classes[" + std::to_string(index) + "]"));
    }
    spec.retryBudget_ = Permille(static_cast<std::int32_t>(reader.number("retry_budget_permille", 0, FullPermille, DefaultRetryPermille)));
    spec.coldStart_ = Millis(reader.number("cold_start_ms", 0, MaxDeadlineMs, DefaultColdStartMs));
    spec.drainTimeout_ = Millis(reader.number("drain_timeout_ms", 0, MaxDeadlineMs, DefaultDrainTimeoutMs));
    spec.quarantine_ = Millis(reader.number("quarantine_ms", 1, MaxDeadlineMs, DefaultQuarantineMs));
    checkClassNames(spec, path);
    return spec;
}

// Parses the limits of a budget between two regions.
RegionPairBudget regionPairFromJson(const json::value &value, const std::string &path)
{
    JsonReader reader(value, path);
    RegionPairBudget pair;
    pair.from_ = reader.text("from");
    pair.to_ = reader.text("to");
    pair.bytesPerSecond_ = Bytes(reader.number("bytes_per_second", 0, MaxBytesPerSecond));
    pair.probesPerSecond_ = static_cast<std::int32_t>(reader.number("probes_per_second", 0, MaxProbesPerSecond));
    reader.rejectUnknownKeys();
    return pair;
}

// Parses a measurement budget.
ObjectSpec budgetFromJson(JsonReader &reader, const std::string &path)
{
    MeasurementBudgetSpec spec;
    spec.bytesPerSecond_ = Bytes(reader.number("bytes_per_second", 0, MaxBytesPerSecond));
    spec.probesPerSecond_ = static_cast<std::int32_t>(reader.number("probes_per_second", 0, MaxProbesPerSecond));
    spec.daemonsPerRegion_ = static_cast<std::int32_t>(reader.number("daemons_per_region", 1, MaxDaemons));
    const std::vector<json::value> pairs = reader.list("region_pairs");
    for (std::size_t index = 0; index < pairs.size(); ++index) {
        spec.regionPairs_.push_back(regionPairFromJson(pairs[index], path + ".region_pairs[" + std::to_string(index) + "]"));
    }
    return spec;
}

// Parses a drain of an instance.
ObjectSpec drainFromJson(JsonReader &reader, const std::string & /*path*/)
{
    return DrainSpec{reader.boolean("draining", true)};
}

// Parses an operator's decision on the quarantine of a fingerprint.
ObjectSpec quarantineFromJson(JsonReader &reader, const std::string & /*path*/)
{
    return QuarantineSpec{reader.boolean("quarantined", true)};
}

// Parses a weighted service of a route.
WeightedService weightedServiceFromJson(const json::value &value, const std::string &path)
{
    JsonReader reader(value, path);
    WeightedService part;
    part.service_ = ServiceName(reader.text("service"));
    part.weight_ = static_cast<std::int32_t>(reader.number("weight", 0, MaxWeight, 1));
    reader.rejectUnknownKeys();
    return part;
}

// Parses a route.
Route routeFromJson(const json::value &value, const std::string &path)
{
    JsonReader reader(value, path);
    Route route;
    route.name_ = ClassName(reader.text("name"));
    route.host_ = reader.text("host");
    route.pathPrefix_ = reader.text("path_prefix", "/");
    route.isIdempotent_ = reader.boolean("idempotent", false);
    route.isStreamed_ = reader.boolean("streamed", false);
    route.timeout_ = Millis(reader.number("timeout_ms", 1, MaxDeadlineMs, DefaultDeadlineMs));
    route.latencyTarget_ = Millis(reader.number("latency_target_ms", 0, MaxDeadlineMs, 0));
    route.priority_ = static_cast<std::uint8_t>(reader.number("priority", 0, MaxPriority, 0));
    route.maxBackends_ = static_cast<std::int32_t>(reader.number("max_backends", 1, MaxBackends, 1));
    const std::vector<json::value> parts = reader.list("parts");
    for (std::size_t index = 0; index < parts.size(); ++index) {
        route.weightedServices_.push_back(weightedServiceFromJson(parts[index], path + ".parts[" + std::to_string(index) + "]"));
    }
    if (route.weightedServices_.empty()) {
        throw Error(ResultCode::MissingKey, path + ".parts (one or more)");
    }
    reader.rejectUnknownKeys();
    return route;
}

// Parses the desired state of routing.
ObjectSpec routingFromJson(JsonReader &reader, const std::string &path)
{
    RoutingSpec spec;
    const std::vector<json::value> routes = reader.list("routes");
    for (std::size_t index = 0; index < routes.size(); ++index) {
        spec.routes_.push_back(routeFromJson(routes[index], path + ".routes[" + std::to_string(index) + "]"));
    }
    const std::vector<json::value> services = reader.list("services");
    for (std::size_t index = 0; index < services.size(); ++index) {
        JsonReader row(services[index], path + ".services[" + std::to_string(index) + "]");
        spec.services_.push_back(RoutedService{ServiceName(row.text("name")), row.text("health_path", "")});
        row.rejectUnknownKeys();
    }
    return spec;
}

// Encodes a request class.
json::value classToJson(const RequestClass &row)
{
    return json::object{
        {"name", row.name_.value()},
        {"methods", json::array(row.methods_.begin(), row.methods_.end())},
        {"path_prefix", row.pathPrefix_},
        {"idempotent", row.isIdempotent_},
        {"key_required", row.isKeyRequired_},
        {"slot_share_permille", row.slotShare_.value()},
        {"queue", row.queueLimit_.value()},
        {"deadline_ms", row.deadline_.count()},
        {"max_body_bytes", row.maxBody_.value()},
        {"streamed", row.isStreamed_},
    };
}

// Encodes a service.
json::object specToJson(const ServiceSpec &spec)
{
    json::array classes;
    for (const RequestClass &row : spec.classes_) {
        classes.push_back(classToJson(row));
    }
    return json::object{
        {"classes", classes},
        {"retry_budget_permille", spec.retryBudget_.value()},
        {"cold_start_ms", spec.coldStart_.count()},
        {"drain_timeout_ms", spec.drainTimeout_.count()},
        {"quarantine_ms", spec.quarantine_.count()},
    };
}

// Encodes a measurement budget.
json::object specToJson(const MeasurementBudgetSpec &spec)
{
    json::array pairs;
    for (const RegionPairBudget &pair : spec.regionPairs_) {
        pairs.push_back(toJson(pair));
    }
    return json::object{
        {"bytes_per_second", spec.bytesPerSecond_.value()},
        {"probes_per_second", spec.probesPerSecond_},
        {"daemons_per_region", spec.daemonsPerRegion_},
        {"region_pairs", pairs},
    };
}

// Encodes a drain of an instance.
json::object specToJson(const DrainSpec &spec)
{
    return json::object{{"draining", spec.isDraining_}};
}

// Encodes an operator's decision on the quarantine of a fingerprint.
json::object specToJson(const QuarantineSpec &spec)
{
    return json::object{{"quarantined", spec.isQuarantined_}};
}

// Encodes the desired state of routing.
json::object specToJson(const RoutingSpec &spec)
{
    json::array routes;
    for (const Route &route : spec.routes_) {
        json::array parts;
        for (const WeightedService &part : route.weightedServices_) {
            parts.push_back(json::object{{"service", part.service_.value()}, {"weight", part.weight_}});
        }
        routes.push_back(json::object{
            {"name", route.name_.value()},
            {"host", route.host_},
            {"path_prefix", route.pathPrefix_},
            {"idempotent", route.isIdempotent_},
            {"streamed", route.isStreamed_},
            {"timeout_ms", route.timeout_.count()},
            {"latency_target_ms", route.latencyTarget_.count()},
            {"priority", route.priority_},
            {"max_backends", route.maxBackends_},
            {"parts", parts},
        });
    }
    json::array services;
    for (const RoutedService &service : spec.services_) {
        services.push_back(json::object{{"name", service.name_.value()}, {"health_path", service.healthPath_}});
    }
    return json::object{{"routes", routes}, {"services", services}};
}

// Name of a kind of object and the function that parses it.
struct ObjectKind {
    const char *name_;
    ObjectSpec (*parse_)(JsonReader &, const std::string &);
};

// Kinds of objects, indexed by alternative of ObjectSpec.
constexpr std::array<ObjectKind, std::variant_size_v<ObjectSpec>> ObjectKinds{{
    {"service", serviceFromJson},
    {"budget", budgetFromJson},
    {"drain", drainFromJson},
    {"quarantine", quarantineFromJson},
    {"routing", routingFromJson},
}};

// Parses an object of any kind. A number inside the object is ignored; the ticket's number applies.
TicketObject objectFromJson(const json::value &value, const std::string &path, TicketNumber number)
{
    JsonReader reader(value, path);
    const std::string kind = reader.text("kind");
    const auto entry = std::find_if(ObjectKinds.begin(), ObjectKinds.end(), [&](const ObjectKind &row) { return row.name_ == kind; });
    if (entry == ObjectKinds.end()) {
        throw Error(ResultCode::OutOfRange, path + ".kind (service, budget, drain, quarantine or routing)");
    }
    TicketObject object;
    object.name_ = reader.text("name");
    object.number_ = number;
    object.spec_ = entry->parse_(reader, path);
    reader.number("number", 0, MaxTicketNumber, 0);
    reader.rejectUnknownKeys();
    return object;
}

// Throws Error with DuplicateName when two objects have the same kind and name.
void checkObjectNames(const Ticket &ticket)
{
    for (std::size_t index = 0; index < ticket.objects_.size(); ++index) {
        for (std::size_t other = 0; other < index; ++other) {
            const TicketObject &first = ticket.objects_[index];
            const TicketObject &second = ticket.objects_[other];
            if (first.spec_.index() == second.spec_.index() && first.name_ == second.name_) {
                throw Error(ResultCode::DuplicateName, "objects." + first.name_);
            }
        }
    }
}

} // namespace

Ticket ticketFromJson(const json::value &value)
{
    JsonReader reader(value, "");
    Ticket ticket;
    ticket.number_ = TicketNumber(static_cast<std::uint64_t>(reader.number("number", 0, MaxTicketNumber, 0)));
    ticket.submission_ = reader.text("submission", "");
    ticket.author_ = reader.text("author");
    ticket.reason_ = reader.text("reason");
    reader.value("objects");
    const std::vector<json::value> objects = reader.list("objects");
    for (std::size_t index = 0; index < objects.size(); ++index) {
        ticket.objects_.push_back(objectFromJson(objects[index], "objects[" + std::to_string(index) + "]", ticket.number_));
    }
    reader.rejectUnknownKeys();
    checkObjectNames(ticket);
    return ticket;
}

Ticket parseTicket(const std::string &text)
{
    return ticketFromJson(parseJson(text, "ticket"));
}

json::value toJson(const RegionPairBudget &pair)
{
    return json::object{
        {"from", pair.from_}, {"to", pair.to_}, {"bytes_per_second", pair.bytesPerSecond_.value()}, {"probes_per_second", pair.probesPerSecond_}};
}

json::value toJson(const TicketObject &object)
{
    json::object result{{"kind", objectKindName(object.spec_)}, {"name", object.name_}, {"number", object.number_.value()}};
    const json::object spec = std::visit([](const auto &body) { return specToJson(body); }, object.spec_);
    result.insert(spec.begin(), spec.end());
    return result;
}

json::value toJson(const Ticket &ticket)
{
    json::array objects;
    for (const TicketObject &object : ticket.objects_) {
        objects.push_back(toJson(object));
    }
    return json::object{
        {"number", ticket.number_.value()}, {"submission", ticket.submission_}, {"author", ticket.author_}, {"reason", ticket.reason_}, {"objects", objects},
    };
}

const char *objectKindName(const ObjectSpec &spec)
{
    return ObjectKinds[spec.index()].name_;
}

void checkBudgetRegions(const Ticket &ticket, const std::vector<Place> &places)
{
    const auto isRegion
        = [&](const std::string &name) { return std::any_of(places.begin(), places.end(), [&](const Place &place) { return place.region_ == name; }); };
    for (const TicketObject &object : ticket.objects_) {
        const auto *budget = std::get_if<MeasurementBudgetSpec>(&object.spec_);
        if (budget == nullptr) {
            continue;
        }
        for (const RegionPairBudget &pair : budget->regionPairs_) {
            if (!isRegion(pair.from_) || !isRegion(pair.to_)) {
                throw Error(ResultCode::UnknownFailureDomain, "region_pairs " + pair.from_ + " to " + pair.to_);
            }
        }
    }
}

} // namespace radishford
