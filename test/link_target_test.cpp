// The target for short calls beside downloads: fewer than two in a hundred are lost.
#define BOOST_TEST_MODULE link_target
#include "fake/download_pattern.h"

#include <boost/test/unit_test.hpp>

using namespace radishford; // NOLINT: tests use only this namespace

BOOST_AUTO_TEST_CASE(short_calls_beside_downloads_are_answered)
{
    constexpr double Target = 0.98;
    BOOST_TEST(replayDownloads(true).shortCalls_ > Target);
}
