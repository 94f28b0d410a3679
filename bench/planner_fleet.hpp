// Purpose: a planner over a model of targets, callers and policy service, that
// keeps the targets at a given load.
#ifndef FESCUEVANE_BENCH_PLANNER_FLEET_HPP
#define FESCUEVANE_BENCH_PLANNER_FLEET_HPP

#include "bench/modelled_run.hpp"
#include "bench/planner_sample.hpp"
#include "core/core.hpp"
#include "plan/plan.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::bench
{

class planner_fleet
{
public:
    planner_fleet(std::uint64_t seed, std::uint32_t targets);

    // Posts what is due, runs one tick and carries out its commands.
    planner_sample step(bool submitting);
    // Runs one tick without events; nothing is reported meanwhile.
    planner_sample step_idle();

    void summarize() const; // the queries of a heartbeat

    std::size_t  count_runs() const { return runs_.size(); }
    std::size_t  count_open_stages() const;
    std::size_t  count_jobs() const;
    std::int64_t count_waiting() const; // tasks that could start
    double       load() const;          // share of processors in use

    // Of all commands, in their order: equal for equal decisions.
    std::uint64_t checksum() const { return checksum_; }

private:
    struct action
    {
        void (planner_fleet::*const run_)(run_key const&);
        run_key const key_;
    };

    std::uint32_t  draw(std::uint32_t bound);
    void           set_queues();
    void           add_targets(std::uint32_t count);
    void           add_ended_jobs();
    void           submit(std::vector<step_spec> steps, char const* queue);
    void           submit_work();
    void           submit_services(std::uint32_t count);
    step_spec      make_step(std::uint32_t step, std::int64_t estimate_ms);
    planner_sample tick();

    void schedule(std::int64_t micros,
                  void (planner_fleet::*run)(run_key const&),
                  run_key const& key);
    void confirm(run_key const& key);
    void report(run_key const& key);
    void end(run_key const& key);
    void stop(run_key const& key);
    void answer(plan::advice_request const& question);

    void obey(plan::start_run const& order);
    void obey(plan::stop_run const& order);
    void obey(plan::pace_run const& order);
    void obey(plan::advice_request const& order);
    void obey(plan::job_changed const& order);
    void obey(plan::note const& order);
    void obey(plan::answer_offer const& order);
    void add_to_checksum(std::string const& text);

    std::mt19937_64                              random_;
    plan::planner_ptr                            planner_;
    instant                                      now_;
    std::int64_t                                 unix_ms_ = 0;
    std::uint64_t                                checksum_ = 0;
    std::uint64_t                                next_job_ = 0;
    double                                       owed_ = 0; // 1/1000 core ms
    resources                                    capacity_;
    std::vector<target_id>                       targets_;
    std::map<run_key, modelled_run>              runs_;
    std::multimap<instant, action>               actions_;
    std::multimap<instant, plan::advice_request> questions_;
    std::deque<std::pair<instant, job_id>>       ended_; // dropped when due
};

} // namespace fescuevane::bench

#endif
