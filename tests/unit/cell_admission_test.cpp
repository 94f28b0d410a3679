// Purpose: tests of refusals for load over two hosts and two shards. Load: jobs
// that ask for several times what the targets have.
#include "cell_cluster_fixture.hpp"

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace fescuevane::cell
{
namespace
{

// Two shards of two targets. A job takes a whole target for 1 s and loses its
// value after 5.25 s.
struct admission_fixture : cell_cluster_fixture
{
    std::map<std::string, std::uint64_t> calls_;

    admission_fixture()
    {
        defaults_.plan_.admission_ = plan::admission_level::valuable;
        add_host("h-1");
        add_host("h-2");
        list_two_racks();
        run(4 * micros_per_second);
    }

    void work(std::int64_t micros)
    {
        for (std::int64_t passed = 0; passed < micros; passed += 50'000)
        {
            run(50'000);
            end_runs(1000);
        }
    }

    void submit_order(std::string const& host, std::string const& id)
    {
        calls_[id] = submit(
            host, id, {{.demand_ = {4000, 512, 0}, .estimate_ms_ = 1000}});
    }

    std::optional<job_answer> answer_to(std::string const& host,
                                        std::string const& id)
    {
        return find_answer(host, calls_.at(id));
    }

    // Submits jobs until one is refused, and returns its id.
    std::string fill(std::string const& host)
    {
        for (int number = 100; number < 300; ++number)
        {
            std::string id = "aa" + std::to_string(number);
            submit_order(host, id);
            work(50'000);
            auto const answer = answer_to(host, id);
            if (answer && answer->outcome_ == job_outcome::overloaded)
            {
                return id;
            }
        }
        return "";
    }

    bool is_stored(std::string const& id) const
    {
        return rows_.contains({"job", "0", id});
    }

    bool has_started(std::string const& id) const
    {
        return std::any_of(starts_.begin(), starts_.end(),
                           [&id](auto const& start)
                           {
                               return start.first.stage_.job_.str() == id;
                           });
    }
};

// Guards against a job that is refused and runs.
TEST_CASE_FIXTURE(admission_fixture,
                  "full cell, job refused, told a time, never stored or run")
{
    std::string const id = fill("h-1");
    REQUIRE_FALSE(id.empty());
    CHECK(answer_to("h-1", id)->retry_after_ms_ > 0);
    work(15 * micros_per_second);
    CHECK_FALSE(is_stored(id));
    CHECK_FALSE(has_started(id));
    std::uint64_t const lookup = ask("h-2", call_kind::lookup, id);
    run(200'000);
    REQUIRE(find_answer("h-2", lookup));
    CHECK(find_answer("h-2", lookup)->outcome_ == job_outcome::absent);
}

// Guards against a refusal of a job that runs.
TEST_CASE_FIXTURE(admission_fixture,
                  "full cell, stored job submitted again at any host, accepted")
{
    submit_order("h-1", "ee01");
    run(100'000);
    REQUIRE(answer_to("h-1", "ee01")->outcome_ == job_outcome::accepted);
    REQUIRE_FALSE(fill("h-1").empty());
    for (char const* const host : {"h-1", "h-2"})
    {
        submit_order(host, "ee01");
        run(200'000);
        REQUIRE(answer_to(host, "ee01"));
        CHECK(answer_to(host, "ee01")->outcome_ == job_outcome::accepted);
    }
}

// Guards against callers who come back as they were told and are turned away.
TEST_CASE_FIXTURE(admission_fixture,
                  "refused job, comes back at its time, accepted and run")
{
    std::string const id = fill("h-1");
    REQUIRE_FALSE(id.empty());
    work(answer_to("h-1", id)->retry_after_ms_ * micros_per_milli);
    submit_order("h-2", id);
    run(200'000);
    REQUIRE(answer_to("h-2", id));
    CHECK(answer_to("h-2", id)->outcome_ == job_outcome::accepted);
    work(10 * micros_per_second);
    CHECK(has_started(id));
}

// Guards against a promise that has to outlive its owner.
TEST_CASE_FIXTURE(
    admission_fixture,
    "refused job, owner killed, comes back, accepted and run once")
{
    std::string const id = fill("h-1");
    REQUIRE_FALSE(id.empty());
    kill("h-2");
    work(4 * micros_per_second);
    submit_order("h-1", id);
    work(8 * micros_per_second);
    REQUIRE(answer_to("h-1", id));
    CHECK(answer_to("h-1", id)->outcome_ == job_outcome::accepted);
    work(10 * micros_per_second);
    CHECK(std::count_if(starts_.begin(), starts_.end(),
                        [&id](auto const& start)
                        {
                            return start.first.stage_.job_.str() == id;
                        }) == 1);
}

// One host whose target has work for 10 s.
struct full_host_fixture : cell_fixture
{
    full_host_fixture()
    {
        settings_.plan_.admission_ = plan::admission_level::valuable;
        start(1);
        serve();
        for (int number = 100; number < 140; ++number)
        {
            submit("aa" + std::to_string(number));
            run(10'000);
        }
        run(200'000);
    }
};

// Guards against a 429 for a job that the store may hold.
TEST_CASE_FIXTURE(full_host_fixture,
                  "full shard, row can't be read, answer is uncertain")
{
    std::uint64_t const refused = submit("bb01");
    run(100'000);
    REQUIRE(find_answer(refused));
    REQUIRE(find_answer(refused)->outcome_ == job_outcome::overloaded);
    reads_lost_ = true;
    std::uint64_t const call = submit("bb02");
    run(2 * micros_per_second);
    CHECK_FALSE(find_answer(call));
    run(2 * micros_per_second);
    REQUIRE(find_answer(call));
    CHECK(find_answer(call)->outcome_ == job_outcome::uncertain);
}

// Guards against a promised time while nothing can be stored.
TEST_CASE_FIXTURE(full_host_fixture,
                  "full shard, store lost, refused as unavailable")
{
    store_down_ = true;
    run(micros_per_second);
    std::uint64_t const call = submit("bb01");
    run(200'000);
    REQUIRE(find_answer(call));
    CHECK(find_answer(call)->outcome_ == job_outcome::unavailable);
}

// Guards against a full cell that callers' balancers take for a sick one.
TEST_CASE_FIXTURE(full_host_fixture, "full shard, stays ready")
{
    CHECK(is_ready(*node_));
}

} // namespace
} // namespace fescuevane::cell
