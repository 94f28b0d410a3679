// Purpose: tests of attempts whose ends are reported late.
#include "cell_pair_fixture.hpp"
#include "target_model.hpp"

#include <doctest/doctest.h>
#include <string>

namespace fescuevane::cell
{
namespace
{

// East has t-1, which the test cuts off. Attempts are limited to three.
struct attempts_fixture : cell_pair_fixture
{
    target_model          t1_;
    target_model          t2_; // once it is listed
    bool                  reached_ = true;
    bool                  west_takes_ = true;
    std::vector<run_key>  starts_; // sent to any target
    std::vector<job_call> moved_;
    std::vector<job_call> canceled_;

    void submit_step(bool copies)
    {
        post(call_opened{.call_ = ++last_call_,
                         .kind_ = call_kind::submit,
                         .id_ = job_id("aa01"),
                         .job_ = std::make_shared<staged_job const>(staged_job{
                             .id_ = job_id("aa01"),
                             .organisation_ = organisation_id("cafe"),
                             .queue_ = queue_id("orders"),
                             .service_ = service_id("desk"),
                             .payload_ = "work",
                             .steps_ = {{.count_ = 1,
                                         .demand_ = {1000, 512, 0},
                                         .estimate_ms_ = 1000,
                                         .speculative_ = copies}},
                             .accepted_unix_ms_ = unix_ms_}),
                         .deadline_ = now_.after(3 * micros_per_second)});
    }

    // West offers to run the tasks, accepts them, and lets them be canceled.
    void answer_west(call_peer const& call)
    {
        job_answer answer{.outcome_ = job_outcome::unavailable};
        switch (call.call_.kind_)
        {
        case call_kind::submit:
            moved_.push_back(call.call_);
            answer.outcome_ = job_outcome::accepted;
            break;
        case call_kind::cancel:
            canceled_.push_back(call.call_);
            answer.outcome_ = job_outcome::canceled;
            break;
        case call_kind::offer:
            answer = {.outcome_ = job_outcome::known, .fit_now_ = 1};
            break;
        case call_kind::lookup:
            break; // queried again
        }
        post(peer_replied{call.request_, answer});
    }

    attempts_fixture()
    {
        run_all(500'000);
    } // until the first orders are answered

    void run_all(std::int64_t micros)
    {
        constexpr std::int64_t step = 50'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            if (west_takes_)
            {
                report_west_load();
            }
            run(step);
            t1_.advance(unix_ms_);
            t2_.advance(unix_ms_);
            for (send_start const& start : take<send_start>())
            {
                starts_.push_back(start.start_.run_);
                bool const is_t1 = start.start_.target_ == target_id("t-1");
                bool const taken = (reached_ || !is_t1) &&
                                   (is_t1 ? t1_ : t2_).take(start, unix_ms_);
                post(order_reply{.request_ = start.request_,
                                 .outcome_ = taken ? target_outcome::done
                                                   : target_outcome::unknown});
            }
            for (hold_target const& hold : take<hold_target>())
            {
                bool const is_t1 = hold.target_ == target_id("t-1");
                reached_ || !is_t1
                    ? post((is_t1 ? t1_ : t2_).answer(hold, unix_ms_))
                    : fail_hold(hold);
            }
            for (call_peer const& call : take<call_peer>())
            {
                answer_west(call);
            }
        }
    }

    job_phase find_phase()
    {
        auto const call = ask(call_kind::lookup, "aa01");
        run_all(100'000);
        auto const answer = find_answer(call);
        return answer ? answer->phase_ : job_phase::pending;
    }

    // Fails the earlier runs until the task runs as number `last`.
    void fail_until(std::uint32_t last)
    {
        for (std::uint32_t run = 1; run < last; ++run)
        {
            t1_.end_all(run_end::failed);
            run_all(micros_per_second);
        }
        REQUIRE(starts_.size() == last);
        REQUIRE(t1_.running_.size() == 1);
    }
};

constexpr std::int64_t after_lapse = 7 * micros_per_second;
constexpr std::int64_t after_wait = 16 * micros_per_second;

// Guards against a start after the last attempt has failed: its end wasn't
// reported before the lapse, and a task that may have copies started again at
// the lapse.
TEST_CASE_FIXTURE(attempts_fixture,
                  "copies allowed, last end unreported, not started again")
{
    submit_step(true);
    run_all(500'000);
    fail_until(3);
    reached_ = false;
    t1_.end_all(run_end::failed);
    list_target("t-2");
    run_all(after_lapse);
    CHECK(starts_.size() == 3);
    CHECK(find_phase() == job_phase::running);
    reached_ = true;
    run_all(micros_per_second);
    CHECK(starts_.size() == 3);
    CHECK(find_phase() == job_phase::failed);
}

// Guards against a job that fails although its last attempt succeeded, and
// against an endless wait.
TEST_CASE_FIXTURE(attempts_fixture,
                  "copies allowed, last end unreported, settled by the report")
{
    submit_step(true);
    run_all(500'000);
    fail_until(3);
    reached_ = false;
    list_target("t-2");
    SUBCASE("done")
    {
        t1_.end_all(run_end::done);
        run_all(after_lapse);
        reached_ = true;
        run_all(micros_per_second);
        CHECK(starts_.size() == 3);
        CHECK(find_phase() == job_phase::completed);
    }
    SUBCASE("ended by its lease")
    {
        run_all(after_lapse);
        CHECK(starts_.size() == 3);
        reached_ = true;
        run_all(micros_per_second);
        CHECK(starts_.size() == 4);
    }
    SUBCASE("a new incarnation")
    {
        run_all(after_lapse);
        t1_.crash();
        reached_ = true;
        run_all(micros_per_second);
        CHECK(starts_.size() == 4);
    }
    SUBCASE("the target stays away, listed")
    {
        run_all(after_wait);
        CHECK(starts_.size() == 4);
    }
    SUBCASE("the target stays away, not listed")
    {
        post(target_unlisted{target_id("t-1")});
        run_all(after_wait);
        CHECK(starts_.size() == 4);
    }
}

// Guards against tasks with copies that wait for an unreported end while
// attempts are left (issue 17).
TEST_CASE_FIXTURE(attempts_fixture,
                  "copies allowed, attempts left, starts at the lapse")
{
    submit_step(true);
    run_all(500'000);
    reached_ = false;
    list_target("t-2");
    run_all(after_lapse);
    CHECK(starts_.size() >= 2);
}

// Guards against a fourth start in another shard: the failed end was reported
// after the task had been handed over with the old count.
TEST_CASE_FIXTURE(attempts_fixture,
                  "copies allowed, end unreported, not handed over before")
{
    submit_step(true);
    run_all(500'000);
    fail_until(2);
    reached_ = false;
    t1_.end_all(run_end::failed);
    run_all(after_lapse);
    CHECK(moved_.empty());
    reached_ = true;
    run_all(2 * micros_per_second);
    CHECK(moved_.empty());
    CHECK(starts_.size() == 3);
}

// The only target of east was cut off for longer than unreported ends are
// awaited, and the task was handed over.
struct late_end_report_fixture : attempts_fixture
{
    late_end_report_fixture()
    {
        submit_step(false);
        run_all(500'000);
        INFO("starts " << starts_.size() << ", moved " << moved_.size());
        REQUIRE(t1_.running_.size() == 1);
        reached_ = false;
    }

    void hand_over()
    {
        run_all(after_wait);
        REQUIRE(moved_.size() == 1);
        REQUIRE(canceled_.empty());
    }
};

// Guards against a task that runs again, and a job that goes on, after a
// successful end was reported: the report was dropped because the task had been
// handed over.
TEST_CASE_FIXTURE(
    late_end_report_fixture,
    "task handed over, its done end reported late, delegate canceled")
{
    t1_.end_all(run_end::done);
    hand_over();
    reached_ = true;
    run_all(micros_per_second);
    CHECK(find_phase() == job_phase::completed);
    REQUIRE(canceled_.size() == 1);
    CHECK(canceled_[0].id_ == moved_[0].id_);
}

// Guards against a delegate that the next owner doesn't cancel.
TEST_CASE_FIXTURE(
    late_end_report_fixture,
    "done end reported late, owner restarted, delegate still canceled")
{
    t1_.end_all(run_end::done);
    hand_over();
    west_takes_ = false; // stops responding
    reached_ = true;
    run_all(200'000);
    start(2);
    report_west_load();
    list_target("t-1");
    west_takes_ = true;
    run_all(5 * micros_per_second);
    CHECK(find_phase() == job_phase::completed);
    CHECK(!canceled_.empty());
}

// Guards against a failed end that is treated like a successful one: the
// delegate of the task must go on.
TEST_CASE_FIXTURE(late_end_report_fixture,
                  "task handed over, its failed end reported late, counted")
{
    t1_.end_all(run_end::failed);
    hand_over();
    reached_ = true;
    run_all(micros_per_second);
    CHECK(canceled_.empty());
    CHECK(find_phase() == job_phase::running);
}

} // namespace
} // namespace fescuevane::cell
