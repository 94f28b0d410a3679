// Purpose: a decoded reply of the API.
#ifndef FESCUEVANE_CTL_API_REPLY_HPP
#define FESCUEVANE_CTL_API_REPLY_HPP

#include "ctl/json.hpp"

namespace fescuevane::ctl
{

struct api_reply
{
    unsigned const status_ = 0;
    json const     body_;

    friend bool operator==(api_reply const&, api_reply const&) = default;
};

} // namespace fescuevane::ctl

#endif
