// Purpose: stack traces of fatal signals on standard error.
#ifndef FESCUEVANE_IO_FATAL_SIGNALS_HPP
#define FESCUEVANE_IO_FATAL_SIGNALS_HPP

namespace fescuevane::io
{

// From then on a fatal signal writes the stack of its thread to standard error
// before the process ends by it. Overflows of the stack are written only in the
// calling thread, which alone gets an alternate stack.
void write_stack_on_fatal_signals();

} // namespace fescuevane::io

#endif
