// Purpose: the main loop's clock, and work handed to it by other threads.
#ifndef FESCUEVANE_IO_MAIN_LOOP_HPP
#define FESCUEVANE_IO_MAIN_LOOP_HPP

#include "core/instant.hpp"

#include <cstdint>
#include <functional>

namespace fescuevane::io
{

instant      read_clock();                                 // monotonic
std::int64_t read_unix_ms();                               // time of day
void         run_in_main_loop(std::function<void()> work); // from any thread

} // namespace fescuevane::io

#endif
