// Purpose: case 4, see claim.txt.
#include "../common/rig.hh"

#include <csignal>
#include <iostream>

using namespace fescuevane::review;

namespace
{

constexpr int          hosts = 6;
constexpr std::int64_t ms = 1'000;            // microseconds
constexpr std::int64_t grace = 6'000 * ms;    // `graceS`
constexpr std::int64_t slack = 200 * ms;      // `lossSlackMs`
constexpr std::int64_t deadline = 2'900 * ms; // of a client, with a margin
constexpr std::int64_t gap = 500 * ms;        // between two SIGTERMs
constexpr std::int64_t request_gap = 100 * ms;

struct host_state
{
    std::int64_t told_ = 0; // SIGTERM, 0: not yet
    std::int64_t ended_ = 0;
    bool         restarted_ = false;
};

struct request
{
    int          host_ = 0;
    std::int64_t sent_ = 0;
    std::int64_t ended_ = 0;
    unsigned     status_ = 0;
    std::int64_t told_ = 0; // of the host
};

} // namespace

int main(int, char** argv)
try
{
    rig cell({.case_folder_ = argv[1], .hosts_ = hosts});
    cell.start();
    std::vector<host_state>        states(hosts);
    std::map<std::string, request> requests; // by id of the job
    std::int64_t const             begun = cell.now();
    std::int64_t const             first = begun + 3'000 * ms;
    std::int64_t                   next_request = begun;
    int                            next_host = 0;
    while (cell.now() < begun + 25'000 * ms)
    {
        std::int64_t const now = cell.now();
        for (int host = 0; host < hosts; ++host)
        {
            host_state& state = states[static_cast<std::size_t>(host)];
            if (has_trouble() && state.told_ == 0 && now >= first + host * gap)
            {
                cell.term_host(host);
                state.told_ = now;
            }
            if (state.told_ != 0 && state.ended_ == 0)
            {
                if (!cell.is_running(host))
                {
                    cell.note("host-" + std::to_string(host + 1) +
                              " has ended");
                    state.ended_ = now;
                }
                else if (now > state.told_ + grace && !state.restarted_)
                {
                    cell.kill_host(host);
                    state.restarted_ = true; // is told only once
                }
            }
            if (state.ended_ != 0 && state.ended_ + 300 * ms < now &&
                !cell.is_running(host))
            {
                cell.start_host(host);
                state.ended_ = INT64_MAX / 2;
            }
        }
        // The platform's balancer uses all hosts while fewer than half are
        // ready.
        if (now >= next_request)
        {
            next_request = now + request_gap;
            int const host = next_host++ % hosts;
            if (cell.is_running(host))
            {
                std::string const id = cell.new_id();
                requests[id] = {
                    .host_ = host,
                    .sent_ = now,
                    .told_ = states[static_cast<std::size_t>(host)].told_};
                json const job = make_job(id, {make_step(2, 500, 300)});
                cell.call(
                    "POST", host, "/jobs/" + id, job.dump(),
                    [&cell, &requests, id](unsigned status, std::string const&)
                    {
                        requests[id].status_ = status;
                        requests[id].ended_ = cell.now();
                    });
            }
        }
        cell.run_for(10);
    }
    cell.run_for(3'500);
    int lost = 0;
    int answered = 0;
    for (auto const& [id, row] : requests)
    {
        std::int64_t const took = row.ended_ - row.sent_;
        answered += row.status_ != 0 ? 1 : 0;
        // Only of hosts that were told to stop before, in their grace time.
        if (row.status_ == 0 && row.ended_ != 0 && row.told_ != 0 &&
            row.sent_ > row.told_ &&
            row.ended_ <= row.told_ + grace + 1'000 * ms && took > slack &&
            took < deadline)
        {
            ++lost;
            cell.note("LOST: request " + id + " sent to host-" +
                      std::to_string(row.host_ + 1) + " " +
                      std::to_string((row.sent_ - row.told_) / ms) +
                      " ms after its SIGTERM, closed without an answer after " +
                      std::to_string(took / ms) + " ms");
        }
    }
    std::string const verdict = "requests " + std::to_string(requests.size()) +
                                ", answered " + std::to_string(answered) +
                                ", lost " + std::to_string(lost);
    cell.note(verdict);
    std::cout << verdict << std::endl;
    cell.finish();
    return answered == 0 ? 2 : lost > 0 ? 1 : 0;
}
catch (std::exception const& error)
{
    std::cerr << error.what() << std::endl;
    return 2;
}
