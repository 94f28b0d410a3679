// Purpose: commands that read back lists of the API.
#include "ctl/api_call.hpp"
#include "ctl/commands.hpp"
#include "ctl/context.hpp"
#include "ctl/printer.hpp"

namespace fescuevane::ctl
{
namespace
{

api_reply read_page(context& context, std::string const& path)
{
    return call_api(context, {.path_ = path, .key_ = key_kind::any});
}

exit_code list_page(context& context, char const* list)
{
    api_reply const reply = read_page(context, std::string("/v1/") + list);
    context.printer_.print_rows_(context.output_, reply.body_, list);
    return rate_status(reply.status_);
}

} // namespace

exit_code list_teams(context& context)
{
    return list_page(context, "teams");
}

exit_code list_targets(context& context)
{
    return list_page(context, "targets");
}

exit_code list_shards(context& context)
{
    return list_page(context, "shards");
}

exit_code list_limits(context& context)
{
    return list_page(context, "limits");
}

exit_code show_info(context& context)
{
    api_reply const reply = read_page(context, "/v1/info");
    context.printer_.print_record_(context.output_, reply.body_);
    return rate_status(reply.status_);
}

} // namespace fescuevane::ctl
