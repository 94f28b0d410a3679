// Purpose: error of a stored row that can't be read.
#ifndef FESCUEVANE_STATE_ROW_ERROR_HPP
#define FESCUEVANE_STATE_ROW_ERROR_HPP

#include <stdexcept>

namespace fescuevane::state
{

class row_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace fescuevane::state

#endif
