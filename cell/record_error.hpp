// Purpose: error of this layer: a stored row is malformed.
#ifndef FESCUEVANE_CELL_RECORD_ERROR_HPP
#define FESCUEVANE_CELL_RECORD_ERROR_HPP

#include <stdexcept>

namespace fescuevane::cell
{

class record_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace fescuevane::cell

#endif
