// Purpose: jobs of the measures.
#include "bench/workload.hpp"

namespace fescuevane::bench
{

workload::workload(std::uint64_t seed, std::uint32_t teams)
    : random_(seed), teams_(teams)
{
}

std::uint32_t workload::draw(std::uint32_t bound)
{
    return static_cast<std::uint32_t>(random_() % bound);
}

team_id workload::next_team()
{
    return name_team(static_cast<std::uint32_t>(next_job_ % teams_));
}

job_spec workload::make_job(team_id const& team, work_kind kind,
                            std::uint32_t tasks, resources const& demand,
                            std::int64_t run_micros, instant deadline)
{
    std::uint64_t const number = next_job_++;
    std::string const   digits = std::to_string(number);
    // As long as the ids that the entry makes, so that memory, hashing and
    // messages cost what they do there.
    std::string const id =
        "domain-8.0~" + std::string(22 - digits.size(), '0') + digits;
    return {.key_ = {team, job_id(id)},
            .service_ = service_id("class-" + std::to_string(number % 8)),
            .kind_ = kind,
            .task_count_ = tasks,
            .demand_ = demand,
            .start_deadline_ = deadline,
            .declared_run_micros_ = run_micros};
}

team_id name_team(std::uint32_t index)
{
    return team_id("team-" + std::to_string(index));
}

} // namespace fescuevane::bench
