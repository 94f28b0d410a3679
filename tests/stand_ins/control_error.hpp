// Purpose: the error type of the control clients.
#ifndef FESCUEVANE_TESTS_STAND_INS_CONTROL_ERROR_HPP
#define FESCUEVANE_TESTS_STAND_INS_CONTROL_ERROR_HPP

#include <stdexcept>

namespace fescuevane::stand_ins
{

// A stand-in can't be reached or has refused a command.
class control_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace fescuevane::stand_ins

#endif
