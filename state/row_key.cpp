// Purpose: keys of the rows in the platform's tables.
#include "state/row_key.hpp"

#include "core/job_key.hpp"

#include <charconv>

namespace fescuevane::state
{
namespace
{

std::string format_path(std::string_view prefix, shard_id const& shard)
{
    return std::string(prefix) + shard.domain_.str() + "/" +
           std::to_string(shard.index_);
}

} // namespace

std::string format_shard_key(shard_id const& shard)
{
    return format_path(shard_prefix, shard);
}

std::string format_ack_key(shard_id const& shard)
{
    return format_path(ack_prefix, shard);
}

std::string format_ticket_key(ticket_number number)
{
    return std::string(ticket_prefix) + std::to_string(number);
}

std::string format_allotment_key(team_id const& team)
{
    return std::string(allotment_prefix) + team.str();
}

std::string format_host_key(host_id const& host)
{
    return std::string(host_prefix) + host.str();
}

std::string format_journal_prefix(shard_id const& shard)
{
    return format_path("job/", shard) + "/";
}

// With the journal, so that one read tells a new owner both. Keys of jobs have
// one part more.
std::string format_grant_key(shard_id const& shard)
{
    return format_journal_prefix(shard) + "targets";
}

std::string format_job_key(shard_id const& shard, job_key const& job)
{
    return format_journal_prefix(shard) + job.team_.str() + "/" +
           job.job_.str();
}

std::optional<ticket_number> parse_number(std::string_view text)
{
    ticket_number number = 0;
    auto const [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
    {
        return std::nullopt;
    }
    return number;
}

std::optional<shard_id> parse_shard_suffix(std::string_view suffix)
{
    std::size_t const slash = suffix.rfind('/');
    if (slash == std::string_view::npos || slash == 0)
    {
        return std::nullopt;
    }
    auto const index = parse_number(suffix.substr(slash + 1));
    if (!index || *index > UINT32_MAX)
    {
        return std::nullopt;
    }
    return shard_id{domain_id(std::string(suffix.substr(0, slash))),
                    static_cast<std::uint32_t>(*index)};
}

} // namespace fescuevane::state
