// Purpose: tests of steps that were partially known when all hosts lost power.
#include "cell_offers_fixture.hpp"

#include "cell/records.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescuevane::cell
{
namespace
{

// A step of single tasks ran in one shard. All ends but that of the last task
// were stored; the target of that task was cut off before it reported the end.
struct partially_known_fixture : offers_fixture
{
    static constexpr std::uint32_t width = 25;
    static constexpr std::uint32_t last = 17;
    // The lease of an unreachable target lapses after 4.4 s, and unreported
    // ends are awaited for 8 s more; then the policy service is queried.
    static constexpr std::int64_t after_wait = 16 * micros_per_second;

    std::vector<std::vector<target_id>> lists_;    // targets of each shard
    target_id                           lost_;     // target of the last task
    std::uint32_t                       home_ = 0; // its shard
    int starts_before_ = 0; // of the last task, before the power failed

    partially_known_fixture()
    {
        for (std::uint32_t shard = 0; shard < shards; ++shard)
        {
            lists_.push_back(list_targets(shard));
        }
    }

    // The policy service allows the step one target of another shard only.
    void allow_elsewhere()
    {
        allowed_[job_id("aa01")] = {lists_.at((home_ + 3) % shards).at(1)};
    }

    // Gives each shard one more target, which never responds.
    void list_unresponsive_targets()
    {
        for (std::uint32_t shard = 0; shard < shards; ++shard)
        {
            std::string const name = "t-silent-" + std::to_string(shard);
            unreachable_.insert(target_id(name));
            list_target(name, "r-" + std::to_string(shard));
        }
    }

    static bool is_last(run_key const& run) { return run.index_ == last; }

    // Ends the runs of the last task, or of all others.
    void end_tasks(bool of_last, run_end how)
    {
        for (auto& [target, runs] : running_)
        {
            std::vector<reported_run> rest;
            for (reported_run const& run : runs)
            {
                if (is_last(run.run_) != of_last)
                {
                    rest.push_back(run);
                    continue;
                }
                ended_[target].push_back({++ends_[target], run.run_, how, ""});
            }
            runs.swap(rest);
        }
    }

    target_id find_last() const
    {
        for (auto const& [target, runs] : running_)
        {
            if (std::any_of(runs.begin(), runs.end(),
                            [](reported_run const& run)
                            {
                                return is_last(run.run_);
                            }))
            {
                return target;
            }
        }
        return {};
    }

    std::uint32_t find_shard(target_id const& target) const
    {
        auto const found = std::find_if(
            lists_.begin(), lists_.end(),
            [&target](std::vector<target_id> const& all)
            {
                return std::find(all.begin(), all.end(), target) != all.end();
            });
        return static_cast<std::uint32_t>(found - lists_.begin());
    }

    // Runs until all tasks but the last are stored as done, then cuts the
    // power.
    void run_until_power_fails(run_end how, bool copies = false)
    {
        submit("h-1", "aa01",
               {{.count_ = width,
                 .demand_ = {500, 256, 0},
                 .estimate_ms_ = run_ms,
                 .speculative_ = copies}});
        run(3 * micros_per_second);
        REQUIRE(count_started("aa01") == width);
        end_tasks(false, run_end::done);
        run(2 * micros_per_second);
        lost_ = find_last();
        REQUIRE(lost_ != target_id());
        home_ = find_shard(lost_);
        unreachable_.insert(lost_);
        end_tasks(true, how);
        run(100'000);
        starts_before_ = count_last_starts();
        for (auto const& [name, address] : addresses_)
        {
            kill(name);
        }
    }

    void start_hosts(std::int64_t after_micros = 2 * micros_per_second)
    {
        run(after_micros);
        for (auto const& [name, address] : addresses_)
        {
            start(name);
        }
    }

    void start_hosts_but(std::string const& absent)
    {
        run(2 * micros_per_second);
        for (auto const& [name, address] : addresses_)
        {
            if (name != absent)
            {
                start(name);
            }
        }
    }

    // Host that the store names as the owner of the shard of the last task.
    std::string find_owner()
    {
        return stored_owner("east." + std::to_string(home_)).host_.str();
    }

    void unlist(target_id const& target)
    {
        std::vector<listed_target> rest;
        for (listed_target const& listed : targets_)
        {
            if (listed.id_ != target)
            {
                rest.push_back(listed);
            }
        }
        targets_.swap(rest);
        post_all(target_unlisted{target});
    }

    void crash(target_id const& target)
    {
        ++earlier_incarnations_[target];
        ends_[target] = 0;
        running_[target].clear();
        ended_[target].clear();
    }

    // Starts of the last task since the power failure.
    int count_last_starts() const
    {
        int starts = 0;
        for (auto const& [run, count] : starts_)
        {
            starts += is_last(run) ? count : 0;
        }
        return starts - starts_before_;
    }

    // The last task has started: checks that it ends once, and so does its job.
    void check_last_runs_once()
    {
        run_work(5 * micros_per_second);
        CHECK(count_last_starts() == 1);
        CHECK(is_over());
        run_work(after_wait);
        CHECK(count_last_starts() == 1);
    }

    void list_again(std::vector<listed_target> listed)
    {
        targets_.swap(listed);
        for (listed_target const& target : targets_)
        {
            post_all(target_listed{target});
        }
    }

    // Another target of the shard.
    target_id find_other() const
    {
        std::vector<target_id> const& all = lists_.at(home_);
        return all.front() == lost_ ? all.back() : all.front();
    }

    void lose_shard()
    {
        for (target_id const& target : lists_.at(home_))
        {
            unreachable_.insert(target);
            unlist(target);
        }
    }

    // Targets that the stored row of a shard names.
    std::set<target_id> list_named(shard_id const& shard) const
    {
        std::set<target_id> names;
        row_key const       key{"grant", "0", write_shard_name(shard)};
        for (auto const& [id, info] : read_grants(rows_.at(key).value_))
        {
            names.insert(id);
        }
        return names;
    }

    bool is_over()
    {
        auto const call = ask("h-2", call_kind::lookup, "aa01");
        run(5 * tick_micros_);
        auto const answer = find_answer("h-2", call);
        return answer && is_final(answer->phase_);
    }

    // Milliseconds until the last task starts again or its job ends; empty if
    // neither happens within the given time.
    std::optional<std::int64_t> find_restart_ms(std::int64_t micros)
    {
        constexpr std::int64_t step = 100'000;
        int const              before = count_last_starts();
        std::int64_t const     begin = unix_ms_;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            run_work(step);
            if (count_last_starts() > before || is_over())
            {
                return unix_ms_ - begin;
            }
        }
        return std::nullopt;
    }
};

// Bound for work that waits for no target.
constexpr std::int64_t at_once = 3 * micros_per_second;

// Guards against a task that never restarts after its target was removed.
TEST_CASE_FIXTURE(
    partially_known_fixture,
    "last end unreported, target removed, task starts once elsewhere")
{
    run_until_power_fails(run_end::failed);
    unlist(lost_);
    start_hosts();
    CHECK(find_restart_ms(after_wait));
    check_last_runs_once();
}

// Guards against the same while the store still lists the target.
TEST_CASE_FIXTURE(
    partially_known_fixture,
    "last end unreported, target listed, unresponsive, starts elsewhere")
{
    run_until_power_fails(run_end::lapsed);
    start_hosts();
    CHECK(find_restart_ms(after_wait));
    check_last_runs_once();
}

// Guards against a task that is kept for its own shard although the shard may
// run it on no other target.
TEST_CASE_FIXTURE(
    partially_known_fixture,
    "target removed, shard allowed no other, starts in another shard")
{
    run_until_power_fails(run_end::failed);
    unlist(lost_);
    allow_elsewhere();
    start_hosts();
    CHECK(find_restart_ms(after_wait));
    check_last_runs_once();
}

// Guards against the same for a task that may have copies: it doesn't wait for
// unreported ends in its own shard, but does before it is handed over.
TEST_CASE_FIXTURE(partially_known_fixture,
                  "task with copies, shard allowed no other, starts elsewhere")
{
    run_until_power_fails(run_end::failed, true);
    unlist(lost_);
    allow_elsewhere();
    start_hosts();
    CHECK(find_restart_ms(after_wait));
    check_last_runs_once();
}

// Guards against a wait for the ends of an earlier incarnation, which are lost.
TEST_CASE_FIXTURE(partially_known_fixture,
                  "target back with a second incarnation, task starts at once")
{
    run_until_power_fails(run_end::done);
    start_hosts();
    crash(lost_);
    unreachable_.clear();
    CHECK(find_restart_ms(at_once));
    check_last_runs_once();
}

// Guards against a successful task that starts again, and a job that never
// ends.
TEST_CASE_FIXTURE(partially_known_fixture,
                  "target cut off and back, done end is reported, job ends")
{
    run_until_power_fails(run_end::done);
    std::vector<listed_target> const listed = targets_;
    unlist(lost_);
    start_hosts();
    run_work(8 * micros_per_second);
    CHECK(count_last_starts() == 0);
    list_again(listed);
    unreachable_.clear();
    CHECK(find_restart_ms(at_once));
    CHECK(count_last_starts() == 0);
    CHECK(is_over());
}

// Guards against a failed attempt after which the task never restarts.
TEST_CASE_FIXTURE(
    partially_known_fixture,
    "target cut off and back, failed end is reported, task starts")
{
    run_until_power_fails(run_end::failed);
    std::vector<listed_target> const listed = targets_;
    unlist(lost_);
    start_hosts();
    run_work(8 * micros_per_second);
    CHECK(count_last_starts() == 0);
    list_again(listed);
    unreachable_.clear();
    CHECK(find_restart_ms(at_once));
    check_last_runs_once();
}

// Guards against work of a whole shard that waits for a target on which nothing
// was ever started: the former owner had named it in the row of leases.
TEST_CASE_FIXTURE(partially_known_fixture,
                  "other target never answered, task starts at once")
{
    list_unresponsive_targets();
    run_work(5 * micros_per_second);
    run_until_power_fails(run_end::failed);
    crash(lost_);
    unreachable_.erase(lost_);
    start_hosts();
    CHECK(find_restart_ms(at_once));
    check_last_runs_once();
}

// Guards against a wait that begins again with each owner although the former
// one had given the target up.
TEST_CASE_FIXTURE(partially_known_fixture,
                  "other target given up before, task starts at once")
{
    for (std::vector<target_id> const& targets : lists_)
    {
        unreachable_.insert(targets.back());
    }
    run_work(20 * micros_per_second);
    run_until_power_fails(run_end::failed);
    crash(lost_);
    unreachable_.erase(lost_);
    start_hosts();
    CHECK(find_restart_ms(at_once));
    check_last_runs_once();
}

// Guards against starts that the next owner can't know of: a target that was
// given up is back, and the stored row doesn't name it yet.
TEST_CASE_FIXTURE(partially_known_fixture,
                  "target given up and back, named before work starts on it")
{
    target_id const given_up = lists_.front().front();
    shard_id const  shard{domain_id("east"), 0};
    unreachable_.insert(given_up);
    run_work(20 * micros_per_second);
    REQUIRE_FALSE(list_named(shard).contains(given_up));
    allowed_[job_id("aa01")] = {given_up};
    submit("h-1", "aa01", {make_step(1, false)});
    run_work(micros_per_second);
    unreachable_.clear();
    constexpr std::int64_t step = 10'000;
    constexpr std::int64_t most = 10 * micros_per_second;
    for (std::int64_t passed = 0; passed < most && starts_.empty();
         passed += step)
    {
        run(step);
    }
    CHECK(starts_.size() == 1);
    CHECK(list_named(shard).contains(given_up));
}

// Guards against a task that never restarts while another target of its shard
// comes and goes.
TEST_CASE_FIXTURE(partially_known_fixture,
                  "other target flaps, task starts nevertheless")
{
    run_until_power_fails(run_end::failed);
    std::int64_t period = 0;
    SUBCASE("shorter than a silence")
    {
        period = 500'000;
    }
    SUBCASE("shorter than a lease")
    {
        period = 3 * micros_per_second;
    }
    SUBCASE("longer than a lease")
    {
        period = 6 * micros_per_second;
    }
    target_id const other = find_other();
    unlist(lost_);
    start_hosts();
    bool started = false;
    for (std::int64_t passed = 0; passed < after_wait && !started;
         passed += 2 * period)
    {
        unreachable_.insert(other);
        started = find_restart_ms(period).has_value();
        unreachable_.erase(other);
        started = started || find_restart_ms(period).has_value();
    }
    CHECK(started);
    check_last_runs_once();
}

// Guards against a task that is lost with the failure domain of its shard.
TEST_CASE_FIXTURE(partially_known_fixture,
                  "failure domain taken out and back, task starts")
{
    run_until_power_fails(run_end::failed);
    unlist(lost_);
    out_.insert(domain_id("east"));
    start_hosts();
    run_work(4 * micros_per_second);
    out_.clear();
    post_all(domain_withdrawn{domain_id("east"), false});
    CHECK(find_restart_ms(after_wait));
    check_last_runs_once();
}

// Guards against an endless wait when no target of the shard can be reached.
TEST_CASE_FIXTURE(partially_known_fixture,
                  "all targets of the shard lost, task starts in another shard")
{
    run_until_power_fails(run_end::failed);
    lose_shard();
    start_hosts();
    CHECK(find_restart_ms(after_wait));
    check_last_runs_once();
}

// Guards against the same when another host claims the shard: no target can
// show it that the former owner has stopped renewing leases.
TEST_CASE_FIXTURE(partially_known_fixture,
                  "all targets lost, owner's host back late, task starts")
{
    run_until_power_fails(run_end::failed);
    lose_shard();
    std::string const owner = find_owner();
    start_hosts_but(owner);
    run_work(6 * micros_per_second);
    REQUIRE(find_owner() != owner);
    start(owner);
    CHECK(find_restart_ms(after_wait));
    check_last_runs_once();
}

// Guards against the same when the host is back before the shard is claimed.
TEST_CASE_FIXTURE(partially_known_fixture,
                  "all targets lost, owner's host back and stopping, starts")
{
    run_until_power_fails(run_end::failed);
    lose_shard();
    std::string const owner = find_owner();
    start_hosts();
    post_event(*find(owner).node_, stop_requested{});
    CHECK(find_restart_ms(after_wait));
    check_last_runs_once();
}

// After the power failure, targets, hosts and the failure domain come and go.
struct partially_known_history_fixture : partially_known_fixture
{
    std::vector<listed_target> all_; // targets, as they were listed
    bool                       done_stored_ = false; // of the last task
    bool                       repeated_ = false;    // started after that

    partially_known_history_fixture() : all_(targets_)
    {
        tick_micros_ = 50'000;
    }

    bool lists_done(target_id const& target)
    {
        auto const& ends = ended_[target];
        return std::any_of(ends.begin(), ends.end(),
                           [](reported_end const& end)
                           {
                               return is_last(end.run_) &&
                                      end.end_ == run_end::done;
                           });
    }

    // A target discards an end once its effect is stored.
    hold_reply answer_hold(hold_target const& hold) override
    {
        bool const listed = lists_done(hold.target_);
        hold_reply reply = partially_known_fixture::answer_hold(hold);
        done_stored_ = done_stored_ || (listed && !lists_done(hold.target_));
        return reply;
    }

    order_reply answer_start(send_start const& start) override
    {
        repeated_ = repeated_ || (done_stored_ && is_last(start.start_.run_));
        return partially_known_fixture::answer_start(start);
    }

    // Steps of a history
    void cut_other() { unreachable_.insert(find_other()); }
    void reach_other() { unreachable_.erase(find_other()); }
    void lose_last() { unlist(lost_); }
    void list_last() { list_again(all_); }
    void reach_last() { unreachable_.erase(lost_); }
    void replace_last()
    {
        crash(lost_);
        unreachable_.erase(lost_);
    }
    void restart_hosts()
    {
        for (auto const& [name, address] : addresses_)
        {
            start(name);
        }
    }
    void withdraw()
    {
        out_.insert(domain_id("east"));
        post_all(domain_withdrawn{domain_id("east"), true});
    }
    void allow_other_shard() { allow_elsewhere(); }

    // Ends all faults; the target of the last task may be lost for good.
    void end_faults(bool target_lost)
    {
        out_.clear();
        post_all(domain_withdrawn{domain_id("east"), false});
        unreachable_.clear();
        list_again(all_);
        if (target_lost)
        {
            unreachable_.insert(lost_);
            unlist(lost_);
        }
    }

    bool ends_within(std::int64_t micros)
    {
        constexpr std::int64_t step = 500'000;
        for (std::int64_t passed = 0; passed < micros; passed += step)
        {
            run_work(step);
            if (is_over())
            {
                return true;
            }
        }
        return false;
    }
};

using partially_known_step = void (partially_known_history_fixture::*)();

constexpr std::array<partially_known_step, 9> partially_known_steps = {
    &partially_known_history_fixture::cut_other,
    &partially_known_history_fixture::reach_other,
    &partially_known_history_fixture::lose_last,
    &partially_known_history_fixture::list_last,
    &partially_known_history_fixture::reach_last,
    &partially_known_history_fixture::replace_last,
    &partially_known_history_fixture::withdraw,
    &partially_known_history_fixture::restart_hosts,
    &partially_known_history_fixture::allow_other_shard};

// Guards against last tasks that never restart, or start again after their end
// was stored, in orders of faults that no other test covers.
TEST_CASE("random history after a power failure, last task ends once")
{
    CHECK(rc::check(
        []
        {
            partially_known_history_fixture history;
            history.run_until_power_fails(*rc::gen::element(
                run_end::done, run_end::failed, run_end::lapsed));
            history.start_hosts();
            int const length = *rc::gen::inRange(0, 6);
            for (int step = 0; step < length; ++step)
            {
                (history.*(*rc::gen::elementOf(partially_known_steps)))();
                history.run_work(*rc::gen::inRange(1, 40) * 100'000);
            }
            history.end_faults(*rc::gen::arbitrary<bool>());
            // The wait for unreported ends, then a bound of 10 s.
            RC_ASSERT(history.ends_within(partially_known_fixture::after_wait +
                                          10 * micros_per_second));
            RC_ASSERT_FALSE(history.repeated_);
        }));
}

} // namespace
} // namespace fescuevane::cell
