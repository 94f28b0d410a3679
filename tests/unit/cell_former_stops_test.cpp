// Purpose: tests of a takeover while targets may still be stopping runs by
// order of the former owner.
#include "cell_fixture.hpp"

#include "cell/owner_record.hpp"
#include "cell/records.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace fescuevane::cell
{
namespace
{

// The task of aa01 was started by a former owner. Its target, t-1, lists it
// neither as running nor as ended. No order to a target gets a reply.
struct former_stops_fixture : cell_fixture
{
    row_key const row_{"member", "0", "shard/east.0"};

    former_stops_fixture()
    {
        serve();
        submit("aa01");
        run(50'000);
        REQUIRE(take<send_start>().size() == 1);
    }

    // The node takes the shard over from host-2 and reaches its targets.
    void take_over(owner_record const& former)
    {
        rows_[row_] = {row_, write_owner(former), ++revision_};
        start(3);
        list_target("t-1");
        list_target("t-2");
        commands_.clear();
        for (int round = 0; round < 60 && !is_serving(); ++round)
        {
            run(100'000);
        }
        REQUIRE(is_serving());
    }

    bool is_serving()
    {
        heartbeat const beat = make_heartbeat(*node_);
        return !beat.shards_.empty() && beat.shards_[0].serving_;
    }

    // Runs while the targets reply. Returns the number of starts.
    std::size_t count_starts(std::int64_t micros)
    {
        constexpr std::int64_t step = 10'000;
        std::int64_t           passed = 0;
        do
        {
            for (hold_target const& hold : take<hold_target>())
            {
                answer_hold(hold);
            }
            run(step);
            passed += step;
        } while (passed < micros);
        return take<send_start>().size();
    }

    owner_record make_former(bool released, bool stops_over) const
    {
        return {host_id("host-2"), 5,
                "127.0.0.1:7001",  6,
                released,          released ? host_id("host-1") : host_id(),
                released,          stops_over};
    }
};

// Guards against tasks that run twice: the former owner was ended after it had
// ordered a stop, and its run goes on for the time that a stop takes.
TEST_CASE_FIXTURE(former_stops_fixture,
                  "former owner was ended, its run isn't listed, task starts "
                  "when the longest stop is over")
{
    take_over(make_former(false, false));
    CHECK(count_starts(settings_.stop_taken_micros_ - 100'000) == 0);
    CHECK(count_starts(150'000) == 1);
}

// Guards against a flag that is taken from an owner which may have ordered
// stops since it wrote its row.
TEST_CASE_FIXTURE(former_stops_fixture,
                  "former owner was ended, its row says that stops are over, "
                  "task waits all the same")
{
    take_over(make_former(false, true));
    CHECK(count_starts(settings_.stop_taken_micros_ - 100'000) == 0);
}

// Guards against tasks that run twice: the former owner had to release the
// shard before its stops were over, or is of a version that doesn't tell.
TEST_CASE_FIXTURE(former_stops_fixture,
                  "shard was released with open stops, task starts when the "
                  "longest stop is over")
{
    take_over(make_former(true, false));
    CHECK(count_starts(settings_.stop_taken_micros_ - 100'000) == 0);
    CHECK(count_starts(150'000) == 1);
}

// Guards against a needless gap after each planned hand-over.
TEST_CASE_FIXTURE(former_stops_fixture,
                  "shard was released without open stops, task starts at once")
{
    take_over(make_former(true, true));
    CHECK(count_starts(100'000) == 1);
}

// Guards against a needless gap in the work of callers.
TEST_CASE_FIXTURE(former_stops_fixture,
                  "former owner was ended, job is accepted, starts at once")
{
    take_over(make_former(false, false));
    count_starts(50'000);
    submit("aa02");
    run(50'000);
    auto const starts = take<send_start>();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].start_.run_.stage_.job_ == job_id("aa02"));
}

// Guards against tasks that run twice after two changes of owner: stops that
// the first owner ordered are in progress when the second one releases.
TEST_CASE_FIXTURE(former_stops_fixture,
                  "shard taken over and released at once, row says that stops "
                  "may be open")
{
    bool released = false;
    SUBCASE("the first owner was ended") {}
    SUBCASE("the first owner released the shard without open stops")
    {
        released = true;
    }
    take_over(make_former(released, released));
    count_starts(50'000);
    post(stop_requested{});
    run(100'000);
    owner_record const record = read_owner(rows_.at(row_).value_);
    REQUIRE(record.released_);
    CHECK(record.stops_over_ == released);
}

} // namespace
} // namespace fescuevane::cell
