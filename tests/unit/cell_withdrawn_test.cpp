// Purpose: tests of cancels that arrive before the submission of their job.
#include "cell_cluster_fixture.hpp"

#include "cell/record_error.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace fescuevane::cell
{
namespace
{

// Two hosts, each of which owns one of two shards. A submission is held back
// on its way, as in the socket of a suspended process, while another host gets
// the cancel.
struct withdrawn_fixture : cell_cluster_fixture
{
    static constexpr std::int64_t second = micros_per_second;

    withdrawn_fixture()
    {
        executes_stops_ = true;
        add_host("host-1");
        add_host("host-2");
        list_two_racks();
        run(4 * second);
        REQUIRE(list_served("host-1").size() == 1);
        REQUIRE(list_served("host-2").size() == 1);
    }

    job_outcome cancel(std::string const& host, std::string const& id)
    {
        return finish(host, ask(host, call_kind::cancel, id));
    }

    job_outcome submit_and_wait(std::string const& host, std::string const& id)
    {
        return finish(host, submit(host, id));
    }

    job_outcome look_up(std::string const& host, std::string const& id)
    {
        return finish(host, ask(host, call_kind::lookup, id));
    }

    job_outcome finish(std::string const& host, std::uint64_t call)
    {
        run(second / 2);
        auto const answer = find_answer(host, call);
        REQUIRE(answer);
        return answer->outcome_;
    }

    bool has_started(std::string const& id) const
    {
        return std::any_of(starts_.begin(), starts_.end(),
                           [&id](auto const& start)
                           {
                               return start.first.stage_.job_ == job_id(id);
                           });
    }

    // Rows of jobs in the store.
    std::size_t count_rows(std::string const& id) const
    {
        return static_cast<std::size_t>(std::count_if(
            rows_.begin(), rows_.end(),
            [&id](auto const& row)
            {
                return row.first.table_ == "job" && row.first.key_ == id;
            }));
    }
};

// Guards against a job that runs after its cancel was acknowledged: the
// submission waited in the socket of a suspended process, and the cancel left
// nothing behind that it could have met.
TEST_CASE_FIXTURE(withdrawn_fixture,
                  "cancel of an unknown job, submission arrives later, refused "
                  "and nothing starts")
{
    for (int job = 0; job < 8; ++job)
    {
        std::string const id = "aa0" + std::to_string(job);
        CHECK(cancel("host-2", id) == job_outcome::absent);
        std::string const late = job % 2 == 0 ? "host-1" : "host-2";
        CHECK(submit_and_wait(late, id) == job_outcome::withdrawn);
        CHECK(submit_and_wait("host-1", id) == job_outcome::withdrawn);
        run(second);
        CHECK_FALSE(has_started(id));
    }
}

// Guards against a refusal that its caller can't use: it must say when the id
// is accepted again.
TEST_CASE_FIXTURE(withdrawn_fixture,
                  "submission of a withdrawn job, refused with a time to come "
                  "back, accepted after it")
{
    CHECK(cancel("host-2", "aa01") == job_outcome::absent);
    std::uint64_t const call = submit("host-1", "aa01");
    CHECK(finish("host-1", call) == job_outcome::withdrawn);
    std::int64_t const wait_ms = find_answer("host-1", call)->retry_after_ms_;
    CHECK(wait_ms > 0);
    tick_micros_ = 100'000;
    run(wait_ms * micros_per_milli + 2 * second);
    CHECK(count_rows("aa01") == 0);
    CHECK(submit_and_wait("host-1", "aa01") == job_outcome::accepted);
}

// Guards against a promise that ends with the process that gave it.
TEST_CASE_FIXTURE(withdrawn_fixture,
                  "withdrawn job, hosts killed after the answer, refused by "
                  "the next owners")
{
    CHECK(cancel("host-2", "aa01") == job_outcome::absent);
    SUBCASE("all hosts")
    {
        kill("host-1");
        kill("host-2");
        run(second);
        start("host-1");
        start("host-2");
    }
    SUBCASE("one host, whose shard the other one takes over")
    {
        kill("host-2");
    }
    SUBCASE("the other host")
    {
        kill("host-1");
        run(6 * second);
        start("host-1");
    }
    run(12 * second);
    CHECK(submit_and_wait("host-1", "aa01") == job_outcome::withdrawn);
    CHECK(look_up("host-1", "aa01") == job_outcome::absent);
    run(second);
    CHECK_FALSE(has_started("aa01"));
}

// Guards against a job that is shown although nobody submitted it.
TEST_CASE_FIXTURE(withdrawn_fixture,
                  "withdrawn job, looked up at each host, is absent")
{
    CHECK(cancel("host-1", "aa01") == job_outcome::absent);
    CHECK(look_up("host-1", "aa01") == job_outcome::absent);
    CHECK(look_up("host-2", "aa01") == job_outcome::absent);
    CHECK(cancel("host-2", "aa01") == job_outcome::absent);
    CHECK(count_rows("aa01") == 1);
}

// Guards against refusing jobs of which only the state was asked for.
TEST_CASE_FIXTURE(withdrawn_fixture,
                  "look-up of an unknown job, submission arrives later, "
                  "accepted")
{
    CHECK(look_up("host-2", "aa01") == job_outcome::absent);
    CHECK(submit_and_wait("host-1", "aa01") == job_outcome::accepted);
    run(second);
    CHECK(has_started("aa01"));
}

// Guards against a cancel that is lost between the read that finds no row and
// the write that would reject the submission.
TEST_CASE_FIXTURE(
    withdrawn_fixture,
    "cancel and submission at the same time, acknowledged cancel, "
    "nothing starts later")
{
    for (int job = 0; job < 30; ++job)
    {
        std::string const   id = "bb" + std::to_string(job);
        std::uint64_t const first = ask("host-2", call_kind::cancel, id);
        run(tick_micros_ * (job % 5));
        std::uint64_t const second_call = submit("host-1", id);
        run(second);
        auto const canceled = find_answer("host-2", first);
        REQUIRE(canceled);
        bool const acknowledged = canceled->outcome_ == job_outcome::absent ||
                                  canceled->outcome_ == job_outcome::canceled;
        CHECK(acknowledged);
        REQUIRE(find_answer("host-1", second_call));
        int const before = static_cast<int>(starts_.size());
        run(3 * second);
        CHECK(static_cast<int>(starts_.size()) == before);
    }
}

// Guards against a cancel that waits for its deadline, or is acknowledged,
// while nothing can be stored.
TEST_CASE_FIXTURE(withdrawn_fixture,
                  "cancel of an unknown job without the store, refused at once")
{
    store_refuses_ = true;
    run(6 * second);
    std::uint64_t const call = ask("host-2", call_kind::cancel, "aa01");
    run(second);
    auto const answer = find_answer("host-2", call);
    REQUIRE(answer);
    CHECK(answer->outcome_ == job_outcome::unavailable);
    CHECK(answer->retry_after_ms_ > 0);
    store_refuses_ = false;
    run(8 * second);
    CHECK(submit_and_wait("host-1", "aa01") == job_outcome::accepted);
}

// Guards against clients that fill memory and store with cancels of ids that
// never existed.
struct bounded_fixture : withdrawn_fixture
{
    bounded_fixture()
    {
        for (char const* const name : {"host-1", "host-2"})
        {
            kill(name);
            find(name).settings_.max_withdrawn_ = 3;
        }
        run(second);
        start("host-1");
        start("host-2");
        run(12 * second);
    }
};

TEST_CASE_FIXTURE(bounded_fixture,
                  "more cancels of unknown jobs than may be kept, refused at "
                  "once, known jobs are still canceled")
{
    REQUIRE(submit_and_wait("host-1", "cc01") == job_outcome::accepted);
    int refused = 0;
    for (int job = 0; job < 20; ++job)
    {
        job_outcome const outcome =
            cancel("host-2", "aa" + std::to_string(job));
        refused += outcome == job_outcome::unavailable ? 1 : 0;
    }
    CHECK(refused == 20 - 2 * 3);
    CHECK(cancel("host-2", "cc01") == job_outcome::canceled);
    tick_micros_ = 100'000;
    run(defaults_.result_keep_micros_ + 2 * second);
    CHECK(cancel("host-2", "aa99") == job_outcome::absent);
}

} // namespace
} // namespace fescuevane::cell
