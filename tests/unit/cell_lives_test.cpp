// Purpose: tests of orders that reach another incarnation of a target than the
// one that they were sent to.
#include "cell_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

namespace fescuevane::cell
{
namespace
{

// A start of a task was sent to t-1; then t-2 has room, too.
struct incarnations_fixture : cell_fixture
{
    std::int64_t              born_ = 7; // of t-1
    std::int64_t              up_unix_ms_ = 0;
    bool                      reached_ = true;     // t-1
    bool                      takes_stops_ = true; // t-1
    bool                      silent_ = false;     // t-1 answers no holds
    std::vector<hold_target>  held_;               // without an answer
    std::vector<reported_run> running_;            // on t-1
    std::vector<reported_end> ends_;               // on t-1
    run_key                   run_;                // the first one
    send_start                first_;              // of `run_`
    std::vector<send_start>   starts_;             // the others
    std::vector<send_stop>    stops_;
    instant                   stopped_at_ = instant::never();

    incarnations_fixture() : first_(send_first())
    {
        run_ = first_.start_.run_;
        list_target("t-2");
        run_targets(100'000);
    }

    send_start send_first()
    {
        serve();
        submit("aa01");
        run(50'000);
        auto const starts = take<send_start>();
        REQUIRE(starts.size() == 1);
        return starts[0];
    }

    void lose(send_start const& start)
    {
        post(order_reply{.request_ = start.request_, .error_ = "no answer"});
    }

    void confirm(send_start const& start)
    {
        post(order_reply{.request_ = start.request_,
                         .outcome_ = target_outcome::done});
    }

    // t-1 comes back under its name without its earlier state.
    void restart()
    {
        ++born_;
        up_unix_ms_ = unix_ms_;
        running_.clear();
        ends_.clear();
        reached_ = true;
    }

    void answer(hold_target const& hold)
    {
        if (hold.target_ == target_id("t-2"))
        {
            answer_hold(hold);
        }
        else if (silent_)
        {
            held_.push_back(hold);
        }
        else if (!reached_)
        {
            fail_hold(hold);
        }
        else
        {
            post(hold_reply{.request_ = hold.request_,
                            .target_ = hold.target_,
                            .outcome_ = target_outcome::done,
                            .clock_ms_ = unix_ms_ - up_unix_ms_ + 1,
                            .born_unix_ms_ = born_,
                            .runs_ = running_,
                            .ends_ = ends_});
        }
    }

    void answer(send_stop const& stop)
    {
        stops_.push_back(stop);
        bool const taken = takes_stops_ && reached_;
        post(order_reply{.request_ = stop.request_,
                         .outcome_ = taken ? target_outcome::done
                                           : target_outcome::unknown});
        if (taken)
        {
            stopped_at_ = std::min(stopped_at_, now_);
        }
    }

    // Runs for `micros` while the targets answer; starts get no reply.
    void run_targets(std::int64_t micros)
    {
        constexpr std::int64_t step = 10'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            for (hold_target const& hold : take<hold_target>())
            {
                answer(hold);
            }
            for (send_stop const& stop : take<send_stop>())
            {
                answer(stop);
            }
            for (send_start const& start : take<send_start>())
            {
                starts_.push_back(start);
            }
            run(step);
        }
    }

    [[nodiscard]] bool stops_run() const
    {
        return std::any_of(stops_.begin(), stops_.end(),
                           [this](send_stop const& stop)
                           {
                               return stop.stop_.run_ == run_;
                           });
    }
};

// Guards against a second run of a task whose start was carried out late, by
// the next incarnation of its target: the task started elsewhere as soon as
// that incarnation replied.
TEST_CASE_FIXTURE(incarnations_fixture,
                  "start without an answer, target restarted, stopped first")
{
    takes_stops_ = false;
    SUBCASE("it got no answer")
    {
        lose(first_);
        run_targets(100'000);
    }
    SUBCASE("it is in flight") {}
    SUBCASE("it was repeated and confirmed")
    {
        lose(first_);
        run_targets(600'000);
        REQUIRE(starts_.size() == 1);
        REQUIRE(starts_[0].start_.run_ == run_);
        confirm(starts_[0]);
        starts_.clear();
        running_.push_back({run_, "", 1, 0});
        run_targets(500'000);
    }
    restart();
    run_targets(3 * micros_per_second);
    CHECK(starts_.empty());
    CHECK(stops_run());
    takes_stops_ = true;
    SUBCASE("it doesn't come any more")
    {
        run_targets(settings_.stop_taken_micros_ + 600'000);
        REQUIRE(starts_.size() == 1);
        CHECK(starts_[0].start_.run_.run_ > run_.run_);
    }
    SUBCASE("it comes before the stop")
    {
        running_.push_back({run_, "", 1, 0});
        run_targets(2 * micros_per_second);
        CHECK(starts_.empty());
        running_.clear();
        ends_.push_back({1, run_, run_end::stopped, ""});
        run_targets(100'000);
        REQUIRE(starts_.size() == 1);
        CHECK(starts_[0].start_.run_.run_ > run_.run_);
    }
}

// Guards against starts on a target that has just restarted: they went on while
// it answered none, and its next incarnation, of another kind, took them.
TEST_CASE_FIXTURE(incarnations_fixture,
                  "start without an answer, target asked, no other start until "
                  "it has replied")
{
    submit_steps(
        "aa02",
        {{.count_ = 30, .demand_ = {100, 100, 0}, .estimate_ms_ = 100}});
    run_targets(100'000);
    auto const count = [this]
    {
        return std::count_if(starts_.begin(), starts_.end(),
                             [](send_start const& start)
                             {
                                 return start.start_.target_ ==
                                        target_id("t-1");
                             });
    };
    auto const before = count();
    REQUIRE(before == settings_.orders_open_ - 1); // others wait for these
    silent_ = true;
    lose(first_);
    run_targets(300'000);
    CHECK(count() == before);
    CHECK_FALSE(held_.empty());
}

// Guards against a task that waits for a target that answers hold requests but
// no orders: after some time its late start can't arrive any more.
TEST_CASE_FIXTURE(incarnations_fixture,
                  "start without an answer, stops unanswered, starts elsewhere")
{
    lose(first_);
    run_targets(100'000);
    takes_stops_ = false;
    restart();
    run_targets(settings_.late_order_micros_ + micros_per_second);
    CHECK(starts_.size() == 1);
}

// Guards against a second run of a task whose start was carried out by the next
// incarnation of its target 12 s after it was sent: the task started elsewhere
// when that incarnation replied.
TEST_CASE_FIXTURE(incarnations_fixture,
                  "start without an answer, target restarted after 11.5 s, "
                  "stopped first")
{
    constexpr std::int64_t down_micros = 11'500'000;
    lose(first_);
    reached_ = false;
    run_targets(down_micros);
    REQUIRE(starts_.empty());
    takes_stops_ = false;
    restart();
    run_targets(300'000);
    CHECK(starts_.empty());
    CHECK(stops_run());
}

// Guards against work that waits although no order for it can reach the next
// incarnation.
TEST_CASE_FIXTURE(incarnations_fixture,
                  "start answered, target restarted, starts elsewhere at once")
{
    confirm(first_);
    running_.push_back({run_, "", 1, 0});
    run_targets(2 * micros_per_second);
    SUBCASE("it runs") {}
    SUBCASE("another start got no answer")
    {
        submit("aa02");
        run_targets(100'000);
        REQUIRE(starts_.size() == 1);
        lose(starts_[0]);
        starts_.clear();
    }
    takes_stops_ = false;
    restart();
    run_targets(100'000);
    REQUIRE(starts_.size() == 1);
    CHECK(starts_[0].start_.run_.stage_ == run_.stage_);
    CHECK(!stops_run());
}

// Guards against a task that runs again after it was done: the first attempt to
// send its start was carried out by the next incarnation of the target, which
// doesn't know of that end.
TEST_CASE_FIXTURE(incarnations_fixture,
                  "repeated start, run done, target restarted, rejected")
{
    lose(first_);
    run_targets(600'000);
    REQUIRE(starts_.size() == 1);
    confirm(starts_[0]);
    ends_.push_back({1, run_, run_end::done, ""});
    run_targets(500'000);
    restart();
    run_targets(500'000);
    CHECK(stops_run());
    CHECK(starts_.size() == 1);
}

// Guards against work that starts elsewhere while a late order has given a
// lease to the next incarnation of its target, which can't be reached any more.
TEST_CASE_FIXTURE(
    incarnations_fixture,
    "late start may hold a lease, target unresponsive, lapse awaited")
{
    lose(first_);
    run_targets(100'000);
    takes_stops_ = false;
    restart();
    run_targets(200'000);
    reached_ = false;
    run_targets(settings_.late_order_micros_);
    CHECK(starts_.empty());
    constexpr std::int64_t longest_micros = 30 * micros_per_second;
    run_targets(longest_micros);
    CHECK(starts_.size() == 1);
}

// Guards against a target that comes back after it was given up: its next
// incarnation wasn't told to reject starts that were still in flight.
TEST_CASE_FIXTURE(incarnations_fixture,
                  "start without an answer, target removed and back, rejected")
{
    lose(first_);
    run_targets(50'000);
    reached_ = false;
    list_target("t-1", true); // ends of a leaving target aren't awaited
    post(target_unlisted{target_id("t-1")});
    run_targets(8 * micros_per_second);
    REQUIRE(starts_.size() <= 1);
    restart();
    list_target("t-1");
    run_targets(500'000);
    CHECK(stops_run());
}

// Guards against work that starts elsewhere while a renewal for the earlier
// incarnation keeps the runs of the next one alive: it is far beyond the clock
// of the latter, so it grants the longest lease.
TEST_CASE_FIXTURE(
    incarnations_fixture,
    "renewal answered by next incarnation, target unresponsive, awaited")
{
    confirm(first_);
    running_.push_back({run_, "", 1, 0});
    run_targets(micros_per_second);
    post(target_unlisted{target_id("t-2")});
    bool answered = true;
    SUBCASE("the next incarnation answers it") {}
    SUBCASE("it gets no answer")
    {
        answered = false;
    }
    reached_ = answered;
    run_targets(300'000); // holds of an unresponsive target renew nothing
    restart();
    instant const up_at = now_;
    run_targets(200'000);
    REQUIRE(starts_.size() == 1);
    REQUIRE(starts_[0].start_.target_ == target_id("t-1"));
    confirm(starts_[0]);
    running_.push_back({starts_[0].start_.run_, "", 1, 0});
    starts_.clear();
    run_targets(200'000);
    reached_ = false;
    list_target("t-2");
    constexpr std::int64_t longest_micros = 60 * micros_per_second;
    while (starts_.empty() && up_at.after(longest_micros) > now_)
    {
        run_targets(100'000);
    }
    REQUIRE(starts_.size() == 1);
    CHECK(up_at.remaining_until(now_) >
          settings_.unreported_wait_micros_ +
              settings_.max_lease_ms_ * micros_per_milli);
}

// Guards against a second run of a task whose start was confirmed by the next
// incarnation after that had answered a hold request: the reply shows the
// incarnation without the run.
TEST_CASE_FIXTURE(incarnations_fixture,
                  "start confirmed by next incarnation, hold reply older, kept")
{
    auto const holds = take<hold_target>();
    auto const open = std::find_if(holds.begin(), holds.end(),
                                   [](hold_target const& hold)
                                   {
                                       return hold.target_ == target_id("t-1");
                                   });
    REQUIRE(open != holds.end());
    restart();
    confirm(first_);
    run(10'000);
    answer(*open); // state before the start
    running_.push_back({run_, "", 1, 0});
    SUBCASE("it runs there")
    {
        run_targets(2 * micros_per_second);
        CHECK(starts_.empty());
        CHECK(!stops_run());
    }
    SUBCASE("it ran in the earlier incarnation")
    {
        running_.clear();
        run_targets(2 * micros_per_second);
        CHECK(starts_.size() == 1);
    }
}

// Guards against a run that goes on beside another one: a start of a former
// owner was carried out before the next incarnation was queried, and the task
// had started elsewhere.
TEST_CASE_FIXTURE(incarnations_fixture,
                  "run of the next incarnation, task runs elsewhere, stopped")
{
    confirm(first_);
    running_.push_back({run_, "", 1, 0});
    run_targets(micros_per_second);
    restart();
    run_targets(200'000);
    REQUIRE(starts_.size() == 1);
    confirm(starts_[0]);
    running_.push_back({run_, "", 1, 0});
    run_targets(200'000);
    CHECK(stops_run());
    CHECK(starts_.size() == 1);
}

// Guards against a run that is waited for without end, and whose room is lost:
// it was stopped after its incarnation had ended, so no end of it is listed.
TEST_CASE_FIXTURE(incarnations_fixture,
                  "confirmed run stopped, never listed again, given up")
{
    post(target_unlisted{target_id("t-2")});
    confirm(first_);
    running_.push_back({run_, "", 1, 0});
    run_targets(2 * micros_per_second);
    ask(call_kind::cancel, "aa01");
    run_targets(20'000);
    running_.clear();
    run_targets(100'000);
    REQUIRE(stops_run());
    submit_steps("aa02", {{.demand_ = {4000, 512, 0}}});
    run_targets(settings_.stop_micros_);
    CHECK(starts_.empty()); // slow targets take long to stop a run
    run_targets(settings_.stop_end_micros_);
    CHECK_FALSE(starts_.empty());
}

} // namespace
} // namespace fescuevane::cell
