// Purpose: tests of the ends that a target lists until its owner has taken note
// of them, whatever the state of their jobs.
#include "cell_fixture.hpp"
#include "target_model.hpp"

#include <doctest/doctest.h>

namespace fescuevane::cell
{
namespace
{

// One target that replies to everything. Runs of a former owner end there.
struct listed_ends_fixture : cell_fixture
{
    // An end has to be stored within this time while the store replies.
    static constexpr std::int64_t bound_micros = 2 * micros_per_second;

    target_model target_;

    void run_target(std::int64_t micros)
    {
        constexpr std::int64_t step = 10'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            for (hold_target const& hold : take<hold_target>())
            {
                post(target_.answer(hold, unix_ms_));
            }
            for (send_start const& start : take<send_start>())
            {
                target_.take(start, unix_ms_);
                post(order_reply{.request_ = start.request_,
                                 .outcome_ = target_outcome::done});
            }
            for (send_stop const& stop : take<send_stop>())
            {
                target_.end(stop.stop_.run_, run_end::stopped);
                post(order_reply{.request_ = stop.request_,
                                 .outcome_ = target_outcome::done});
            }
            run(step);
        }
    }

    void start_job(step_spec const& step)
    {
        list_target("t-1");
        run_target(micros_per_second);
        submit_steps("aa01", {step});
        run_target(200'000);
        REQUIRE(target_.running_.size() == step.count_);
    }

    // The owner stores the effect of the ends but is killed before the target
    // learns that; the next process of the host takes the shard over.
    void take_over_stored_ends()
    {
        std::list<reported_end> ends = target_.ends_;
        run_target(500'000);
        REQUIRE(target_.ends_.empty());
        target_.ends_.swap(ends);
        commands_.clear();
        start(2);
        list_target("t-1");
    }

    void end_first(run_end how)
    {
        target_.end(target_.running_.front().run_, how);
    }
};

step_spec const two_tasks{
    .count_ = 2, .demand_ = {1000, 512, 0}, .estimate_ms_ = 1000};

// Guards against ends that are never taken note of after a change of owner, so
// that a target, which lists 500 ends at a time, reports no later one: the next
// owner waited for a change of a job that doesn't change any more.
TEST_CASE_FIXTURE(listed_ends_fixture,
                  "end stored by the former owner, target may forget it")
{
    SUBCASE("its job has completed")
    {
        start_job(two_tasks);
        target_.end_all(run_end::done);
    }
    SUBCASE("its job goes on")
    {
        start_job(two_tasks);
        end_first(run_end::done);
    }
    SUBCASE("its job has been canceled")
    {
        start_job(two_tasks);
        ask(call_kind::cancel, "aa01");
    }
    SUBCASE("its job has failed")
    {
        start_job({.demand_ = {1000, 512, 0}, .estimate_ms_ = 1000});
        for (int attempt = 0; attempt < 3; ++attempt)
        {
            REQUIRE(target_.running_.size() == 1);
            target_.end_all(run_end::failed);
            run_target(2 * micros_per_second);
        }
        REQUIRE(target_.running_.empty());
        target_.end(run_key{{job_id("aa01"), 0, 0}, 0, 3}, run_end::failed);
    }
    SUBCASE("its job is unknown")
    {
        start_job(two_tasks);
        target_.end(run_key{{job_id("bb01"), 0, 0}, 0, 1}, run_end::done);
    }
    take_over_stored_ends();
    run_target(bound_micros + micros_per_second);
    CHECK(target_.ends_.empty());
}

// Guards against the opposite fault: an end that its target forgets before its
// effect is stored would be lost with the owner.
TEST_CASE_FIXTURE(listed_ends_fixture,
                  "end of a job that the owner loaded, store down, kept")
{
    start_job(two_tasks);
    commands_.clear();
    start(2);
    list_target("t-1");
    run_target(micros_per_second);
    store_down_ = true;
    end_first(run_end::done);
    run_target(micros_per_second);
    CHECK(target_.ends_.size() == 1);
    store_down_ = false;
    run_target(bound_micros);
    CHECK(target_.ends_.empty());
}

// Guards against ends that stay listed because the row of their job can't be
// read: no change of it is ever stored.
TEST_CASE_FIXTURE(listed_ends_fixture,
                  "end of a job with an unreadable row, target may forget it")
{
    start_job(two_tasks);
    row_key const key{"job", "0", "aa01"};
    commands_.clear();
    rows_[key] = {key, "{", ++revision_};
    start(2);
    list_target("t-1");
    end_first(run_end::done);
    run_target(bound_micros + micros_per_second);
    CHECK(target_.ends_.empty());
}

} // namespace
} // namespace fescuevane::cell
