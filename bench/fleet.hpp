// Purpose: a scheduler over a model of targets that ends tasks after their run
// time and obeys stops and throttles.
#ifndef FESCUEVANE_BENCH_FLEET_HPP
#define FESCUEVANE_BENCH_FLEET_HPP

#include "bench/running_task.hpp"
#include "bench/tick_sample.hpp"
#include "bench/workload.hpp"
#include "decide/decide.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace fescuevane::bench
{

class fleet
{
public:
    fleet(fleet_size const& size, decide::settings const& values);

    instant now() const { return now_; }
    void    advance(std::int64_t micros) { now_ = now_.after(micros); }
    void    set_policy(std::vector<decide::team_policy> teams, bool in_service);
    void    submit(job_spec const& spec);
    tick_sample tick(); // ends what is due, runs a tick, obeys its commands

    // Of the last tick
    std::vector<decide::command> const& commands() const { return commands_; }

    // Of stopped tasks, also of checkpointed ones, in 1/1000 core us
    std::int64_t lost_work() const { return lost_work_; }

    resources                           used() const { return used_; }
    std::map<team_id, resources> const& team_used() const { return team_used_; }
    std::map<task_key, running_task> const& running() const { return running_; }
    decide::shard_load                      load() const;

private:
    void obey(decide::start_task const& value);
    void obey(decide::stop_task const& value);
    void obey(decide::throttle_task const& value);
    void obey(decide::job_changed const& value);
    void end_task(task_key const& task, outcome result, bool checkpointed);
    void end_due();

    decide::scheduler_ptr                  scheduler_;
    instant                                now_ = instant(micros_per_second);
    std::vector<decide::command>           commands_;
    std::map<task_key, running_task>       running_;
    std::set<std::pair<instant, task_key>> ends_;
    resources                              used_;
    std::int64_t                           lost_work_ = 0;
    std::map<team_id, resources>           team_used_;
};

} // namespace fescuevane::bench

#endif
