// Purpose: commands on tickets, and those that file one for a failure domain.
//
// Index of sections
//   1. Filing
//   2. Commands on tickets
//   3. Commands on failure domains
#include "ctl/api_call.hpp"
#include "ctl/commands.hpp"
#include "ctl/context.hpp"
#include "ctl/domain_ticket.hpp"
#include "ctl/fields.hpp"
#include "ctl/options.hpp"
#include "ctl/printer.hpp"
#include "ctl/read_file.hpp"

#include <algorithm>
#include <ostream>

namespace fescuevane::ctl
{
namespace
{

// 1. Filing

// Short, so that a ticket that waits for a failure domain shows its progress.
constexpr std::int64_t progress_wait_ms = 1000;

http_request make_ticket_call(std::string const& path, json const& ticket,
                              bool repeatable)
{
    return {.method_ = "POST",
            .path_ = path,
            .body_ = ticket.dump(),
            .key_ = key_kind::operators,
            .repeatable_ = repeatable};
}

api_reply read_operator_page(context& context, std::string const& path)
{
    return call_api(context, {.path_ = path, .key_ = key_kind::operators});
}

std::string describe_progress(std::uint64_t number, json const& ticket)
{
    std::string text =
        "ticket " + std::to_string(number) + ": " + read_text(ticket, "stage");
    std::string separator = ", missing failure domains: ";
    for (std::string const& domain : read_texts(ticket, "missing"))
    {
        text += separator + domain;
        separator = ", ";
    }
    return text;
}

// Reads the ticket until it leaves the stage "committed" or the time is over.
// Prints the stage and the missing failure domains whenever they change.
api_reply follow_ticket(context& context, std::uint64_t number,
                        api_reply const& first)
{
    std::string const path = "/v1/tickets/" + std::to_string(number);
    std::string       printed;
    json              ticket = first.body_;
    unsigned          status = first.status_;
    for (;;)
    {
        std::string const progress = describe_progress(number, ticket);
        if (progress != printed)
        {
            context.errors_ << progress << std::endl;
            printed = progress;
        }
        if (read_text(ticket, "stage") != "committed" ||
            find_time_left(context) <= progress_wait_ms)
        {
            return {.status_ = status, .body_ = ticket};
        }
        pause_before_poll();
        api_reply const next = read_operator_page(context, path);
        ticket = next.body_;
        status = next.status_;
    }
}

// Filing isn't repeated at another server: the second attempt would conflict
// with the first one when only the reply was lost.
api_reply file_and_follow(context& context, json const& ticket)
{
    std::int64_t const wait = std::min(choose_wait(context), progress_wait_ms);
    api_reply const    reply = call_api(
           context, make_ticket_call("/v1/tickets?wait_ms=" + std::to_string(wait),
                                     ticket, false));
    return follow_ticket(context, read_number(ticket, "number"), reply);
}

exit_code report_ticket(context& context, json const& ticket,
                        api_reply const& reply)
{
    json summary = {{"number", read_number(ticket, "number")}};
    for (char const* const field : {"stage", "missing", "reason"})
    {
        if (reply.body_.contains(field))
        {
            summary[field] = reply.body_.at(field);
        }
    }
    context.printer_.print_record_(context.output_, summary);
    return rate_ticket(reply.status_, reply.body_);
}

} // namespace

// 2. Commands on tickets

exit_code file_ticket(context& context)
{
    json const ticket = read_json_file(context.options_.file_);
    return report_ticket(context, ticket, file_and_follow(context, ticket));
}

exit_code validate_ticket(context& context)
{
    json const      ticket = read_json_file(context.options_.file_);
    api_reply const reply = call_api(
        context, make_ticket_call("/v1/tickets/validate", ticket, true));
    context.printer_.print_record_(context.output_, reply.body_);
    return rate_status(reply.status_);
}

exit_code diff_ticket(context& context)
{
    json const      ticket = read_json_file(context.options_.file_);
    api_reply const reply =
        call_api(context, make_ticket_call("/v1/tickets/diff", ticket, true));
    context.printer_.print_rows_(context.output_, reply.body_, "changes");
    return rate_status(reply.status_);
}

exit_code show_ticket(context& context)
{
    std::string const number = std::to_string(context.options_.number_);
    api_reply const   reply =
        read_operator_page(context, "/v1/tickets/" + number);
    context.printer_.print_record_(context.output_, reply.body_);
    return rate_status(reply.status_);
}

exit_code show_config(context& context)
{
    api_reply const reply = read_operator_page(context, "/v1/config");
    context.printer_.print_record_(context.output_, reply.body_);
    return rate_status(reply.status_);
}

// 3. Commands on failure domains

namespace
{

// A conflict means that another operator filed this number, so the ticket is
// built again from the configuration that includes theirs.
exit_code change_domain(context& context, bool in_service)
{
    options const& values = context.options_;
    for (std::uint32_t attempt = 1;; ++attempt)
    {
        json const config = read_operator_page(context, "/v1/config").body_;
        json const ticket = build_domain_ticket(config, values.domain_,
                                                in_service, values.author_);
        api_reply const reply = file_and_follow(context, ticket);
        if (rate_ticket(reply.status_, reply.body_) != exit_code::conflict ||
            attempt >= values.attempts_)
        {
            return report_ticket(context, ticket, reply);
        }
        pause_before_poll();
    }
}

} // namespace

exit_code drain_domain(context& context)
{
    return change_domain(context, false);
}

exit_code return_domain(context& context)
{
    return change_domain(context, true);
}

} // namespace fescuevane::ctl
