// Finds other daemons through rows in the platform's store. A daemon enters itself before it reads, so that of two that start
// together at least one sees the other; heartbeats do the rest.
#include "fleet/directory_func.h"

#include "fleet/gossip_func.h"
#include "fleet/instance_func.h"
#include "store/store_func.h"
#include "world/world.h"

#include <algorithm>

namespace radishford {

namespace {

// Wait after the first failure, doubled with each further one up to the longest.
constexpr Millis FirstRetry{200};
constexpr Millis LongestRetry{2000};
constexpr std::int32_t MostDoublings = 4;
// While no other daemon is known, the rows are read again this often.
constexpr Millis AloneInterval{3000};
// Daemons contacted after a read; heartbeats spread the rest.
constexpr std::size_t MostContacts = 16;

// Puts the time of the next request after a failure, drawn so that daemons do not return together.
void backOff(World &world)
{
    DirectoryTable &directory = world.directory_;
    const std::int32_t doublings = std::min(directory.failures_, MostDoublings);
    ++directory.failures_;
    const Millis longest = std::min(LongestRetry, FirstRetry * (std::int64_t{1} << doublings));
    const double drawn = longest.fraction() * (0.5 + world.random_.unit() / 2);
    directory.nextAt_ = world.now_ + Millis::fromFraction(drawn);
}

// Contacts daemons that are not known yet, from a random row on.
void contactMembers(World &world, const std::vector<MemberRow> &rows)
{
    if (rows.empty()) {
        return;
    }
    const std::size_t start = world.random_.below(rows.size());
    std::size_t contacted = 0;
    for (std::size_t step = 0; step < rows.size() && contacted < MostContacts; ++step) {
        const MemberRow &row = rows[(start + step) % rows.size()];
        const bool known = world.fleet_.byAddress_.contains(row.address_);
        if (!known && row.name_ != world.settings_.name_) {
            contact(world, row.address_);
            ++contacted;
        }
    }
}

// True when no other daemon is known to run.
bool isAlone(const World &world)
{
    return world.fleet_.running_ <= 1;
}

} // namespace

bool takeDirectoryAnswer(World &world, std::uint64_t request, const StoreAnswer &answer)
{
    DirectoryTable &directory = world.directory_;
    if (request != directory.request_ || request == 0) {
        return false;
    }
    directory.request_ = 0;
    if (!answer.ok_) {
        world.counters_.add(Counter::StoreFailures);
        backOff(world);
        return true;
    }
    directory.failures_ = 0;
    if (directory.step_ == DirectoryStep::Enter) {
        directory.step_ = DirectoryStep::Read;
        directory.nextAt_ = world.now_;
        return true;
    }
    directory.rows_ = answer.members_;
    contactMembers(world, directory.rows_);
    directory.step_ = DirectoryStep::Idle;
    directory.nextAt_ = world.now_ + AloneInterval;
    return true;
}

void runDirectory(World &world)
{
    DirectoryTable &directory = world.directory_;
    if (!world.settings_.routed_ || directory.request_ != 0 || world.now_ < directory.nextAt_) {
        return;
    }
    switch (directory.step_) {
    case DirectoryStep::Enter:
        directory.request_ = askStore(world, MemberPut{MemberRow{world.settings_.name_, world.settings_.address_}});
        break;
    case DirectoryStep::Read:
        directory.request_ = askStore(world, MemberList{});
        break;
    case DirectoryStep::Idle:
        contactMembers(world, directory.rows_);
        directory.step_ = isAlone(world) ? DirectoryStep::Read : DirectoryStep::Idle;
        directory.nextAt_ = world.now_ + AloneInterval;
        break;
    }
}

Millis nextDirectory(const World &world)
{
    const bool idle = world.settings_.routed_ && world.directory_.request_ == 0;
    return idle ? world.directory_.nextAt_ : Millis::never();
}

} // namespace radishford
