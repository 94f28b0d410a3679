// Purpose: run functions of the table of commands.
#ifndef FESCUEVANE_CTL_COMMANDS_HPP
#define FESCUEVANE_CTL_COMMANDS_HPP

#include "ctl/exit_code.hpp"

namespace fescuevane::ctl
{

struct context;

// Jobs
exit_code submit_job(context& context);
exit_code wait_for_job(context& context);
exit_code look_up_job(context& context);
exit_code cancel_jobs(context& context);
exit_code send_load(context& context);

// Tickets
exit_code file_ticket(context& context);
exit_code validate_ticket(context& context);
exit_code diff_ticket(context& context);
exit_code show_ticket(context& context);
exit_code drain_domain(context& context);
exit_code return_domain(context& context);

// Read back
exit_code show_config(context& context);
exit_code show_info(context& context);
exit_code list_teams(context& context);
exit_code list_targets(context& context);
exit_code list_shards(context& context);
exit_code list_limits(context& context);

// Settings
exit_code check_settings(context& context);

} // namespace fescuevane::ctl

#endif
