// Purpose: processor time of the calling thread and of the process.
#include "io/processor_clock.hpp"

#include <sys/resource.h>
#include <ctime>

namespace fescuevane::io
{
namespace
{

std::int64_t read_nanos(clockid_t clock)
{
    constexpr std::int64_t nanos_per_second = 1'000'000'000;
    timespec               time = {};
    clock_gettime(clock, &time);
    return time.tv_sec * nanos_per_second + time.tv_nsec;
}

} // namespace

std::int64_t read_thread_nanos()
{
    return read_nanos(CLOCK_THREAD_CPUTIME_ID);
}

std::int64_t read_process_nanos()
{
    return read_nanos(CLOCK_PROCESS_CPUTIME_ID);
}

std::uint64_t count_preemptions()
{
    rusage usage = {};
    getrusage(RUSAGE_THREAD, &usage);
    return static_cast<std::uint64_t>(usage.ru_nivcsw);
}

} // namespace fescuevane::io
