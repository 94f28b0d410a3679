// Purpose: tests of reading the jobs of a shard that is taken over, with more
// rows than the link to the store carries by the deadline of a call.
#include "cell_fixture.hpp"

#include "cell/records.hpp"
#include "core/job_progress.hpp"

#include <doctest/doctest.h>

namespace fescuevane::cell
{
namespace
{

// The store replies to a read of jobs only if it asks for at most
// `carried_rows_`; larger replies don't arrive in time.
struct slow_link_fixture : cell_fixture
{
    static constexpr int job_count = 120;
    std::size_t          carried_rows_ = 10;
    std::size_t          largest_reply_ = 0; // in rows, of those that arrived
    std::size_t          unusable_rows_ = 0; // first ones, left out of replies

    slow_link_fixture()
    {
        shard_id const shard{domain_id("east"), 0};
        for (int job = 0; job < job_count; ++job)
        {
            std::string const id = "aa" + std::to_string(1000 + job);
            row_key const     key{"job", "0", id};
            rows_[key] = {key, write_job(shard, write_spec(make_job(id)), {}),
                          ++revision_};
        }
        row_key const owner{"member", "0", "shard/east.0"};
        rows_[owner] = {
            owner, write_owner({host_id("host-1"), 1, "127.0.0.1:7000", 4}),
            ++revision_};
        start(2);
        list_target("t-1");
    }

    bool is_serving()
    {
        heartbeat const beat = make_heartbeat(*node_);
        return !beat.shards_.empty() && beat.shards_[0].serving_;
    }

    void answer_job_read(store_read const& read)
    {
        std::vector<stored_row> found;
        std::size_t             passed = 0; // rows of the table
        std::size_t             read_rows = 0;
        bool                    truncated = false;
        for (auto const& [key, row] : rows_)
        {
            if (key.table_ != "job")
            {
                continue;
            }
            bool const usable = passed++ >= unusable_rows_;
            if (key.key_ < read.from_)
            {
                continue;
            }
            truncated = read.limit_ > 0 && read_rows == read.limit_;
            if (truncated)
            {
                break;
            }
            ++read_rows;
            if (usable)
            {
                found.push_back(row);
            }
        }
        if (found.size() > carried_rows_)
        {
            post(store_reply{.request_ = read.request_,
                             .outcome_ = store_outcome::unknown,
                             .error_ = "no answer by the deadline"});
            return;
        }
        largest_reply_ = std::max(largest_reply_, found.size());
        post(store_reply{.request_ = read.request_,
                         .outcome_ = store_outcome::done,
                         .revision_ = revision_,
                         .rows_ = found,
                         .truncated_ = truncated});
    }

    // Runs until the shard is served, for at most this time.
    void run_until_serving(std::int64_t micros)
    {
        constexpr std::int64_t step = 10'000;
        for (std::int64_t passed = 0; passed < micros && !is_serving();
             passed += step)
        {
            reads_lost_ = true;
            run(step);
            reads_lost_ = false;
            for (store_read const& read : take<store_read>())
            {
                if (read.table_ == "job")
                {
                    answer_job_read(read);
                }
                else
                {
                    answer_read(read);
                }
            }
        }
    }
};

// Guards against a cell that doesn't come back after all hosts were lost: the
// read of all jobs timed out, was repeated in full, and no shard was served.
TEST_CASE_FIXTURE(slow_link_fixture,
                  "more jobs than a slow link carries, shard claimed, served "
                  "with all of them")
{
    run_until_serving(15 * micros_per_second);
    REQUIRE(is_serving());
    for (int const job : {0, job_count / 2, job_count - 1})
    {
        auto const call =
            ask(call_kind::lookup, "aa" + std::to_string(1000 + job));
        run(50'000);
        REQUIRE(find_answer(call));
        CHECK(find_answer(call)->outcome_ == job_outcome::known);
    }
}

// Guards against one lost reply that makes all later reads small, and the
// takeover of a large shard slow.
TEST_CASE_FIXTURE(slow_link_fixture,
                  "link fast again, jobs are read in larger steps")
{
    run_until_serving(600'000);
    REQUIRE_FALSE(is_serving());
    carried_rows_ = job_count;
    run_until_serving(15 * micros_per_second);
    REQUIRE(is_serving());
    CHECK(largest_reply_ > 10);
}

// Guards against jobs that are lost to a takeover: a reply whose rows all had
// to be left out was taken for the end of the table.
TEST_CASE_FIXTURE(slow_link_fixture,
                  "first reply without a usable row, shard claimed, later jobs "
                  "are known")
{
    carried_rows_ = job_count;
    unusable_rows_ = settings_.load_rows_first_;
    run_until_serving(15 * micros_per_second);
    REQUIRE(is_serving());
    auto const call =
        ask(call_kind::lookup, "aa" + std::to_string(1000 + job_count - 1));
    reads_lost_ = true; // of a look-up of the row
    run(50'000);
    REQUIRE(find_answer(call));
    CHECK(find_answer(call)->outcome_ == job_outcome::known);
}

// Guards against a job that is missed at the border of two reads.
TEST_CASE_FIXTURE(slow_link_fixture,
                  "as many jobs as a read may return, shard claimed, the last "
                  "is known")
{
    carried_rows_ = job_count;
    settings_.load_rows_first_ = job_count;
    settings_.load_rows_max_ = job_count;
    start(3);
    list_target("t-1");
    run_until_serving(15 * micros_per_second);
    REQUIRE(is_serving());
    auto const call =
        ask(call_kind::lookup, "aa" + std::to_string(1000 + job_count - 1));
    run(50'000);
    REQUIRE(find_answer(call));
    CHECK(find_answer(call)->outcome_ == job_outcome::known);
}

} // namespace
} // namespace fescuevane::cell
