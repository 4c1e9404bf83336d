// Requests whose connection to the backend server closed while they ran.
#include "call/interrupted_request_func.h"

#include "world/world.h"

namespace radishford {

namespace {

// A request whose connection closes within this time after that of a suspect counts as part of the same failure.
constexpr Millis SuspectFailureWindow{1000};

// True when a request that is not a suspect failed together with a suspect: the suspect most likely caused the failure. Also records when a
// suspect failed.
bool failedBesideSuspect(World &world, const Admission &row)
{
    AdmissionTable &table = world.admissions_;
    if (row.wasSuspectAtStart_) {
        table.suspectFailedAt_ = world.now_;
        return false;
    }
    const bool suspectJustFailed = table.suspectFailedAt_ != Millis() && world.now_ - table.suspectFailedAt_ < SuspectFailureWindow;
    return table.suspectsHoldingSlots_ > 0 || suspectJustFailed;
}

} // namespace

InterruptedRequest interruptRequest(World &world, const Admission &row)
{
    const bool isBesideSuspect = failedBesideSuspect(world, row);
    const Offer &offer = row.offer_;
    return InterruptedRequest{row.exchange_, offer.attempt_, offer.fingerprint_, row.backend_, offer.service_, isBesideSuspect, row.wasSuspectAtStart_};
}

} // namespace radishford
