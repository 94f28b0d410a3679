// Purpose: error: a link of the process can't be set up.
#ifndef FESCUEVANE_ENTRY_LINK_ERROR_HPP
#define FESCUEVANE_ENTRY_LINK_ERROR_HPP

#include <stdexcept>

namespace fescuevane::entry
{

class link_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace fescuevane::entry

#endif
