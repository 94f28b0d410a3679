// Purpose: tests of what is known of runs without a reported end.
#include "core/attempt_count.hpp"
#include "core/run_outlook.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace fescuevane
{
namespace
{

struct outlook_fixture
{
    run_outlook outlook_{.heard_at_ = instant(1000),
                         .lapses_at_ = instant(5000),
                         .settles_at_ = instant(9000)};
};

// Guards against work that starts elsewhere while it may go on, or while its
// end may be listed.
TEST_CASE_FIXTURE(outlook_fixture,
                  "target silent, time passes, runs are judged in order")
{
    CHECK(judge_runs(outlook_, instant(4999)) == run_certainty::may_run);
    CHECK(judge_runs(outlook_, instant(5000)) == run_certainty::may_have_ended);
    CHECK(judge_runs(outlook_, instant(9000)) == run_certainty::settled);
    CHECK(judge_runs({}, instant(9000)) == run_certainty::may_run);
}

// Guards against an attempt beyond the limit, whatever unread ends turn out to
// be, and against a job that is given up before they are known.
TEST_CASE("attempts, any number unread, none beyond the limit")
{
    CHECK(rc::check(
        [](std::uint8_t failed, std::uint8_t unread, std::uint8_t limit)
        {
            attempt_count const attempts{failed, unread, limit};
            attempt_count const all_failed{std::uint32_t(failed) + unread, 0,
                                           limit};
            RC_ASSERT(may_start(attempts) == may_start(all_failed));
            RC_ASSERT(!is_used_up(attempts) || is_used_up(all_failed));
            RC_ASSERT(!(may_start(attempts) && is_used_up(attempts)));
        }));
}

} // namespace
} // namespace fescuevane
