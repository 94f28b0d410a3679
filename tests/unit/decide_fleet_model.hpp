// Purpose: a fleet of targets that carries out commands, for random tests of
// the scheduler, and the invariants that it checks.
#ifndef FESCUEVANE_TESTS_UNIT_DECIDE_FLEET_MODEL_HPP
#define FESCUEVANE_TESTS_UNIT_DECIDE_FLEET_MODEL_HPP

#include "core/core.hpp"
#include "decide/decide.hpp"
#include "decide/scheduler.hpp"

#include <rapidcheck.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::decide
{

// One random step: what happens and a number that picks the details.
using fleet_step = std::pair<std::uint8_t, std::uint32_t>;

class fleet_model
{
public:
    fleet_model() { set_policy(3, true); }

    void take_step(fleet_step const& step)
    {
        using action = void (fleet_model::*)(std::uint32_t);
        static constexpr action actions[] = {
            &fleet_model::submit,        &fleet_model::submit,
            &fleet_model::submit,        &fleet_model::join,
            &fleet_model::join,          &fleet_model::start,
            &fleet_model::start,         &fleet_model::end,
            &fleet_model::end,           &fleet_model::end,
            &fleet_model::reject,        &fleet_model::lose,
            &fleet_model::leave,         &fleet_model::unreach,
            &fleet_model::cancel,        &fleet_model::repeat_event,
            &fleet_model::report,        &fleet_model::change_policy,
            &fleet_model::submit_unseen, &fleet_model::let_time_go};
        (this->*actions[step.first % std::size(actions)])(step.second);
        if (step.second % 3 != 0)
        {
            tick();
        }
    }

    // Cancels everything and lets all tasks end: every job must be final and
    // every amount returned.
    void wind_down()
    {
        set_policy(3, true);
        std::vector<job_key> all(submitted_.begin(), submitted_.end());
        post(jobs_canceled{all});
        for (int round = 0; round < 8; ++round)
        {
            tick();
            while (!running_.empty())
            {
                auto const [task, target] = *running_.begin();
                running_.erase(running_.begin());
                post(task_ended{.task_ = task,
                                .target_ = target,
                                .outcome_ = outcome::canceled});
            }
            now_ = now_.after(70 * micros_per_second);
        }
        tick();
        check_empty();
    }

    // Every command of the run, in order.
    std::vector<command> const& history() const { return history_; }

    // Tasks that were started at least once.
    std::size_t count_starts() const { return starts_.size(); }

private:
    static std::string name_of(std::uint32_t pick, std::uint32_t count)
    {
        return std::to_string(pick % count);
    }

    void post(event const& input)
    {
        sent_.push_back(input);
        post_event(*scheduler_, input);
    }

    void set_policy(std::uint32_t pick, bool in_service)
    {
        std::int64_t const part = 2 + pick % 8;
        post(policy_set{{{.team_ = team_id("0"),
                          .share_ = 2,
                          .allotment_ = resources(4000, 4000, 4) * part},
                         {.team_ = team_id("1")}},
                        in_service});
    }

    void change_policy(std::uint32_t pick) { set_policy(pick, pick % 4 != 0); }

    void submit(std::uint32_t pick)
    {
        job_key const key{team_id(name_of(pick, 2)),
                          job_id(std::to_string(next_job_++))};
        auto const    kind = static_cast<work_kind>(pick / 2 % 4);
        bool const    single = kind == work_kind::request;
        submitted_.insert(key);
        specs_.emplace(
            key, job_spec{.key_ = key,
                          .service_ = service_id(name_of(pick, 3)),
                          .kind_ = kind,
                          .task_count_ = single ? 1 : 1 + pick / 8 % 5,
                          .demand_ = {500 + pick % 7 * 300, 256, pick % 2},
                          .idempotent_ = pick % 5 != 0,
                          .start_deadline_ = pick % 3 == 0
                                                 ? now_.after(micros_per_second)
                                                 : instant::never()});
        post(job_submitted{specs_.at(key), pick % 6 == 0});
    }

    void join(std::uint32_t pick)
    {
        target_id const target(name_of(pick, 8));
        post(target_joined{target, rack_id(name_of(pick, 3)), capacity_,
                           slots_});
        for (task_key const& task : std::exchange(unseen_[target], {}))
        {
            job_spec const& spec = specs_.at(task.job_);
            post(task_recovered{spec, task, target, spec.demand_});
            running_.emplace(task, target);
            started_.insert(task); // it runs, so a start can't be rejected
        }
    }

    // An earlier owner has started a request at a target that this one has not
    // reached yet.
    void add_unseen(target_id const& target, std::uint32_t pick)
    {
        job_key const key{team_id(name_of(pick, 2)),
                          job_id(std::to_string(next_job_++))};
        specs_.emplace(key, job_spec{.key_ = key,
                                     .service_ = service_id("0"),
                                     .demand_ = {1000, 256, 0},
                                     .idempotent_ = pick % 2 == 0});
        unseen_[target].push_back({key, 0, 1});
        ran_unseen_.insert(key);
        starts_[{key, 0}] = 1;
    }

    // Its caller asks again after the change of owner.
    void submit_unseen(std::uint32_t pick)
    {
        if (ran_unseen_.empty())
        {
            return;
        }
        job_key const key =
            *std::next(ran_unseen_.begin(), pick % ran_unseen_.size());
        if (!finals_.contains(key))
        {
            submitted_.insert(key);
            post(job_submitted{specs_.at(key), true, true});
        }
    }

    std::optional<std::pair<task_key, target_id>>
    pick_running(std::uint32_t pick) const
    {
        if (running_.empty())
        {
            return std::nullopt;
        }
        return *std::next(running_.begin(), pick % running_.size());
    }

    void start(std::uint32_t pick)
    {
        if (auto const found = pick_running(pick))
        {
            started_.insert(found->first);
            post(task_started{found->first, found->second});
        }
    }

    void end(std::uint32_t pick)
    {
        if (auto const found = pick_running(pick))
        {
            running_.erase(found->first);
            post(task_ended{.task_ = found->first,
                            .target_ = found->second,
                            .outcome_ = static_cast<outcome>(pick % 3)});
        }
    }

    void reject(std::uint32_t pick)
    {
        auto const found = pick_running(pick);
        if (found && !started_.contains(found->first))
        {
            running_.erase(found->first);
            post(task_rejected{found->first, found->second, "rejected"});
        }
    }

    void lose(std::uint32_t pick)
    {
        target_id const target(name_of(pick, 8));
        std::erase_if(running_,
                      [&target](auto const& task)
                      {
                          return task.second == target;
                      });
        unseen_.erase(target);
        post(target_lost{target});
    }

    void leave(std::uint32_t pick)
    {
        post(target_leaving{target_id(name_of(pick, 6))});
    }

    void unreach(std::uint32_t pick)
    {
        tick(); // applies joins first, so that what is known is certain
        target_id const target(name_of(pick, 8));
        bool const      known = scheduler_->targets_.index_.contains(target);
        if (!known && unseen_[target].empty())
        {
            add_unseen(target, pick);
        }
        post(target_unreached{target, capacity_,
                              now_.after(5 * micros_per_second)});
    }

    void cancel(std::uint32_t pick)
    {
        if (!submitted_.empty())
        {
            post(jobs_canceled{
                {*std::next(submitted_.begin(), pick % submitted_.size())}});
        }
    }

    // A late copy of what tasks reported before.
    void repeat_event(std::uint32_t pick)
    {
        if (sent_.empty())
        {
            return;
        }
        event const copy = sent_[pick % sent_.size()];
        bool const  of_task = std::holds_alternative<task_started>(copy) ||
                             std::holds_alternative<task_ended>(copy) ||
                             std::holds_alternative<task_rejected>(copy);
        if (of_task)
        {
            post_event(*scheduler_, copy);
        }
    }

    void report(std::uint32_t pick)
    {
        if (auto const found = pick_running(pick))
        {
            post(usage_reported{found->first, {pick % 4000, pick % 3000, 0}});
        }
    }

    void let_time_go(std::uint32_t pick)
    {
        now_ = now_.after(static_cast<std::int64_t>(pick % 3000) *
                          micros_per_milli);
    }

    void tick()
    {
        commands_.clear();
        run_tick(*scheduler_, now_, commands_);
        for (command const& each : commands_)
        {
            history_.push_back(each);
        }
        drop_lapsed();
        gang_starts_.clear();
        started_teams_.clear();
        for (command const& each : commands_)
        {
            std::visit(
                [this](auto const& value)
                {
                    carry_out(value);
                },
                each);
        }
        check_tick();
    }

    // What ran on a target whose leases have lapsed has ended.
    void drop_lapsed()
    {
        std::erase_if(unseen_,
                      [this](auto const& target)
                      {
                          return !scheduler_->targets_.index_.contains(
                              target.first);
                      });
        std::erase_if(running_,
                      [this](auto const& task)
                      {
                          return !scheduler_->targets_.index_.contains(
                              task.second);
                      });
    }

    void carry_out(start_task const& value)
    {
        task_key const& key = value.task_;
        for (auto const& [target, tasks] : unseen_)
        {
            for (task_key const& task : tasks)
            {
                RC_ASSERT(task.job_ != key.job_);
            }
        }
        for (auto const& [task, target] : running_)
        {
            RC_ASSERT(!(task.job_ == key.job_ && task.index_ == key.index_));
        }
        int& starts = starts_[{key.job_, key.index_}];
        ++starts;
        RC_ASSERT(value.spec_->idempotent_ || starts == 1);
        running_.emplace(key, value.target_);
        started_teams_.insert(key.job_.team_);
        if (value.spec_->kind_ == work_kind::gang)
        {
            ++gang_starts_[key.job_];
        }
    }

    void carry_out(stop_task const& /*value*/) {}
    void carry_out(throttle_task const& /*value*/) {}

    void carry_out(job_changed const& value)
    {
        if (is_final(value.result_.state_))
        {
            // A repeated submission is told the same final state again.
            auto const& result = value.result_;
            auto const  first =
                finals_.emplace(result.key_, result.state_).first;
            RC_ASSERT(first->second == result.state_);
            RC_ASSERT(!tells_once(result.key_) ||
                      ++finals_told_[result.key_] == 1);
            RC_ASSERT(value.result_.state_ != job_state::not_run ||
                      !ran_unseen_.contains(value.result_.key_));
        }
    }

    // Only work of an earlier owner is submitted more than once.
    bool tells_once(job_key const& job) const
    {
        return !ran_unseen_.contains(job);
    }

    void check_tick() const
    {
        for (auto const& [job, starts] : gang_starts_)
        {
            RC_ASSERT(starts == static_cast<int>(specs_.at(job).task_count_));
        }
        target_table const& targets = scheduler_->targets_;
        for (std::size_t row = 0; row < targets.index_.size(); ++row)
        {
            RC_ASSERT(!targets.free_[row].has_negative());
            RC_ASSERT(targets.free_slots_[row] >= 0);
        }
        check_targets_agree();
        check_allotments();
    }

    // The scheduler and the fleet agree about what is where.
    void check_targets_agree() const
    {
        std::size_t at_targets = 0;
        for (auto const& tasks : scheduler_->targets_.tasks_)
        {
            at_targets += tasks.size();
        }
        RC_ASSERT(at_targets == running_.size());
    }

    void check_allotments() const
    {
        team_table const& teams = scheduler_->teams_;
        for (std::size_t row = 0; row < teams.index_.size(); ++row)
        {
            auto const& allotment = teams.allotment_[row];
            bool const started = started_teams_.contains(teams.index_.key(row));
            RC_ASSERT(!allotment || !started ||
                      (teams.used_[row] + scheduler_->targets_.total_charged_)
                          .fits_in(*allotment));
        }
    }

    void check_empty() const
    {
        for (job_key const& job : submitted_)
        {
            RC_ASSERT(finals_.contains(job));
        }
        RC_ASSERT(scheduler_->tasks_.index_.size() == 0);
        RC_ASSERT(scheduler_->queued_tasks_ == 0);
        RC_ASSERT(scheduler_->targets_.total_used_.is_zero());
        team_table const& teams = scheduler_->teams_;
        for (std::size_t row = 0; row < teams.index_.size(); ++row)
        {
            RC_ASSERT(teams.used_[row].is_zero());
            RC_ASSERT(teams.stopping_[row].is_zero());
            RC_ASSERT(teams.waiting_[row].is_zero());
            RC_ASSERT(teams.running_count_[row] == 0);
        }
    }

    static constexpr resources     capacity_ = {8000, 16384, 8};
    static constexpr std::uint32_t slots_ = 5;

    scheduler_ptr                 scheduler_ = make_scheduler(settings());
    instant                       now_ = instant(micros_per_second);
    std::vector<command>          commands_;
    std::vector<command>          history_;
    std::vector<event>            sent_;
    std::uint32_t                 next_job_ = 0;
    std::set<job_key>             submitted_;
    std::map<job_key, job_state>  finals_;
    std::map<job_key, int>        finals_told_;
    std::map<job_key, job_spec>   specs_;
    std::map<task_key, target_id> running_; // at targets, not ended
    std::set<task_key>            started_;
    std::map<target_id, std::vector<task_key>> unseen_; // not reached yet
    std::set<job_key>                          ran_unseen_;
    std::map<job_key, int>                     gang_starts_;   // of this tick
    std::set<team_id>                          started_teams_; // in this tick
    std::map<std::pair<job_key, std::uint32_t>, int> starts_;
};

} // namespace fescuevane::decide

#endif
