// Purpose: jobs of the soak as JSON.
#include "tests/soak/job_codec.hpp"

#include "tests/soak/job_plan.hpp"

#include <nlohmann/json.hpp>

namespace fescuevane::soak
{
namespace
{

using nlohmann::json;

json encode_step(step_plan const& step)
{
    json row{{"count", step.count_},
             {"cpu", step.demand_.cpu_millis()},
             {"memMb", step.demand_.memory_mib()},
             {"estimateMs", step.work_ms_}};
    if (!step.after_.empty())
    {
        row["after"] = step.after_;
    }
    if (step.gang_)
    {
        row["gang"] = true;
    }
    if (step.perpetual_)
    {
        row["perpetual"] = true;
    }
    return row;
}

} // namespace

std::string encode_submission(job_plan const& plan)
{
    json steps = json::array();
    json payload_steps = json::array();
    for (step_plan const& step : plan.steps_)
    {
        steps.push_back(encode_step(step));
        payload_steps.push_back(encode_step(step));
        payload_steps.back()["fails"] = step.fails_;
    }
    json const payload{{"id", plan.id_},
                       {"organisation", plan.organisation_},
                       {"steps", std::move(payload_steps)}};
    return json{{"taskSpec", payload.dump()}, {"steps", std::move(steps)}}
        .dump();
}

job_plan decode_payload(std::string const& payload)
{
    json const             value = json::parse(payload);
    std::vector<step_plan> steps;
    for (json const& row : value.at("steps"))
    {
        steps.push_back({.count_ = row.at("count").get<int>(),
                         .demand_ = {row.at("cpu").get<std::int64_t>(),
                                     row.at("memMb").get<std::int64_t>(), 0},
                         .work_ms_ = row.at("estimateMs").get<std::int64_t>(),
                         .after_ = row.value("after", std::vector<int>()),
                         .gang_ = row.value("gang", false),
                         .perpetual_ = row.value("perpetual", false),
                         .fails_ = row.at("fails").get<bool>()});
    }
    return {.id_ = value.at("id").get<std::string>(),
            .organisation_ = value.at("organisation").get<std::string>(),
            .steps_ = std::move(steps)};
}

} // namespace fescuevane::soak
