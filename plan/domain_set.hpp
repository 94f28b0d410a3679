// Purpose: event: operators took a failure domain out of service, or back.
#ifndef FESCUEVANE_PLAN_DOMAIN_SET_HPP
#define FESCUEVANE_PLAN_DOMAIN_SET_HPP

namespace fescuevane::plan
{

struct domain_set
{
    bool const in_service_ = true;

    friend bool operator==(domain_set const&, domain_set const&) = default;
};

} // namespace fescuevane::plan

#endif
