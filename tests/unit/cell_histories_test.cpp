// Purpose: random histories of a task: changes of owner, unreachable or
// restarted targets, late orders and unreported ends.
#include "cell_fixture.hpp"
#include "target_model.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <array>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::cell
{
namespace
{

// Targets that are away longer count as lost (lease plus wait).
constexpr std::int64_t max_absence_micros = 10 * micros_per_second;
constexpr int          attempts = 3;

// Three missed heartbeats of a target.
constexpr std::int64_t unlisted_after = 4'500'000;

struct target_state
{
    target_model            model_;
    instant                 away_until_;
    instant                 unlisted_at_; // if it is unreachable then
    bool                    listed_ = true;
    std::vector<send_start> late_; // carried out once reachable again
};

struct history_fixture : cell_fixture
{
    std::map<target_id, target_state> targets_{{target_id("t-1"), {}},
                                               {target_id("t-2"), {}}};
    std::uint64_t                     incarnation_ = 1;
    // Ground truth, whether known to the owner or not
    bool        done_ = false;
    int         failed_ = 0;
    std::string violation_;      // last broken rule
    bool        checked_ = true; // checked against the ground truth

    explicit history_fixture(bool copies)
    {
        list_target("t-1");
        list_target("t-2");
        run_all(2 * micros_per_second);
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
        run_all(500'000);
    }

    void begin(target_state& target, send_start const& start)
    {
        if (target.model_.has(start.start_.run_) ||
            !target.model_.take(start, unix_ms_) || !checked_)
        {
            return;
        }
        if (done_)
        {
            violation_ = "a start after a done end";
        }
        else if (failed_ >= attempts)
        {
            violation_ = "a start after the last failed attempt";
        }
    }

    bool is_reachable(target_state const& target) const
    {
        return target.away_until_ <= now_;
    }

    // A target that is cut off is delisted and returns.
    void list_or_unlist(target_id const& id, target_state& target)
    {
        bool const listed = is_reachable(target) || target.unlisted_at_ > now_;
        if (listed && !target.listed_)
        {
            list_target(id.str());
        }
        else if (!listed && target.listed_)
        {
            post(target_unlisted{id});
        }
        target.listed_ = listed;
    }

    void serve_target(target_id const& id, target_state& target)
    {
        list_or_unlist(id, target);
        target.model_.advance(unix_ms_);
        if (is_reachable(target))
        {
            for (send_start const& start : std::exchange(target.late_, {}))
            {
                begin(target, start);
            }
        }
    }

    void answer_start(send_start const& start)
    {
        target_state& target = targets_.at(start.start_.target_);
        if (is_reachable(target))
        {
            begin(target, start);
            post(order_reply{.request_ = start.request_,
                             .outcome_ = target_outcome::done});
            return;
        }
        target.late_.push_back(start);
        post(order_reply{.request_ = start.request_,
                         .outcome_ = target_outcome::unknown});
    }

    void run_all(std::int64_t micros)
    {
        constexpr std::int64_t step = 50'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            advance(step);
            tick();
            for (auto& [id, target] : targets_)
            {
                serve_target(id, target);
            }
            for (send_start const& start : take<send_start>())
            {
                answer_start(start);
            }
            for (send_stop const& stop : take<send_stop>())
            {
                stop_run(stop);
            }
            for (hold_target const& hold : take<hold_target>())
            {
                target_state& target = targets_.at(hold.target_);
                is_reachable(target)
                    ? post(target.model_.answer(hold, unix_ms_))
                    : fail_hold(hold);
            }
        }
    }

    void stop_run(send_stop const& stop)
    {
        target_state& target = targets_.at(stop.stop_.target_);
        if (is_reachable(target) && target.model_.has(stop.stop_.run_))
        {
            target.model_.end(stop.stop_.run_, run_end::stopped);
        }
        post(order_reply{.request_ = stop.request_,
                         .outcome_ = is_reachable(target)
                                         ? target_outcome::done
                                         : target_outcome::unknown});
    }

    void end_runs(run_end how)
    {
        for (auto& [id, target] : targets_)
        {
            std::size_t const ended = target.model_.running_.size();
            target.model_.end_all(how);
            done_ = done_ || (how == run_end::done && ended > 0);
            failed_ += how == run_end::failed ? static_cast<int>(ended) : 0;
        }
    }

    // Steps of a history; `target` is one of the two.
    void fail_runs(target_id const& /*target*/) { end_runs(run_end::failed); }
    void finish_runs(target_id const& /*target*/) { end_runs(run_end::done); }
    // Absences in quick succession would count as one long absence.
    void cut_for(target_id const& target, std::int64_t micros)
    {
        target_state& state = targets_.at(target);
        if (state.away_until_.after(2 * micros_per_second) <= now_)
        {
            state.away_until_ = now_.after(micros);
            state.unlisted_at_ = now_.after(unlisted_after);
        }
    }
    void cut(target_id const& target) { cut_for(target, max_absence_micros); }
    void cut_briefly(target_id const& target)
    {
        cut_for(target, max_absence_micros / 2);
    }
    void restart_owner(target_id const& /*target*/)
    {
        start(++incarnation_);
        for (auto const& [id, target] : targets_)
        {
            if (target.listed_)
            {
                list_target(id.str());
            }
        }
    }

    // The ends of the earlier incarnation are lost.
    void crash(target_id const& target)
    {
        target_state& state = targets_.at(target);
        state.model_.crash();
        state.late_.clear();
    }

    std::optional<job_phase> find_phase()
    {
        auto const call = ask(call_kind::lookup, "aa01");
        run_all(500'000);
        auto const answer = find_answer(call);
        return answer ? std::optional(answer->phase_) : std::nullopt;
    }

    // All targets return; what starts now ends as done.
    bool ends_in_time()
    {
        for (auto& [id, target] : targets_)
        {
            target.away_until_ = now_;
        }
        constexpr int seconds = 30;
        for (int second = 0; second < seconds && violation_.empty(); ++second)
        {
            run_all(micros_per_second);
            end_runs(run_end::done);
            auto const phase = find_phase();
            if (phase && is_final(*phase))
            {
                return true;
            }
        }
        return false;
    }
};

using history_step = void (history_fixture::*)(target_id const&);

constexpr std::array<history_step, 6> steps = {
    &history_fixture::fail_runs,     &history_fixture::finish_runs,
    &history_fixture::cut,           &history_fixture::cut_briefly,
    &history_fixture::restart_owner, &history_fixture::crash};

// Generates a history of the steps in `allowed`.
void play(history_fixture& history, std::vector<history_step> const& allowed)
{
    int const length = *rc::gen::inRange(1, 12);
    for (int step = 0; step < length && history.violation_.empty(); ++step)
    {
        auto const      kind = *rc::gen::elementOf(allowed);
        target_id const target(*rc::gen::element<std::string>("t-1", "t-2"));
        (history.*kind)(target);
        history.run_all(*rc::gen::inRange(1, 40) * 100'000);
    }
}

// Guards against runs after a done end, or after the last failed attempt, that
// an owner, or its process before a restart, hadn't read; and against tasks
// that never end.
TEST_CASE("random history, one result, no start too many and all end")
{
    CHECK(rc::check(
        []
        {
            history_fixture           history(false);
            std::vector<history_step> allowed(steps.begin(), steps.end());
            // An end that is lost with an incarnation doesn't count.
            std::erase(allowed, &history_fixture::crash);
            play(history, allowed);
            RC_ASSERT(history.violation_.empty());
            RC_ASSERT(history.ends_in_time());
            RC_ASSERT(history.violation_.empty());
        }));
}

// Guards against tasks that never end when a target returns as a new
// incarnation.
TEST_CASE("random history with second lives, all tasks end")
{
    CHECK(rc::check(
        []
        {
            history_fixture history(*rc::gen::arbitrary<bool>());
            history.checked_ = false; // lost ends, and copies, may run again
            play(history, {steps.begin(), steps.end()});
            RC_ASSERT(history.ends_in_time());
        }));
}

} // namespace
} // namespace fescuevane::cell
