// Purpose: bodies of submits.
#include "ctl/job_body.hpp"

#include "ctl/ctl_error.hpp"
#include "ctl/json.hpp"
#include "ctl/options.hpp"
#include "ctl/read_file.hpp"

#include <array>
#include <optional>

namespace fescuevane::ctl
{
namespace
{

struct number_field
{
    char const*                 name_;
    std::optional<std::int64_t> options::*value_;
};

constexpr std::array<number_field, 7> number_fields = {{
    {"tasks", &options::tasks_},
    {"cpu_millis", &options::cpu_millis_},
    {"memory_mib", &options::memory_mib_},
    {"accelerators", &options::accelerators_},
    {"start_within_ms", &options::start_within_ms_},
    {"run_ms", &options::run_ms_},
    {"wait_ms", &options::wait_ms_},
}};

void set_payload(json& body, options const& values)
{
    std::string const payload = values.payload_file_.empty()
                                    ? values.payload_
                                    : read_file(values.payload_file_);
    if (!payload.empty())
    {
        body["payload"] = payload;
    }
}

} // namespace

std::string build_job_body(options const& values, std::string const& id)
{
    json body = {{"id", id}, {"service", values.service_}};
    if (!values.kind_.empty())
    {
        body["kind"] = values.kind_;
    }
    for (number_field const& field : number_fields)
    {
        if (auto const& value = values.*field.value_)
        {
            body[field.name_] = *value;
        }
    }
    body["idempotent"] = values.idempotent_;
    set_payload(body, values);
    try
    {
        return body.dump();
    }
    catch (json::type_error const&)
    {
        throw ctl_error(exit_code::usage, "the payload is not valid UTF-8");
    }
}

} // namespace fescuevane::ctl
