// The result code table.
#pragma once

#include "core/result_code.h"

#include <array>

namespace radishford {

// All result codes in ascending order of their numbers, which the binary search relies on.
// clang-format off
inline constexpr std::array<ResultCodeInfo, 53> ResultCodeTable{{
    {ResultCode::Ok, Outcome::Answered, 200, "Ok", "Done."},
    {ResultCode::UnknownService, Outcome::NotRun, 404, "UnknownService", "No ticket in force declares the service."},
    {ResultCode::NoBackend, Outcome::NotRun, 503, "NoBackend", "No backend server of the service is known to be ready."},
    {ResultCode::NotReady, Outcome::NotRun, 503, "NotReady", "The daemon does not yet know the configuration in force."},
    {ResultCode::DaemonLeaving, Outcome::NotRun, 503, "DaemonLeaving", "The daemon is shutting down."},
    {ResultCode::Overloaded, Outcome::NotRun, 503, "Overloaded", "Slots and queue are full."},
    {ResultCode::BackendDraining, Outcome::NotRun, 503, "BackendDraining", "The backend server is leaving."},
    {ResultCode::BackendNotReady, Outcome::NotRun, 503, "BackendNotReady", "The backend server is not announced as ready."},
    {ResultCode::DeadlineNotRun, Outcome::NotRun, 504, "DeadlineNotRun", "The deadline passed before the request was handed over."},
    {ResultCode::Quarantined, Outcome::NotRun, 422, "Quarantined", "The request was running at two backend server failures."},
    {ResultCode::StoreDown, Outcome::NotRun, 503, "StoreDown", "The idempotency key could not be claimed."},
    {ResultCode::KeyRequired, Outcome::NotRun, 428, "KeyRequired", "The class demands an Idempotency-Key header."},
    {ResultCode::BodyTooLarge, Outcome::NotRun, 413, "BodyTooLarge", "The body exceeds what the class or the daemon accepts."},
    {ResultCode::BodyBroken, Outcome::NotRun, 400, "BodyBroken", "The caller's body ended early."},
    {ResultCode::RetryBudgetSpent, Outcome::NotRun, 503, "RetryBudgetSpent", "A further attempt was not allowed."},
    {ResultCode::TooManyCalls, Outcome::NotRun, 503, "TooManyCalls", "The daemon's tables or connections are full."},
    {ResultCode::BadRequest, Outcome::NotRun, 400, "BadRequest", "The request could not be read as HTTP."},
    {ResultCode::Withdrawn, Outcome::NotRun, 503, "Withdrawn", "The caller left or another attempt won before hand-over."},
    {ResultCode::BackendUnreachable, Outcome::NotRun, 503, "BackendUnreachable", "No connection to the backend server could be opened."},
    {ResultCode::KeyMismatch, Outcome::NotRun, 422, "KeyMismatch", "The idempotency key was used before with another request."},
    {ResultCode::PeerUnreachable, Outcome::NotRun, 503, "PeerUnreachable", "The daemon beside the backend server could not be reached."},
    {ResultCode::BackendRefused, Outcome::NotRun, 503, "BackendRefused", "The backend server said that it did not run the request."},
    {ResultCode::WrongInstance, Outcome::NotRun, 503, "WrongInstance", "Another backend server has the address."},
    {ResultCode::NoRoute, Outcome::NotRun, 404, "NoRoute", "No route of the desired state takes the request."},
    {ResultCode::NoRoom, Outcome::NotRun, 503, "NoRoom", "No backend server can answer in time."},
    {ResultCode::BackendLimited, Outcome::NotRun, 503, "BackendLimited", "The backend server's request limit is used up."},
    {ResultCode::AnswerLost, Outcome::Unknown, 502, "AnswerLost", "The connection broke after hand-over."},
    {ResultCode::DeadlineUnknown, Outcome::Unknown, 504, "DeadlineUnknown", "The deadline passed after hand-over."},
    {ResultCode::KeyTaken, Outcome::Unknown, 409, "KeyTaken", "The idempotency key was claimed by an earlier request."},
    {ResultCode::PeerSilent, Outcome::Unknown, 504, "PeerSilent", "A withdrawal was not confirmed."},
    {ResultCode::BackendFailed, Outcome::Unknown, 502, "BackendFailed", "The backend server broke the connection while it ran the request."},
    {ResultCode::AnswerSpoiled, Outcome::Unknown, 502, "AnswerSpoiled", "The backend server's answer was not the request's own whole answer."},
    {ResultCode::BadAddress, Outcome::Config, 400, "BadAddress", "Not an IPv4 address and port."},
    {ResultCode::UnknownKey, Outcome::Config, 400, "UnknownKey", "A setting or ticket field that does not exist."},
    {ResultCode::WrongType, Outcome::Config, 400, "WrongType", "A field of the wrong JSON type."},
    {ResultCode::OutOfRange, Outcome::Config, 400, "OutOfRange", "A number outside its limits."},
    {ResultCode::MissingKey, Outcome::Config, 400, "MissingKey", "A required field is absent."},
    {ResultCode::DuplicateAddress, Outcome::Config, 400, "DuplicateAddress", "Two roles share one address."},
    {ResultCode::UnknownFailureDomain, Outcome::Config, 400, "UnknownFailureDomain", "A failure domain that the places do not list."},
    {ResultCode::BadJson, Outcome::Config, 400, "BadJson", "Not JSON."},
    {ResultCode::DuplicateName, Outcome::Config, 400, "DuplicateName", "Two entries share one name."},
    {ResultCode::UnreadableFile, Outcome::Config, 400, "UnreadableFile", "The file cannot be read."},
    {ResultCode::TicketConflict, Outcome::Config, 409, "TicketConflict", "Another ticket has this number."},
    {ResultCode::TicketUnknown, Outcome::Config, 504, "TicketUnknown", "The store did not answer; the ticket may have been accepted."},
    {ResultCode::TicketStoreDown, Outcome::Config, 503, "TicketStoreDown", "The store refused the ticket; it was not accepted."},
    {ResultCode::TicketNotNext, Outcome::Config, 409, "TicketNotNext", "The number does not follow the highest one in force."},
    {ResultCode::TicketMissing, Outcome::Config, 404, "TicketMissing", "No such ticket."},
    {ResultCode::MessageMalformed, Outcome::Config, 400, "MessageMalformed", "A message between daemons could not be decoded."},
    {ResultCode::MessageOversized, Outcome::Config, 400, "MessageOversized", "A message between daemons exceeds its limit."},
    {ResultCode::MessageStalled, Outcome::Config, 400, "MessageStalled", "A message did not arrive whole in time."},
    {ResultCode::AnnounceMalformed, Outcome::Config, 400, "AnnounceMalformed", "An announcement could not be read."},
    {ResultCode::AdminUnknown, Outcome::Config, 404, "AdminUnknown", "No such admin page."},
    {ResultCode::DaemonUnreachable, Outcome::Config, 503, "DaemonUnreachable", "The daemon's admin address did not answer."},
}};
// clang-format on

} // namespace radishford
