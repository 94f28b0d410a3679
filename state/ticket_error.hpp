// Purpose: error: a ticket is malformed or out of bounds.
#ifndef FESCUEVANE_STATE_TICKET_ERROR_HPP
#define FESCUEVANE_STATE_TICKET_ERROR_HPP

#include <stdexcept>

namespace fescuevane::state
{

class ticket_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace fescuevane::state

#endif
