// Purpose: tests of policies of queues and organisations that are removed from
// the configuration while their jobs run.
#include "core/job_progress.hpp"
#include "plan_fixture.hpp"

#include <doctest/doctest.h>

namespace fescuevane::plan
{
namespace
{

// A job that was accepted under a policy with three attempts.
struct removed_queue_fixture : plan_fixture
{
    static constexpr std::uint32_t attempts = 3;

    void remove_queue() { post(queues_set{}); }

    void add_accepted(std::optional<accepted_policy> const& policy)
    {
        post(job_added{.job_ = std::make_shared<staged_job const>(
                           staged_job{.id_ = job_id("j-1"),
                                      .organisation_ = organisation_id("cafe"),
                                      .queue_ = queue_id("orders"),
                                      .service_ = service_id("desk"),
                                      .payload_ = "work",
                                      .steps_ = {make_step(1)},
                                      .policy_ = policy}),
                       .accepted_at_ = now_});
    }

    static accepted_policy make_policy()
    {
        return {.queue_ = {.id_ = queue_id("orders"),
                           .service_ = service_id("desk"),
                           .max_attempts_ = attempts}};
    }

    // Fails the task that the last tick has started. Returns whether it is
    // started again.
    bool fail_once()
    {
        auto const starts = list<start_run>();
        REQUIRE(starts.size() == 1);
        end(starts[0], run_end::failed);
        tick();
        return !list<start_run>().empty();
    }

    std::optional<job_phase> phase() const
    {
        return find_phase(*planner_, job_id("j-1"));
    }
};

// Guards against a job that fails at its first failed attempt, since its queue
// was removed before the present owner took over.
TEST_CASE_FIXTURE(removed_queue_fixture,
                  "removed queue, new planner, accepted attempts apply")
{
    remove_queue();
    set_target("t-1");
    add_accepted(make_policy());
    tick();
    CHECK(fail_once());
    CHECK(fail_once());
    CHECK_FALSE(fail_once());
    CHECK(phase() == job_phase::failed);
}

// Guards against owners that treat the same job differently: one that was there
// before a change of the configuration, and one that came after it.
TEST_CASE_FIXTURE(removed_queue_fixture,
                  "removed queue, planner that had it, accepted attempts apply")
{
    set_queue({}, 2);
    set_target("t-1");
    add_accepted(make_policy());
    tick();
    remove_queue();
    CHECK(fail_once());
    CHECK(fail_once());
    CHECK_FALSE(fail_once());
    CHECK(phase() == job_phase::failed);
}

TEST_CASE_FIXTURE(removed_queue_fixture,
                  "configured queue, other than accepted, configured one "
                  "applies")
{
    set_queue({}, 2);
    set_target("t-1");
    add_accepted(make_policy());
    tick();
    CHECK(fail_once());
    CHECK_FALSE(fail_once());
    CHECK(phase() == job_phase::failed);
}

// Guards against a start without the ticket that the queue's targets ask for.
TEST_CASE_FIXTURE(removed_queue_fixture,
                  "removed queue with a policy service, advice is requested")
{
    remove_queue();
    set_target("t-1");
    accepted_policy policy = make_policy();
    policy.queue_.advice_ = advice_policy{10, 1, 1000};
    add_accepted(policy);
    tick();
    CHECK(list<start_run>().empty());
    CHECK(list<advice_request>().size() == 1);
}

// Guards against a job of an earlier version, whose row has no policy, that is
// given up or started too often while its queue isn't configured.
TEST_CASE_FIXTURE(removed_queue_fixture,
                  "unknown attempts, task fails, waits until they are known")
{
    remove_queue();
    set_target("t-1");
    add_accepted(std::nullopt);
    tick();
    CHECK_FALSE(fail_once());
    CHECK(phase() == job_phase::running);
    SUBCASE("another attempt is left")
    {
        set_queue({}, attempts);
        tick();
        CHECK(list<start_run>().size() == 1);
    }
    SUBCASE("no attempt is left")
    {
        set_queue({}, 1);
        tick();
        CHECK(list<start_run>().empty());
        CHECK(phase() == job_phase::failed);
    }
}

// Guards against a limit that stays in force on the owners that knew it: their
// successors wouldn't have it.
TEST_CASE_FIXTURE(plan_fixture, "organisation removed, its limit is dropped")
{
    set_target("t-1");
    organisation_id const cafe("cafe");
    post(organisations_set{{{cafe, 1, {1000, 0, 0}}}});
    add_job("j-1", {make_step(2)});
    tick();
    CHECK(list<start_run>().size() == 1);
    post(organisations_set{});
    tick();
    CHECK(list<start_run>().size() == 1);
}

} // namespace
} // namespace fescuevane::plan
