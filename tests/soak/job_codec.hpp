// Purpose: jobs of the soak as JSON.
#ifndef FESCUEVANE_TESTS_SOAK_JOB_CODEC_HPP
#define FESCUEVANE_TESTS_SOAK_JOB_CODEC_HPP

#include <string>

namespace fescuevane::soak
{

struct job_plan;

// The body of a submission. Its payload carries the whole plan, because orders
// to targets name a task and carry nothing else of the job.
std::string encode_submission(job_plan const& plan);

// Throws nlohmann::json::exception when the payload isn't one of the soak.
job_plan decode_payload(std::string const& payload);

} // namespace fescuevane::soak

#endif
