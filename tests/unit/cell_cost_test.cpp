// Purpose: tests of the cost of a tick: it visits only rows that have changed
// or are due.
#include "cell_fixture.hpp"
#include "recording_observer.hpp"

#include <doctest/doctest.h>

namespace fescuevane::cell
{
namespace
{

struct cost_fixture : cell_fixture
{
    recording_observer        recorded_;
    std::vector<reported_run> runs_; // on the target
    std::vector<reported_end> ends_; // not acknowledged yet
    std::uint64_t             last_end_ = 0;

    cost_fixture() { observer_ = &recorded_; }

    // Advances the time; the target ends each task immediately.
    void run_cell(std::int64_t micros)
    {
        constexpr std::int64_t step = 50'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            run(step);
            for (send_start const& start : take<send_start>())
            {
                post(order_reply{.request_ = start.request_,
                                 .outcome_ = target_outcome::done});
                ends_.push_back(
                    {.number_ = ++last_end_, .run_ = start.start_.run_});
            }
            for (hold_target const& hold : take<hold_target>())
            {
                std::vector<reported_end> left;
                for (reported_end const& end : ends_)
                {
                    if (end.number_ > hold.forgotten_)
                    {
                        left.push_back(end);
                    }
                }
                ends_.swap(left);
                answer_hold(hold, runs_, ends_);
            }
        }
    }

    // Submits jobs and runs until they have ended.
    void end_jobs(int count)
    {
        for (int index = 0; index < count; ++index)
        {
            submit("job" + std::to_string(index));
        }
        run_cell(20 * micros_per_second);
        std::size_t ended = 0;
        for (log_line const& line : take<log_line>())
        {
            ended += line.event_ == "job_ended" ? 1 : 0;
        }
        REQUIRE(ended == static_cast<std::size_t>(count));
    }

    static listed_target make_other(std::string const& name)
    {
        return {.id_ = target_id(name),
                .address_ = "127.0.0.1:8000",
                .domain_ = domain_id("west"),
                .service_ = service_id("desk"),
                .capacity_ = {4000, 8192, 0}};
    }

    std::uint64_t count_tick_visits(std::string const& system)
    {
        recorded_.visited_.clear();
        tick();
        return recorded_.visited_[system];
    }

    std::uint64_t count_visits(std::string const& system, std::int64_t micros)
    {
        recorded_.visited_.clear();
        run_cell(micros);
        return recorded_.visited_[system];
    }
};

// Guards against a tick cost that grows with the number of kept results: with
// 10,000 of them the journal took 110 us a tick.
TEST_CASE_FIXTURE(cost_fixture,
                  "kept records, neither changed nor due, skipped")
{
    serve();
    end_jobs(100);
    CHECK(count_visits("write_journal", micros_per_second) == 0);
}

// Guards against results that are never removed: only their index refers to
// them.
TEST_CASE_FIXTURE(cost_fixture, "kept records, due, removed from the store")
{
    serve();
    end_jobs(20);
    auto const count_jobs = [this]
    {
        return std::count_if(rows_.begin(), rows_.end(),
                             [](auto const& row)
                             {
                                 return row.first.table_ == "job";
                             });
    };
    CHECK(count_jobs() == 20);
    advance(settings_.result_keep_micros_);
    run_cell(2 * micros_per_second);
    CHECK(count_jobs() == 0);
}

// Guards against a call of another host that never gets a reply because its job
// is never stored.
TEST_CASE_FIXTURE(cost_fixture, "waiting calls, at their deadlines, answered")
{
    serve();
    store_delayed_ = true;
    auto const call = [this](std::uint64_t id, std::int64_t micros)
    {
        post(peer_called{id,
                         {.kind_ = call_kind::submit,
                          .id_ = job_id("a1"),
                          .shard_ = {domain_id("east"), 0},
                          .job_ = std::make_shared<staged_job const>(
                              staged_job{.id_ = job_id("a1"),
                                         .queue_ = queue_id("orders"),
                                         .service_ = service_id("desk"),
                                         .steps_ = {{.count_ = 1}},
                                         .accepted_unix_ms_ = unix_ms_}),
                          .deadline_ = now_.after(micros)}});
    };
    call(1, 2 * micros_per_second);
    call(2, micros_per_second);
    run(1'100'000);
    std::vector<reply_peer> const early = take<reply_peer>();
    REQUIRE(early.size() == 1);
    CHECK(early.front().call_ == 2);
    CHECK(early.front().answer_.outcome_ == job_outcome::uncertain);
    run(micros_per_second);
    std::vector<reply_peer> const late = take<reply_peer>();
    REQUIRE(late.size() == 1);
    CHECK(late.front().call_ == 1);
}

// Guards against a tick cost that grows with the number of waiting calls: 600
// of them took a third of the system's time.
TEST_CASE_FIXTURE(cost_fixture, "open calls, asked elsewhere, aren't visited")
{
    serve();
    reads_lost_ = true;
    for (int index = 0; index < 30; ++index)
    {
        ask(call_kind::lookup, "b" + std::to_string(index)); // reads the store
    }
    run(200'000);
    CHECK(recorded_.visited_["route_calls"] >= 30);
    recorded_.visited_.clear();
    run(micros_per_second);
    CHECK(recorded_.visited_["route_calls"] == 0);
}

// Guards against a call that waits past its deadline without a peer's reply.
TEST_CASE_FIXTURE(cost_fixture, "open calls, at their deadlines, answered")
{
    serve();
    reads_lost_ = true;
    std::uint64_t const call = ask(call_kind::lookup, "b1");
    instant const       deadline =
        now_.after(3 * micros_per_second - settings_.answer_margin_micros_);
    run(2'700'000);
    CHECK_FALSE(find_answer(call).has_value());
    CHECK(next_deadline(*node_) <= deadline);
    run(200'000);
    CHECK(find_answer(call).has_value());
}

// A cell of two failure domains; this node owns one of them.
struct foreign_targets_fixture : cost_fixture
{
    foreign_targets_fixture()
    {
        settings_.domains_ = {domain_id("east"), domain_id("west")};
        start(2);
    }
};

// Guards against ticks that visit targets of other shards.
TEST_CASE_FIXTURE(foreign_targets_fixture, "sessions, of other shards, skipped")
{
    serve();
    for (int index = 0; index < 100; ++index)
    {
        post(target_listed{make_other("w-" + std::to_string(index))});
    }
    run(100'000);
    CHECK(count_tick_visits("keep_sessions") == 1);
}

// Guards against targets of other shards that were delisted and are never
// removed, or are visited in each tick once they return.
TEST_CASE_FIXTURE(foreign_targets_fixture,
                  "sessions, unlisted, forgotten after a while")
{
    serve();
    post(target_listed{make_other("w-1")});
    post(target_listed{make_other("w-2")});
    post(target_unlisted{target_id("w-1")});
    post(target_unlisted{target_id("w-2")});
    tick();
    CHECK(count_tick_visits("keep_sessions") == 3);
    post(target_listed{make_other("w-2")});
    CHECK(count_tick_visits("keep_sessions") == 2);
    advance(settings_.unlisted_keep_micros_);
    tick();
    CHECK(count_tick_visits("keep_sessions") == 1);
}

} // namespace
} // namespace fescuevane::cell
