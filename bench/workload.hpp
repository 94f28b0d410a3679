// Purpose: jobs and fleets of the measures, drawn from a seed.
#ifndef FESCUEVANE_BENCH_WORKLOAD_HPP
#define FESCUEVANE_BENCH_WORKLOAD_HPP

#include "core/core.hpp"

#include <cstdint>
#include <random>
#include <string>

namespace fescuevane::bench
{

// A fleet of equal targets, 8 a rack.
struct fleet_size
{
    std::string const   name_;
    std::uint32_t const targets_ = 0;
    resources const     capacity_; // of one target
    std::uint32_t const slots_ = 8;
    std::uint32_t const teams_ = 6;

    friend bool operator==(fleet_size const&, fleet_size const&) = default;
};

class workload
{
public:
    workload(std::uint64_t seed, std::uint32_t teams);

    std::uint32_t draw(std::uint32_t bound); // 0 to bound - 1

    team_id next_team(); // in turn

    // The run time is the true one; the model of targets ends tasks after it.
    job_spec make_job(team_id const& team, work_kind kind, std::uint32_t tasks,
                      resources const& demand, std::int64_t run_micros,
                      instant deadline = instant::never());

private:
    std::mt19937_64     random_;
    std::uint32_t const teams_;
    std::uint64_t       next_job_ = 0;
};

team_id name_team(std::uint32_t index);

} // namespace fescuevane::bench

#endif
