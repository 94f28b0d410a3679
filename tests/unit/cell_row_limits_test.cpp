// Purpose: tests of rows and transactions under the limits of the store.
#include "cell/job_record.hpp"
#include "cell/records.hpp"
#include "cell_fixture.hpp"
#include "core/job_progress.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <numeric>

namespace fescuevane::cell
{
namespace
{

constexpr std::size_t row_bytes = 65'536; // encoded, as in the sites' files

std::size_t encoded_bytes(std::string const& text)
{
    return (text.size() + 2) / 3 * 4;
}

// A wide job and the progress of its tasks.
struct wide_job_fixture
{
    static constexpr std::uint32_t tasks = 50'000;
    shard_id                       shard_{domain_id("east"), 0};
    job_progress                   progress_{.phase_ = job_phase::running};

    static staged_job make(std::uint32_t count, std::uint32_t repeat = 0)
    {
        return {.id_ = job_id("aa01"),
                .organisation_ = organisation_id("cafe"),
                .queue_ = queue_id("orders"),
                .service_ = service_id("desk"),
                .payload_ = std::string(4'000, 'x'),
                .steps_ = {{.count_ = count, .demand_ = {100, 64, 0}}},
                .repeat_count_ = repeat};
    }

    std::string write(staged_job const& job = make(tasks)) const
    {
        return write_job(shard_, write_spec(job), progress_, row_bytes / 4 * 3);
    }
};

// Guards against a job that never goes on: its row outgrew the limit of the
// store while its tasks ended, and every later write was refused.
TEST_CASE_FIXTURE(wide_job_fixture,
                  "50,000 tasks, every other one done or failed, row fits")
{
    for (std::uint32_t index = 0; index < tasks; ++index)
    {
        if (index % 2 == 0)
        {
            progress_.done_tasks_[{0, 0}] += index;
        }
        else
        {
            progress_.tasks_.push_back(
                {.index_ = index, .last_run_ = 1001, .failed_runs_ = {1001}});
        }
    }
    std::string const text = write();
    CHECK(encoded_bytes(text) <= row_bytes);
    CHECK(read_job(text).progress_ == progress_);
}

TEST_CASE_FIXTURE(wide_job_fixture,
                  "20,160 occurrences, all but two ended, row fits")
{
    constexpr std::uint32_t occurrences = 20'160;
    progress_.ended_steps_[0] +=
        index_ranges::interval_type(0, occurrences - 3);
    progress_.ended_steps_[0] += occurrences - 1;
    std::string const text = write(make(1, occurrences));
    CHECK(encoded_bytes(text) <= row_bytes);
    CHECK(read_job(text).progress_ == progress_);
}

// Guards against a job whose state can't be stored any more because its tasks
// have many checkpoints; failures must be kept all the same.
TEST_CASE_FIXTURE(wide_job_fixture,
                  "checkpoints above the limit, left out, failures kept")
{
    for (std::uint32_t index = 0; index < tasks; ++index)
    {
        progress_.tasks_.push_back({.index_ = index,
                                    .last_run_ = 1001,
                                    .failed_runs_ = {1001},
                                    .checkpoint_ = "00000bb87a21d94b"});
    }
    std::string const text = write();
    CHECK(encoded_bytes(text) <= row_bytes);
    job_progress const stored = read_job(text).progress_;
    REQUIRE(stored.tasks_.size() == tasks);
    CHECK(stored.tasks_.front().checkpoint_ == "00000bb87a21d94b");
    CHECK(stored.tasks_.back().checkpoint_.empty());
    CHECK(stored.tasks_.back().failed_runs_ == std::vector{1001U});
}

// Guards against tasks that run again, or never, since their stored progress is
// read as that of others.
TEST_CASE("job row, random progress, read as written")
{
    CHECK(rc::check(
        []
        {
            constexpr std::uint32_t tasks = 40;
            constexpr std::uint32_t repeat = 20;
            staged_job const        job = wide_job_fixture::make(tasks, repeat);
            job_progress            progress;
            std::uint32_t const     ended = *rc::gen::inRange(0U, repeat);
            for (std::uint32_t number = 0; number < ended; ++number)
            {
                progress.ended_steps_[0] += *rc::gen::inRange(0U, repeat);
            }
            for (std::uint32_t index = 0; index < tasks; ++index)
            {
                task_progress const task{
                    .occurrence_ = 7,
                    .index_ = index,
                    .done_ = *rc::gen::arbitrary<bool>(),
                    .last_run_ = *rc::gen::inRange(1U, 4U),
                    .failed_runs_ =
                        *rc::gen::container<std::vector<std::uint32_t>>(
                            rc::gen::inRange(1U, 4U)),
                    .delegate_ = job_id(*rc::gen::element<std::string>(
                        "", "", "aa01~1", "aa01~2")),
                    .gang_run_ = *rc::gen::inRange(0U, 2U)};
                if (task.done_)
                {
                    progress.done_tasks_[{7, 0}] += index;
                }
                if (!task.done_ || !task.delegate_.empty())
                {
                    progress.tasks_.push_back(task);
                }
            }
            std::string const text =
                write_job({domain_id("east"), 0}, write_spec(job), progress);
            RC_ASSERT(read_job(text).progress_ == progress);
            RC_ASSERT(*read_job(text).job_ == job);
        }));
}

// Guards against calls that the store refuses as a whole: with several large
// jobs, no end of any job of the part was stored any more.
struct large_rows_fixture : cell_fixture
{
    std::size_t largest_ = 0; // bytes of the rows of one transaction

    std::shared_ptr<staged_job const> make_large(std::string const& id,
                                                 std::size_t        steps) const
    {
        std::vector<step_spec> specs(steps, {.count_ = 1,
                                             .demand_ = {100, 64, 0},
                                             .estimate_ms_ = 1000,
                                             .image_ = std::string(64, 'i')});
        return std::make_shared<staged_job const>(
            staged_job{.id_ = job_id(id),
                       .organisation_ = organisation_id("cafe"),
                       .queue_ = queue_id("orders"),
                       .service_ = service_id("desk"),
                       .payload_ = std::string(4'000, 'x'),
                       .steps_ = specs});
    }

    std::uint64_t submit_large(std::string const& id, std::size_t steps)
    {
        post(call_opened{.call_ = ++last_call_,
                         .kind_ = call_kind::submit,
                         .id_ = job_id(id),
                         .job_ = make_large(id, steps),
                         .deadline_ = now_.after(3 * micros_per_second)});
        return last_call_;
    }

    void note_largest()
    {
        for (store_transact const& write : take<store_transact>())
        {
            largest_ = std::max(
                largest_,
                std::accumulate(write.writes_.begin(), write.writes_.end(),
                                std::size_t(0),
                                [](std::size_t sum, row_write const& row)
                                {
                                    return sum + encoded_bytes(row.value_);
                                }));
        }
    }
};

TEST_CASE_FIXTURE(large_rows_fixture,
                  "60 large jobs submitted at once, transactions below 1 MB, "
                  "all accepted")
{
    constexpr std::size_t transaction_bytes = 1'000'000;
    constexpr std::size_t jobs = 60;
    constexpr std::size_t steps = 120;
    serve();
    take<store_transact>();
    std::vector<std::uint64_t> calls;
    for (std::size_t index = 0; index < jobs; ++index)
    {
        calls.push_back(submit_large("aa" + std::to_string(index), steps));
    }
    run(micros_per_second);
    note_largest();
    CHECK(largest_ > 0);
    CHECK(largest_ < transaction_bytes);
    for (std::uint64_t const call : calls)
    {
        auto const answer = find_answer(call);
        REQUIRE(answer);
        CHECK(answer->outcome_ == job_outcome::accepted);
    }
}

// Guards against delegated tasks that no shard accepts: the row of a delegate
// repeats the payload of its job and lists its tasks.
TEST_CASE_FIXTURE(
    large_rows_fixture,
    "500 tasks of a job with a large payload, delegated, accepted")
{
    constexpr std::uint32_t tasks = 500;
    task_alias              alias{.stage_ = {job_id("bb01"), 0, 0}};
    for (std::uint32_t index = 0; index < tasks; ++index)
    {
        alias.indices_.push_back(index);
        alias.failures_.push_back(index % 2);
        alias.checkpoints_.push_back("00000bb87a21" + std::to_string(index));
    }
    serve();
    post(call_opened{.call_ = ++last_call_,
                     .kind_ = call_kind::submit,
                     .id_ = job_id("aa01"),
                     .job_ = std::make_shared<staged_job const>(staged_job{
                         .id_ = job_id("aa01"),
                         .organisation_ = organisation_id("cafe"),
                         .queue_ = queue_id("orders"),
                         .service_ = service_id("desk"),
                         .payload_ = std::string(20'000, 'x'),
                         .steps_ = {{.count_ = tasks, .demand_ = {100, 64, 0}}},
                         .alias_ = alias}),
                     .deadline_ = now_.after(3 * micros_per_second)});
    run(100'000);
    REQUIRE(find_answer(last_call_));
    CHECK(find_answer(last_call_)->outcome_ == job_outcome::accepted);
    CHECK(encoded_bytes(rows_.at({"job", "0", "aa01"}).value_) <= row_bytes);
}

// Guards against a job that is accepted and whose row the store refuses; its
// shard couldn't store any other job either.
TEST_CASE_FIXTURE(large_rows_fixture,
                  "job above the limit of a row, refused, the next one is "
                  "accepted")
{
    constexpr std::size_t steps = 2'000;
    serve();
    std::uint64_t const large = submit_large("aa01", steps);
    run(100'000);
    submit("aa02");
    run(100'000);
    REQUIRE(find_answer(large));
    CHECK(find_answer(large)->outcome_ == job_outcome::unavailable);
    CHECK_FALSE(rows_.contains({"job", "0", "aa01"}));
    CHECK(rows_.contains({"job", "0", "aa02"}));
}

} // namespace
} // namespace fescuevane::cell
