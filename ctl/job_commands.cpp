// Purpose: commands on jobs.
#include "core/names.hpp"
#include "ctl/api_call.hpp"
#include "ctl/commands.hpp"
#include "ctl/context.hpp"
#include "ctl/ctl_error.hpp"
#include "ctl/fields.hpp"
#include "ctl/job_body.hpp"
#include "ctl/options.hpp"
#include "ctl/printer.hpp"
#include "ctl/random_id.hpp"

namespace fescuevane::ctl
{
namespace
{

bool has_ended(api_reply const& reply)
{
    auto const state = parse_job_state(read_text(reply.body_, "state"));
    return !state || is_final(*state);
}

std::string make_job_path(std::string const& id)
{
    return "/v1/jobs/" + escape_path(id);
}

api_reply read_job(context& context, std::string const& id,
                   std::int64_t wait_ms)
{
    return call_api(context, {.path_ = make_job_path(id) +
                                       "?wait_ms=" + std::to_string(wait_ms)});
}

exit_code report_job(context& context, api_reply const& reply)
{
    context.printer_.print_record_(context.output_, reply.body_);
    return rate_job(reply.status_, reply.body_);
}

exit_code follow_job(context& context, std::string const& id)
{
    for (;;)
    {
        api_reply const reply = read_job(context, id, choose_wait(context));
        if (has_ended(reply))
        {
            return report_job(context, reply);
        }
        pause_before_poll();
        if (find_time_left(context) == 0)
        {
            report_job(context, reply);
            return exit_code::no_reply;
        }
    }
}

exit_code cancel_one(context& context, std::string const& id)
{
    api_reply const reply =
        call_api(context, {.method_ = "POST",
                           .path_ = make_job_path(id) + "/cancel",
                           .repeatable_ = false});
    context.printer_.print_record_(context.output_, reply.body_);
    return rate_cancel(reply.status_, reply.body_);
}

exit_code cancel_many(context& context)
{
    json const      body = {{"ids", context.options_.ids_}};
    api_reply const reply = call_api(context, {.method_ = "POST",
                                               .path_ = "/v1/jobs/cancel",
                                               .body_ = body.dump(),
                                               .repeatable_ = false});
    context.printer_.print_record_(context.output_, reply.body_);
    return rate_status(reply.status_);
}

exit_code submit_body(context& context, std::string const& id,
                      std::string const& body)
{
    api_reply const reply = call_api(
        context, {.method_ = "POST", .path_ = "/v1/jobs", .body_ = body});
    if (context.options_.wait_ && !has_ended(reply))
    {
        return follow_job(context, id);
    }
    return report_job(context, reply);
}

} // namespace

exit_code submit_job(context& context)
{
    options const&    values = context.options_;
    std::string const id =
        values.ids_.empty() ? make_job_id() : values.ids_.front();
    std::string const body = build_job_body(values, id);
    try
    {
        return submit_body(context, id, body);
    }
    catch (ctl_error const& error)
    {
        // The job may run although its reply is lost; its id, which may have
        // been made here, is the only way to look it up.
        throw ctl_error(error.code(),
                        std::string(error.what()) + "; job id " + id);
    }
}

exit_code wait_for_job(context& context)
{
    return follow_job(context, context.options_.ids_.front());
}

exit_code look_up_job(context& context)
{
    return report_job(context,
                      read_job(context, context.options_.ids_.front(), 0));
}

exit_code cancel_jobs(context& context)
{
    return context.options_.ids_.size() == 1
               ? cancel_one(context, context.options_.ids_.front())
               : cancel_many(context);
}

} // namespace fescuevane::ctl
