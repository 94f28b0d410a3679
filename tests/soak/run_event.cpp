// Purpose: one line of the targets' history as JSON.
#include "tests/soak/run_event.hpp"

#include <nlohmann/json.hpp>
#include <algorithm>
#include <array>
#include <stdexcept>
#include <string_view>

namespace fescuevane::soak
{
namespace
{

// In the order of `run_event_kind`.
constexpr std::array<std::string_view, 4> kind_names = {"start", "end", "noted",
                                                        "lapse"};

run_event_kind decode_kind(std::string const& name)
{
    auto const found = std::find(kind_names.begin(), kind_names.end(), name);
    if (found == kind_names.end())
    {
        throw std::invalid_argument("unknown event " + name);
    }
    return static_cast<run_event_kind>(found - kind_names.begin());
}

} // namespace

std::string encode_run_event(run_event const& event)
{
    nlohmann::ordered_json row{
        {"t_us", event.time_},
        {"event", kind_names.at(static_cast<std::size_t>(event.kind_))},
        {"target", event.target_},
        {"domain", event.domain_}};
    if (!event.task_.job_.empty())
    {
        row["task"] = format_task_name(event.task_);
        row["run"] = event.run_;
    }
    row["fence"] = event.fence_;
    if (!event.reason_.empty())
    {
        row["reason"] = event.reason_;
    }
    if (event.kind_ == run_event_kind::start)
    {
        row["host"] = event.host_;
        row["organisation"] = event.organisation_;
        row["payload_job"] = event.payload_job_;
        row["cpu"] = event.demand_.cpu_millis();
        row["memory"] = event.demand_.memory_mib();
    }
    return row.dump();
}

run_event decode_run_event(std::string const& line)
{
    auto const        row = nlohmann::json::parse(line);
    std::string const task = row.value("task", "");
    return {.time_ = row.at("t_us").get<std::int64_t>(),
            .kind_ = decode_kind(row.at("event").get<std::string>()),
            .target_ = row.at("target").get<std::string>(),
            .domain_ = row.at("domain").get<std::string>(),
            .task_ = task.empty() ? task_name{} : parse_task_name(task),
            .run_ = row.value("run", std::int64_t{0}),
            .fence_ = row.value("fence", std::int64_t{0}),
            .host_ = row.value("host", ""),
            .reason_ = row.value("reason", ""),
            .organisation_ = row.value("organisation", ""),
            .payload_job_ = row.value("payload_job", ""),
            .demand_ = {row.value("cpu", std::int64_t{0}),
                        row.value("memory", std::int64_t{0}), 0}};
}

} // namespace fescuevane::soak
