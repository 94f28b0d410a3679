// Purpose: the shards of a cell over a model of targets, callers and policy
// service. All hosts stop for a moment: questions in flight are lost and each
// shard has a new planner, while the targets go on with what runs.
#ifndef FESCUEVANE_BENCH_ADVICE_CELL_HPP
#define FESCUEVANE_BENCH_ADVICE_CELL_HPP

#include "bench/advice_load.hpp"
#include "bench/modelled_run.hpp"
#include "bench/policy_service.hpp"
#include "bench/step_wait.hpp"
#include "core/core.hpp"
#include "core/job_progress.hpp"
#include "core/staged_job.hpp"
#include "core/table.hpp"
#include "plan/plan.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::bench
{

class advice_cell
{
public:
    advice_cell(advice_load const& load, plan::settings const& values);

    void step(); // one tick of all systems

    instant                now() const { return now_; }
    std::vector<step_wait> list_waits() const;

    std::uint64_t answered() const { return service_.answered(); }
    std::size_t   in_flight() const { return service_.in_flight(); }
    double        used_cpu() const; // share of the processors of all targets

private:
    struct shard_row
    {
        plan::planner_ptr planner_;        // null: no host owns it
        bool              needed_ = false; // has events to process
    };

    // A job of one step.
    struct job_row
    {
        std::shared_ptr<staged_job const> spec_;
        std::uint32_t                     shard_ = 0;
        std::int64_t                      run_micros_ = 0;
        instant                           accepted_at_;
        instant                           started_at_ = instant::never();
        bool                              stopped_ = false; // while it waited
        bool                              ended_ = false;
        job_progress                      progress_; // as stored
    };

    struct system_entry
    {
        void (advice_cell::*const run_)();
    };

    static std::span<system_entry const> list_systems();

    // Systems, in execution order
    void stop_hosts();
    void restart_hosts();
    void attach_targets();
    void submit_work();
    void deliver_answers();
    void end_runs();
    void report_runs();
    void run_planners();

    std::uint32_t draw(std::uint32_t bound);
    std::uint32_t draw_width();
    void          submit_job();
    void          post(std::uint32_t shard, plan::event input);
    void          start_planner(std::uint32_t shard, plan::target_phase phase);
    void          set_target(std::uint32_t shard, std::size_t target,
                             plan::target_phase phase);
    void          add_job(job_row const& job, bool recovered);
    void          report(run_key const& key, modelled_run const& run);
    std::uint32_t shard_of(run_key const& run) const;

    void obey(std::uint32_t shard, plan::start_run const& order);
    void obey(std::uint32_t shard, plan::stop_run const& order);
    void obey(std::uint32_t shard, plan::advice_request const& order);
    void obey(std::uint32_t shard, plan::job_changed const& order);
    template <typename Other>
    void obey(std::uint32_t /*shard*/, Other const& /*order*/)
    {
    }

    advice_load const                   load_;
    plan::settings const                settings_;
    std::mt19937_64                     random_; // of the workload only
    policy_service                      service_;
    instant                             now_;
    std::uint32_t                       incarnation_ = 0;
    bool                                attached_ = true;
    instant                             report_at_;
    double                              owed_jobs_ = 0;
    std::vector<shard_row>              shards_;
    std::vector<std::vector<target_id>> targets_; // by shard
    table<job_id, job_row>              jobs_;
    std::map<run_key, modelled_run>     runs_;
    std::multimap<instant, run_key>     ends_;
    std::vector<plan::run_ended>        unread_; // ends without an owner
};

} // namespace fescuevane::bench

#endif
