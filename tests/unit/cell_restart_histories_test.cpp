// Purpose: random histories of jobs that were accepted just before all hosts
// lose power, while targets are replaced and shards change owners.
//
// Index of sections
//   1. Targets
//   2. Steps of a history
//   3. Jobs
//   4. Histories
#include "cell_offers_fixture.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <algorithm>
#include <array>
#include <cstdint>
#include <iterator>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::cell
{
namespace
{

// A task of a job, whichever shard runs it.
using task_index = std::pair<stage_key, std::uint32_t>;

struct restart_history : offers_fixture
{
    // After the first host is back. Lost targets are awaited for 12.4 s.
    static constexpr std::int64_t bound_ms = 30'000;

    struct submission
    {
        std::string   id_;
        std::string   host_;
        std::uint64_t call_ = 0;
    };

    std::vector<submission> submissions_;
    std::set<task_index>    acknowledged_; // as done
    std::set<job_id>        finite_;       // jobs without gangs
    std::string             violation_;    // last broken rule
    int                     added_ = 0;    // targets that replace others

    restart_history() { tick_micros_ = 50'000; }

    // 1. Targets

    static task_index task_of(run_key const& run)
    {
        return {run.stage_, run.index_};
    }

    // Done, and either stored or on a target that can report it.
    bool is_done(task_index const& task) const
    {
        return acknowledged_.contains(task) ||
               std::any_of(ended_.begin(), ended_.end(),
                           [&task](auto const& ends)
                           {
                               return std::any_of(
                                   ends.second.begin(), ends.second.end(),
                                   [&task](reported_end const& end)
                                   {
                                       return task_of(end.run_) == task &&
                                              end.end_ == run_end::done;
                                   });
                           });
    }

    bool is_running(task_index const& task) const
    {
        return std::any_of(running_.begin(), running_.end(),
                           [&task](auto const& runs)
                           {
                               return std::any_of(
                                   runs.second.begin(), runs.second.end(),
                                   [&task](reported_run const& run)
                                   {
                                       return task_of(run.run_) == task;
                                   });
                           });
    }

    hold_reply answer_hold(hold_target const& hold) override
    {
        std::vector<reported_end> const before = ended_[hold.target_];
        hold_reply reply = offers_fixture::answer_hold(hold);
        if (reply.outcome_ != target_outcome::unknown)
        {
            for (reported_end const& end : before)
            {
                if (end.number_ <= hold.forgotten_ && end.end_ == run_end::done)
                {
                    acknowledged_.insert(task_of(end.run_));
                }
            }
        }
        return reply;
    }

    order_reply answer_start(send_start const& start) override
    {
        task_index const task = task_of(start.start_.run_);
        if (is_running(task))
        {
            violation_ = "a second run at once: " + task.first.job_.str();
        }
        else if (finite_.contains(task.first.job_) && is_done(task))
        {
            violation_ = "a start after a done end: " + task.first.job_.str();
        }
        return offers_fixture::answer_start(start);
    }

    // The target is lost with its work and leaves the list; a new one joins.
    void replace(std::size_t index)
    {
        listed_target const        lost = targets_.at(index);
        std::vector<listed_target> rest;
        for (listed_target const& target : targets_)
        {
            if (target.id_ != lost.id_)
            {
                rest.push_back(target);
            }
        }
        targets_.swap(rest);
        unreachable_.insert(lost.id_);
        running_[lost.id_].clear();
        ended_[lost.id_].clear();
        post_all(target_unlisted{lost.id_});
        std::string const added = "t-new-" + std::to_string(added_++);
        for (auto& [job, targets] : allowed_)
        {
            if (targets.contains(lost.id_))
            {
                targets.insert(target_id(added));
            }
        }
        list_target(added, lost.rack_.str());
    }

    // 2. Steps of a history; each takes the index of a target

    void replace_target(std::size_t index) { replace(index); }

    void replace_rack(std::size_t index)
    {
        rack_id const rack = targets_.at(index).rack_;
        for (int count = 0; count < shard_targets; ++count)
        {
            auto const at = std::find_if(targets_.begin(), targets_.end(),
                                         [&rack](listed_target const& target)
                                         {
                                             return target.rack_ == rack;
                                         });
            replace(static_cast<std::size_t>(at - targets_.begin()));
        }
    }

    // Kills the host that the store names as the owner of the target's shard.
    void kill_owner(std::size_t index)
    {
        for (auto const& [address, host] : members_)
        {
            auto const shard = host.node_
                                   ? shard_of(*host.node_, targets_.at(index))
                                   : std::nullopt;
            if (shard)
            {
                kill(stored_owner(write_shard_name(*shard)).host_.str());
                return;
            }
        }
    }

    void start_hosts(std::size_t /*index*/)
    {
        for (auto const& [name, address] : addresses_)
        {
            if (!find(name).node_)
            {
                start(name);
            }
        }
    }

    void lose_messages(std::size_t /*index*/) { lost_every_ = 5; }

    void cut_power()
    {
        for (auto const& [name, address] : addresses_)
        {
            kill(name);
        }
    }

    // 3. Jobs

    void submit_job(std::string const& host, std::string const& id,
                    step_spec const& step)
    {
        if (!step.gang_)
        {
            finite_.insert(job_id(id));
        }
        submissions_.push_back({id, host, submit(host, id, {step})});
    }

    std::vector<submission> list_accepted()
    {
        std::vector<submission> accepted;
        std::copy_if(submissions_.begin(), submissions_.end(),
                     std::back_inserter(accepted),
                     [this](submission const& job)
                     {
                         auto const answer = find_answer(job.host_, job.call_);
                         return answer &&
                                answer->outcome_ == job_outcome::accepted;
                     });
        return accepted;
    }

    bool is_completed(submission const& job)
    {
        auto const call = ask("h-1", call_kind::lookup, job.id_);
        run(200'000);
        auto const answer = find_answer("h-1", call);
        return answer && answer->phase_ == job_phase::completed;
    }

    // Ends that targets still list although the store and they reply.
    std::size_t count_listed_ends()
    {
        constexpr std::int64_t bound_micros = 2 * micros_per_second;
        run(bound_micros);
        std::size_t listed = 0;
        for (auto const& [target, ends] : ended_)
        {
            listed += unreachable_.contains(target) ? 0 : ends.size();
        }
        return listed;
    }

    // Job that was accepted and isn't completed before the deadline; empty if
    // all are.
    std::string find_unended(std::int64_t deadline_ms)
    {
        std::vector<submission> rest = list_accepted();
        while (!rest.empty() && unix_ms_ < deadline_ms && violation_.empty())
        {
            run_work(500'000);
            std::erase_if(rest,
                          [this](submission const& job)
                          {
                              return is_completed(job);
                          });
        }
        return rest.empty() ? "" : rest.front().id_;
    }
};

using restart_step = void (restart_history::*)(std::size_t);

// Changes of owner are drawn twice as often.
constexpr std::array<restart_step, 6> steps = {
    &restart_history::replace_target, &restart_history::replace_rack,
    &restart_history::kill_owner,     &restart_history::start_hosts,
    &restart_history::lose_messages,  &restart_history::kill_owner};

// 4. Histories

// At least `from`, below `to`; doesn't depend on the size of the test case.
template <typename Number>
Number draw(Number from, Number to)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to));
}

std::size_t draw_target()
{
    return draw<std::size_t>(0, restart_history::shards *
                                    restart_history::shard_targets);
}

void submit_jobs(restart_history& history)
{
    int const jobs = draw(1, 7);
    for (int index = 0; index < jobs; ++index)
    {
        std::string const id = "aa0" + std::to_string(index);
        auto const        host =
            *rc::gen::element<std::string>("h-1", "h-2", "h-3", "h-4");
        bool const gang = draw(0, 5) == 0;
        // Every fourth job may run in one shard only.
        auto const shard = draw<std::uint32_t>(0, restart_history::shards * 4);
        if (!gang && shard < restart_history::shards)
        {
            std::vector<target_id> const all = history.list_targets(shard);
            history.allowed_[job_id(id)] = {all.begin(), all.end()};
        }
        // Tasks that fill a target don't fit in a shard all at once, so some
        // are delegated after about 2 s.
        history.submit_job(host, id,
                           {.count_ = draw<std::uint32_t>(1, 25),
                            .demand_ = {*rc::gen::element(1000, 4000), 512, 0},
                            .estimate_ms_ = restart_history::run_ms,
                            .gang_ = gang});
        history.run_work(draw(1, 4) * 100'000);
    }
    history.run_work(draw(0, 25) * 100'000);
}

void play_steps(restart_history& history)
{
    // Half of the steps concern one shard, which thus changes owners often.
    std::size_t const usual = draw_target();
    int const         length = draw(0, 9);
    for (int step = 0; step < length; ++step)
    {
        std::size_t const index =
            *rc::gen::arbitrary<bool>() ? usual : draw_target();
        (history.*(*rc::gen::elementOf(steps)))(index);
        history.run_work(draw(1, 15) * 100'000);
    }
}

// Guards against jobs that are kept waiting, or start twice, since a fact about
// them is lost when their shards change owners in quick succession, and against
// ends that are never taken note of.
TEST_CASE("random history after a restart, accepted jobs run once and end")
{
    CHECK(rc::check(
        []
        {
            restart_history history;
            submit_jobs(history);
            history.cut_power();
            history.run_work(draw(6, 15) * 100'000);
            std::int64_t const deadline_ms =
                history.unix_ms_ + restart_history::bound_ms;
            history.start_hosts(0);
            play_steps(history);
            history.lost_every_ = 0;
            history.start_hosts(0);
            std::string const unended = history.find_unended(deadline_ms);
            RC_ASSERT(history.violation_ == std::string());
            RC_ASSERT(unended == std::string());
            RC_ASSERT(history.invalid_tickets_ == 0);
            RC_ASSERT(history.count_listed_ends() == 0U);
        }));
}

} // namespace
} // namespace fescuevane::cell
