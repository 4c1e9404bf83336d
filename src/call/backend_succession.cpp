// A backend server that takes the place of another one, or of an earlier start of itself.
#include "call/backend_succession_func.h"

#include "call/admission_func.h"
#include "call/backend_func.h"
#include "call/backend_notice_func.h"
#include "world/world.h"

#include <vector>

namespace radishford {

namespace {

// Refuses the requests that were accepted for an earlier start of the backend server and not handed over.
void refuseForFormerStart(World &world)
{
    std::vector<AdmissionId> outdated;
    world.admissions_.rows_.forEach([&](AdmissionId id, const Admission &row) {
        if (row.state_ != AdmissionState::Running && !isForCurrentBackend(world, row)) {
            outdated.push_back(id);
        }
    });
    for (const AdmissionId id : outdated) {
        failAdmission(world, id, ResultCode::BackendNotReady);
    }
}

// Forgets what was learned about an earlier start. A check in progress stays, so that requests that await its result get one.
void forgetFormerStart(World &world)
{
    AdmissionTable &table = world.admissions_;
    resetNotices(world);
    table.connectionReuse_ = ConnectionReuseTable();
    table.checks_.lacksLoad_ = false;
    table.checks_.nextAt_ = Millis::never();
}

// Forgets the durations and sizes of responses, which depend on the service.
void forgetFormerService(World &world)
{
    AdmissionTable &table = world.admissions_;
    table.typicalServiceTimes_.clear();
    table.shortestServiceTimes_.clear();
    table.typicalResponseSizes_.clear();
}

} // namespace

bool isForCurrentBackend(const World &world, const Admission &row)
{
    return row.backend_ == currentStart(world) && row.offer_.service_ == world.admissions_.backend_.service_;
}

void bindBackend(World &world, const BackendAnnounced &event)
{
    setBackendState(world, BackendState::Absent);
    const LocalBackend former = world.admissions_.backend_;
    const bool isSameService = former.service_ == event.service_;
    const bool isSameStart = isSameService && former.incarnation_ == event.incarnation_ && former.id_ == event.id_;
    LocalBackend bound;
    bound.service_ = event.service_;
    bound.address_ = event.address_;
    bound.slots_ = event.slots_;
    bound.incarnation_ = event.incarnation_;
    bound.id_ = event.id_;
    bound.namesCallers_ = !isSameStart || former.namesCallers_;
    if (isSameStart) {
        bound.isLeaving_ = former.isLeaving_;
        bound.isNoticeKnown_ = former.isNoticeKnown_;
        bound.hasBeenChecked_ = former.hasBeenChecked_;
    }
    world.admissions_.backend_ = bound;
    if (!isSameService) {
        forgetFormerService(world);
    }
    if (!isSameStart) {
        forgetFormerStart(world);
        refuseForFormerStart(world);
    }
}

} // namespace radishford
