// Purpose: tests of what is known of runs without a reported end.
#include "core/run_outlook.hpp"

#include <doctest/doctest.h>

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

} // namespace
} // namespace fescuevane
