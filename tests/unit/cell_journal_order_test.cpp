// Purpose: tests of the order in which jobs are written to the store.
#include "cell_cluster_fixture.hpp"

#include <doctest/doctest.h>
#include <array>
#include <cstdint>
#include <memory>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::cell
{
namespace
{

// One host and one shard. A transaction takes fewer jobs than change at all
// times, since a task of each of them ends every 100 ms.
struct journal_order_fixture : cell_cluster_fixture
{
    static constexpr std::int64_t  run_ms = 100;
    static constexpr std::uint32_t tasks = 1000; // of a job that changes
    static constexpr std::array changing_jobs = {"aa01", "aa02", "aa03", "aa04",
                                                 "aa05"};

    journal_order_fixture()
    {
        defaults_.targets_per_shard_ = 2;
        defaults_.journal_jobs_ = 3;
        defaults_.journal_micros_ = 600'000;
        add_host("h-1");
        for (char const* const target : {"t-1", "t-2"})
        {
            list_target(target, "r-1", "east", {16'000, 32'000, 0});
        }
        run(4 * micros_per_second);
    }

    static step_spec make_step(std::uint32_t count)
    {
        return {.count_ = count,
                .demand_ = {1000, 512, 0},
                .estimate_ms_ = run_ms,
                .spread_limit_ = 4}; // leaves room for other jobs
    }

    // Tasks of another shard's job.
    void submit_delegate(std::string const& id)
    {
        std::vector<std::uint32_t> indices(tasks);
        std::iota(indices.begin(), indices.end(), 0U);
        post_event(
            *find("h-1").node_,
            call_opened{
                .call_ = ++last_call_,
                .kind_ = call_kind::submit,
                .id_ = job_id(id),
                .job_ = std::make_shared<staged_job const>(staged_job{
                    .id_ = job_id(id),
                    .organisation_ = organisation_id("cafe"),
                    .queue_ = queue_id("orders"),
                    .service_ = service_id("desk"),
                    .steps_ = {make_step(tasks)},
                    .accepted_unix_ms_ = unix_ms_,
                    .alias_ =
                        task_alias{
                            .stage_ = {job_id("parent-" + id), 0, 0},
                            .indices_ = std::move(indices),
                            .failures_ = std::vector<std::uint32_t>(tasks),
                            .checkpoints_ = std::vector<std::string>(tasks)}}),
                .deadline_ = now_.after(3 * micros_per_second)});
    }

    // Look-ups by the other shard, which wait for the ends of the jobs.
    void await_ends()
    {
        for (char const* const job : changing_jobs)
        {
            passed_[++last_call_] = {addresses_.at("h-1"), 0};
            post_event(
                *find("h-1").node_,
                peer_called{last_call_,
                            {.kind_ = call_kind::lookup,
                             .id_ = job_id(job),
                             .shard_ = {domain_id("east"), 0},
                             .deadline_ = now_.after(3 * micros_per_second)}});
        }
    }

    void run_work(std::int64_t micros)
    {
        constexpr std::int64_t step = 20'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            run(step);
            end_runs(run_ms);
        }
    }
};

// Guards against a job that is never written because others, which come first
// by their ids or since callers wait for them, change all the time: delegations
// of its tasks don't begin, and its end is lost with the owner.
TEST_CASE_FIXTURE(journal_order_fixture,
                  "others change all the time, end of a job, stored")
{
    bool called = false;
    SUBCASE("no callers") {}
    SUBCASE("callers wait for the others")
    {
        called = true;
    }
    lasting_.insert(job_id("zz01"));
    submit("h-1", "zz01", {make_step(1)});
    run_work(micros_per_second);
    for (char const* const job : changing_jobs)
    {
        submit_delegate(job);
    }
    run_work(micros_per_second);
    lasting_.clear();
    for (int second = 0; second < 5; ++second)
    {
        if (called)
        {
            await_ends();
        }
        run_work(micros_per_second);
    }
    std::string const row = rows_.at({"job", "0", "zz01"}).value_;
    CHECK(read_job(row).progress_.phase_ == job_phase::completed);
}

} // namespace
} // namespace fescuevane::cell
