// Purpose: bodies of submits.
#ifndef FESCUEVANE_CTL_JOB_BODY_HPP
#define FESCUEVANE_CTL_JOB_BODY_HPP

#include <string>

namespace fescuevane::ctl
{

struct options;

// The body of `POST /v1/jobs` with the fields that the options set. Throws
// ctl_error (usage) when the payload can't be read or is not UTF-8.
std::string build_job_body(options const& values, std::string const& id);

} // namespace fescuevane::ctl

#endif
