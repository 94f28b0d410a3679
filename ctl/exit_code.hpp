// Purpose: exit codes, and how replies map to them.
#ifndef FESCUEVANE_CTL_EXIT_CODE_HPP
#define FESCUEVANE_CTL_EXIT_CODE_HPP

#include "ctl/json.hpp"

namespace fescuevane::ctl
{

enum class exit_code
{
    done = 0,     // the call did what was asked
    failed = 1,   // answered, but failed or canceled
    usage = 2,    // wrong arguments or settings
    not_run = 3,  // refused, nothing ran
    unknown = 4,  // the outcome can't be told
    no_reply = 5, // no connection, or no end within the timeout
    rejected = 6, // key, permission or content not accepted
    conflict = 7  // id or ticket number in use with other content
};

// Rates a reply that carries no job or ticket stage by its HTTP status.
exit_code rate_status(unsigned status);

// Rates a job as returned by the API; jobs that haven't ended count as done.
exit_code rate_job(unsigned status, json const& job);

// Rates the reply to a cancellation: done unless the job ended otherwise.
exit_code rate_cancel(unsigned status, json const& job);

// Rates the stage of a ticket; `committed` is `no_reply`, because the command
// stopped waiting for acceptance.
exit_code rate_ticket(unsigned status, json const& ticket);

} // namespace fescuevane::ctl

#endif
