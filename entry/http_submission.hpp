// Purpose: body of a submission, decoded.
#ifndef FESCUEVANE_ENTRY_HTTP_SUBMISSION_HPP
#define FESCUEVANE_ENTRY_HTTP_SUBMISSION_HPP

#include "core/instant.hpp"
#include "core/job_spec.hpp"

namespace fescuevane::entry
{

struct http_submission
{
    job_spec const spec_;
    instant const  wait_deadline_;

    friend bool operator==(http_submission const&,
                           http_submission const&) = default;
};

} // namespace fescuevane::entry

#endif
