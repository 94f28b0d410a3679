// Purpose: case 1, see claim.txt.
#include "../common/rig.hh"

#include <glib.h>
#include <iostream>

using namespace fescuevane::review;

namespace
{

constexpr std::int64_t traffic_ms = 30'000;
constexpr std::int64_t finish_ms = 14'000; // `finish_s`
constexpr std::int64_t second = 1'000'000;

// The job runs every minute for four weeks, two of which are over.
constexpr std::int64_t minute_ms = 60'000;
constexpr std::int64_t overdue = 14 * 24 * 60;

} // namespace

int main(int, char** argv)
try
{
    rig cell({.case_folder_ = argv[1]});
    cell.start();
    std::vector<std::string> ids;
    std::int64_t const       begun = cell.now();
    bool                     large = !has_trouble();
    while (cell.now() < begun + traffic_ms * 1000)
    {
        if (!large && cell.now() > begun + 5 * second)
        {
            large = true;
            std::string const id = cell.new_id();
            json              job = make_job(id, {make_step(1, 100, 100)});
            job["repeatCount"] = 2 * overdue;
            job["startAtMs"] = g_get_real_time() / 1000 - overdue * minute_ms;
            job["intervalMs"] = minute_ms;
            cell.submit(id, job);
            cell.note("the job with many occurrences is " + id);
        }
        std::string const id = cell.new_id();
        ids.push_back(id);
        cell.submit(id, make_job(id, {make_step(6, 500, 300),
                                      make_step(4, 500, 300, {0})}));
        cell.run_for(200);
    }
    cell.note("traffic ends");
    cell.run_for(finish_ms);
    for (std::string const& id : ids)
    {
        cell.look_up(id);
    }
    cell.await_look_ups();
    auto const                 tasks = cell.read_tasks();
    int                        accepted = 0;
    int                        lost = 0;
    std::map<std::string, int> states;
    for (std::string const& id : ids)
    {
        client_job const& job = cell.jobs_.at(id);
        if (!job.accepted_)
        {
            continue;
        }
        ++accepted;
        ++states[job.last_status_ == 200 ? job.state_
                                         : std::to_string(job.last_status_)];
        if (job.last_status_ != 200)
        {
            ++lost;
            cell.note("LOST: job " + id + " has status " +
                      std::to_string(job.last_status_));
        }
        else if (!tasks.contains(id + ".0.0.0"))
        {
            ++lost;
            cell.note("LOST: job " + id + " never started");
        }
    }
    std::string verdict = "accepted " + std::to_string(accepted) + " of " +
                          std::to_string(ids.size()) + ", lost " +
                          std::to_string(lost) + ", states:";
    for (auto const& [state, count] : states)
    {
        verdict += " " + state + " " + std::to_string(count);
    }
    cell.note(verdict);
    std::cout << verdict << std::endl;
    cell.finish();
    return accepted == 0 ? 2 : lost > 0 ? 1 : 0;
}
catch (std::exception const& error)
{
    std::cerr << error.what() << std::endl;
    return 2;
}
