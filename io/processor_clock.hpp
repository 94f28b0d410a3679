// Purpose: processor time of the calling thread and of the process.
#ifndef FESCUEVANE_IO_PROCESSOR_CLOCK_HPP
#define FESCUEVANE_IO_PROCESSOR_CLOCK_HPP

#include <cstdint>

namespace fescuevane::io
{

std::int64_t  read_thread_nanos();
std::int64_t  read_process_nanos();
std::uint64_t count_preemptions(); // of the calling thread

} // namespace fescuevane::io

#endif
