// Purpose: a spare, see claim.txt.
#include "../../common/rig.hh"

#include <iostream>

using namespace fescuevane::review;

int main(int, char** argv)
try
{
    constexpr int          targets = 12;
    constexpr std::int64_t crash_ms = 1'000; // down for this long
    constexpr int          crashes = 8;
    rig                    cell({.case_folder_ = argv[1], .targets_ = targets});
    cell.start();
    std::vector<std::string> ids;
    auto const               send_jobs = [&](std::int64_t ms)
    {
        std::int64_t const end = cell.now() + ms * 1000;
        while (cell.now() < end)
        {
            std::string const id = cell.new_id();
            ids.push_back(id);
            json step = make_step(12, 4'000, 1'000);
            step["requirements"] = "a";
            cell.submit(id, make_job(id, {step}));
            cell.run_for(100);
        }
    };
    send_jobs(4'000);
    for (int crash = 0; crash < crashes; ++crash)
    {
        if (has_trouble())
        {
            cell.fault_target(crash, "crash", crash_ms, true);
        }
        // Not in step with the heartbeats of the workers.
        send_jobs(3'300 + 350 * crash);
    }
    cell.run_for(4'000);
    auto const             told = cell.read_told();
    constexpr std::int64_t in_flight = 50'000; // microseconds
    int                    starts = 0;
    int                    wrong = 0;
    int                    knowing = 0; // after the new life had told of itself
    for (auto const& [name, task] : cell.read_tasks())
    {
        for (std::size_t start = 0; start < task.targets_.size(); ++start)
        {
            ++starts;
            std::string const& target = task.targets_[start];
            int const life = std::stoi(target.substr(target.rfind('/') + 1));
            if (life % 2 == 0)
            {
                ++wrong;
                auto const first = told.find(target);
                bool const known =
                    first != told.end() &&
                    task.starts_[start] > first->second + in_flight;
                knowing += known ? 1 : 0;
                cell.note("ROUTE: task " + name + " requires the label a and " +
                          "starts at " + std::to_string(task.starts_[start]) +
                          " on " + target + ", which has the label b" +
                          (known ? " and told its new life at " +
                                       std::to_string(first->second)
                                 : ""));
            }
        }
    }
    std::string const verdict = "starts " + std::to_string(starts) +
                                ", on workers without the label " +
                                std::to_string(wrong) +
                                ", of these over 50 ms after the worker told "
                                "of its new life " +
                                std::to_string(knowing);
    cell.note(verdict);
    std::cout << verdict << std::endl;
    cell.finish();
    return starts == 0 ? 2 : wrong > 0 ? 1 : 0;
}
catch (std::exception const& error)
{
    std::cerr << error.what() << std::endl;
    return 2;
}
