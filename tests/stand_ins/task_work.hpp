// Purpose: what a task of the target stand-in does, read from its payload.
#ifndef FESCUEVANE_TESTS_STAND_INS_TASK_WORK_HPP
#define FESCUEVANE_TESTS_STAND_INS_TASK_WORK_HPP

#include "core/job_spec.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace fescuevane::stand_ins
{

struct task_work
{
    std::int64_t const run_micros_ = 0;   // below 0: until it is stopped
    std::int64_t const answer_bytes_ = 0; // 0: the answer is `echo_`
    std::string const  fail_reason_;      // empty: the task succeeds
    std::string const  echo_;
    std::int64_t const use_cpu_millis_ = -1; // below 0: its reservation

    friend bool operator==(task_work const&, task_work const&) = default;
};

// An empty payload is an empty object. A payload that is no JSON object of the
// documented fields gives work that fails at once.
task_work parse_work(shared_bytes const& payload);

// The answer is `echo_` or, with a size, a line "<checksum> <size>" followed by
// that many bytes, which begin with `echo_`.
shared_bytes make_answer(task_work const& work);
bool         is_whole_answer(std::string_view answer); // of the second form

} // namespace fescuevane::stand_ins

#endif
