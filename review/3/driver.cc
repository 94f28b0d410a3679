// Purpose: case 3, see claim.txt.
#include "../common/rig.hh"

#include <iostream>

using namespace fescuevane::review;

namespace
{

constexpr int max_attempts = 3; // of the route
constexpr int jobs = 60;
constexpr int hosts = 6;
constexpr int failing_share = 4; // one job in so many has tasks that fail

// The most failed attempts of any task of the job.
std::size_t count_failures(std::map<std::string, task_history> const& tasks,
                           std::string const&                         id)
{
    std::size_t most = 0;
    for (auto const& [name, task] : tasks)
    {
        if (name.starts_with(id + "."))
        {
            most = std::max(most, task.failed_.size());
        }
    }
    return most;
}

} // namespace

int main(int, char** argv)
try
{
    rig cell({.case_folder_ = argv[1], .hosts_ = hosts});
    cell.start();
    cell.put_config({"/jobs/", "/other/"}, max_attempts);
    cell.run_for(3'000);
    std::vector<std::string> ids;
    for (int number = 0; number < jobs; ++number)
    {
        std::string const id = cell.new_id();
        ids.push_back(id);
        // The task of the second step fails in its first attempt.
        json last = make_step(1, 500, 500, {0});
        last["failsOnce"] = number % failing_share == 0;
        cell.submit(id, make_job(id, {make_step(1, 500, 48'000), last}));
        cell.run_for(50);
    }
    cell.run_for(2'000);
    // The operator removes the route and, later, adds it again.
    if (has_trouble())
    {
        cell.put_config({"/other/"}, max_attempts);
    }
    cell.run_for(3'000);
    for (int host = 0; host < hosts; ++host)
    {
        cell.term_host(host);
        cell.run_until(
            [&]
            {
                return !cell.is_running(host);
            },
            7'000);
        cell.start_host(host);
        cell.run_for(1'000);
    }
    cell.run_for(16'000);
    if (has_trouble())
    {
        cell.put_config({"/jobs/", "/other/"}, max_attempts);
    }
    cell.run_for(5'000);
    for (std::string const& id : ids)
    {
        cell.look_up(id);
    }
    cell.await_look_ups();
    auto const                 tasks = cell.read_tasks();
    std::map<std::string, int> states;
    int                        lost = 0;
    int                        failures = 0;
    for (std::string const& id : ids)
    {
        client_job const& job = cell.jobs_.at(id);
        if (!job.accepted_)
        {
            continue;
        }
        ++states[job.last_status_ == 200 ? job.state_
                                         : std::to_string(job.last_status_)];
        std::size_t const failed = count_failures(tasks, id);
        failures += failed > 0 ? 1 : 0;
        if (job.state_ == "failed" && failed < max_attempts)
        {
            ++lost;
            cell.note("LOST: job " + id + " is shown as failed, no task has " +
                      "more than " + std::to_string(failed) +
                      " failed attempts of " + std::to_string(max_attempts));
        }
    }
    std::string verdict = "jobs with a failed attempt " +
                          std::to_string(failures) + ", lost " +
                          std::to_string(lost) + ", states:";
    for (auto const& [state, count] : states)
    {
        verdict += " " + state + " " + std::to_string(count);
    }
    cell.note(verdict);
    std::cout << verdict << std::endl;
    cell.finish();
    return failures == 0 ? 2 : lost > 0 ? 1 : 0;
}
catch (std::exception const& error)
{
    std::cerr << error.what() << std::endl;
    return 2;
}
