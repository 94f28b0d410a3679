// Purpose: rating of replies by tables of status, job state and ticket stage.
#include "ctl/exit_code.hpp"

#include "ctl/fields.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace fescuevane::ctl
{
namespace
{

struct status_rating
{
    unsigned  status_;
    exit_code code_;
};

constexpr std::array<status_rating, 11> status_ratings = {{
    {400, exit_code::rejected},
    {401, exit_code::rejected},
    {403, exit_code::rejected},
    {404, exit_code::rejected},
    {405, exit_code::rejected},
    {409, exit_code::conflict},
    {410, exit_code::not_run},
    {413, exit_code::rejected},
    {415, exit_code::rejected},
    {422, exit_code::rejected},
    {503, exit_code::not_run},
}};

struct name_rating
{
    std::string_view name_;
    exit_code        code_;
};

constexpr std::array<name_rating, 6> state_ratings = {{
    {"queued", exit_code::done},
    {"dispatched", exit_code::done},
    {"running", exit_code::done},
    {"answered", exit_code::done},
    {"not_run", exit_code::not_run},
    {"unknown", exit_code::unknown},
}};

constexpr std::array<name_rating, 5> stage_ratings = {{
    {"accepted", exit_code::done},
    {"committed", exit_code::no_reply},
    {"conflicting", exit_code::conflict},
    {"rejected", exit_code::rejected},
    {"unknown", exit_code::unknown},
}};

template <typename Table>
exit_code rate_name(Table const& table, std::string const& name,
                    unsigned status)
{
    auto const found = std::find_if(table.begin(), table.end(),
                                    [&](auto const& each)
                                    {
                                        return each.name_ == name;
                                    });
    return found == table.end() ? rate_status(status) : found->code_;
}

} // namespace

exit_code rate_status(unsigned status)
{
    if (status >= 200 && status < 300)
    {
        return exit_code::done;
    }
    auto const found =
        std::find_if(status_ratings.begin(), status_ratings.end(),
                     [&](status_rating const& each)
                     {
                         return each.status_ == status;
                     });
    // Other statuses come from proxies or faults and tell nothing about what
    // ran.
    return found == status_ratings.end() ? exit_code::unknown : found->code_;
}

exit_code rate_job(unsigned status, json const& job)
{
    std::string const state = read_text(job, "state");
    if (state == "not_run" && status == 409)
    {
        return exit_code::conflict;
    }
    if (state == "answered" && read_text(job, "outcome") != "succeeded")
    {
        return exit_code::failed;
    }
    return rate_name(state_ratings, state, status);
}

exit_code rate_cancel(unsigned status, json const& job)
{
    std::string const state = read_text(job, "state");
    if (state == "answered")
    {
        return read_text(job, "outcome") == "canceled" ? exit_code::done
                                                       : exit_code::failed;
    }
    return state == "not_run" ? exit_code::done : rate_job(status, job);
}

exit_code rate_ticket(unsigned status, json const& ticket)
{
    return rate_name(stage_ratings, read_text(ticket, "stage"), status);
}

} // namespace fescuevane::ctl
