// Purpose: text forms of enumerators and compound keys.
#include "core/names.hpp"

#include "core/job_key.hpp"
#include "core/task_key.hpp"

#include <array>
#include <charconv>
#include <cstddef>

namespace fescuevane
{
namespace
{

// Names in the order of the enumerators.
constexpr std::array<std::string_view, work_kind_count> work_kind_names = {
    "request", "service", "batch", "gang"};
constexpr std::array<std::string_view, 6> job_state_names = {
    "queued", "dispatched", "running", "answered", "not_run", "unknown"};
constexpr std::array<std::string_view, 3> outcome_names = {
    "succeeded", "failed", "canceled"};

template <typename Enum, std::size_t Size>
std::optional<Enum> find_name(std::array<std::string_view, Size> const& names,
                              std::string_view                          text)
{
    for (std::size_t i = 0; i < Size; ++i)
    {
        if (names[i] == text)
        {
            return static_cast<Enum>(i);
        }
    }
    return std::nullopt;
}

} // namespace

std::string_view format_name(work_kind kind)
{
    return work_kind_names.at(static_cast<std::size_t>(kind));
}

std::string_view format_name(job_state state)
{
    return job_state_names.at(static_cast<std::size_t>(state));
}

std::string_view format_name(outcome result)
{
    return outcome_names.at(static_cast<std::size_t>(result));
}

std::string format_key(shard_id const& shard)
{
    return shard.domain_.str() + "." + std::to_string(shard.index_);
}

std::string format_key(job_key const& job)
{
    return job.team_.str() + "/" + job.job_.str();
}

std::string format_key(task_key const& task)
{
    return format_key(task.job_) + "#" + std::to_string(task.index_) + "." +
           std::to_string(task.attempt_);
}

std::optional<work_kind> parse_work_kind(std::string_view text)
{
    return find_name<work_kind>(work_kind_names, text);
}

std::optional<job_state> parse_job_state(std::string_view text)
{
    return find_name<job_state>(job_state_names, text);
}

std::optional<outcome> parse_outcome(std::string_view text)
{
    return find_name<outcome>(outcome_names, text);
}

std::optional<shard_id> parse_shard_id(std::string_view text)
{
    std::size_t const dot = text.rfind('.');
    if (dot == std::string_view::npos || dot == 0)
    {
        return std::nullopt;
    }
    std::string_view const digits = text.substr(dot + 1);
    std::uint32_t          index = 0;
    auto const [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), index);
    if (error != std::errc() || end != digits.data() + digits.size())
    {
        return std::nullopt;
    }
    return shard_id{domain_id(std::string(text.substr(0, dot))), index};
}

} // namespace fescuevane
