// Purpose: error of this layer: a message of another host can't be read.
#ifndef FESCUEVANE_PEER_PEER_ERROR_HPP
#define FESCUEVANE_PEER_PEER_ERROR_HPP

#include <stdexcept>

namespace fescuevane::peer
{

class peer_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace fescuevane::peer

#endif
