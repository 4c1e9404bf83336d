// Tests of pools and their ids, addresses, result codes, timers and token buckets.
#define BOOST_TEST_MODULE core
#include "core/address.h"
#include "core/error.h"
#include "core/pool.h"
#include "core/timer_queue.h"
#include "core/token_bucket.h"
#include "table/result_codes.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <set>

using namespace radishford; // NOLINT: tests use only this namespace

namespace {

using RowId = PoolId<struct RowTag>;

} // namespace

BOOST_AUTO_TEST_CASE(a_reused_row_is_not_found_by_its_old_id)
{
    Pool<int, RowId> pool;
    const RowId first = pool.create(1);
    pool.remove(first);
    const RowId second = pool.create(2);
    BOOST_TEST(first.index_ == second.index_);
    BOOST_TEST(pool.get(first) == nullptr);
    BOOST_TEST(*pool.get(second) == 2);
    BOOST_TEST((RowId::fromPacked(second.packed()) == second));
}

BOOST_AUTO_TEST_CASE(addresses_are_read_and_written)
{
    BOOST_TEST(toText(parseAddress("127.0.1.250:7400")) == "127.0.1.250:7400");
    for (const char *bad : {"", "127.0.0.1", "127.0.0.256:1", "1.2.3.4:65536", "1.2.3.4:5x", "a.b.c.d:1", "1.2.3:4", "1.2.3.4:"}) {
        BOOST_CHECK_THROW(parseAddress(bad), Error);
    }
}

BOOST_AUTO_TEST_CASE(result_codes_have_ascending_numbers_unique_names_and_matching_outcomes)
{
    std::uint16_t before = 0;
    std::set<std::string_view> names;
    for (const ResultCodeInfo &info : ResultCodeTable) {
        const std::uint16_t number = numberOf(info.code_);
        BOOST_TEST((number == 0 || number > before));
        BOOST_TEST(names.insert(info.name_).second);
        BOOST_TEST((&resultCodeInfo(info.code_) == &info));
        BOOST_TEST((provesNotRun(info.code_) == (number / 1000 == 1)));
        before = number;
    }
}

BOOST_AUTO_TEST_CASE(timers_pop_in_order_of_due_time)
{
    TimerQueue queue;
    queue.add(Millis(5), TimerKind::CallRetry, 2);
    queue.add(Millis(3), TimerKind::CallDeadline, 1);
    BOOST_TEST((queue.nextDue() == Millis(3)));
    BOOST_TEST(queue.pop().rowId_ == 1U);
    BOOST_TEST(queue.pop().rowId_ == 2U);
    BOOST_TEST((queue.nextDue() == Millis::never()));
}

// Any sequence of requests is granted at most rate * time + burst tokens, and a new bucket is empty.
RC_BOOST_PROP(a_bucket_grants_no_more_than_rate_and_burst, ())
{
    const double rate = *rc::gen::inRange(1, 1000);
    const double burst = *rc::gen::inRange(1, 500);
    TokenBucket bucket(rate, burst, Millis());
    RC_ASSERT(!bucket.tryTake(1, Millis()));
    Millis now;
    double granted = 0;
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200))) {
        now = now + Millis(step);
        const double units = 1 + step % 7;
        granted += bucket.tryTake(units, now) ? units : 0;
        RC_ASSERT(granted <= rate * now.fractionalMillis() / 1000 + 1e-6);
    }
}
