// Purpose: event: operators took a failure domain out of service, or back.
#ifndef FESCUEVANE_PLAN_DOMAIN_SERVICE_CHANGED_HPP
#define FESCUEVANE_PLAN_DOMAIN_SERVICE_CHANGED_HPP

namespace fescuevane::plan
{

struct domain_service_changed
{
    bool const in_service_ = true;

    friend bool operator==(domain_service_changed const&,
                           domain_service_changed const&) = default;
};

} // namespace fescuevane::plan

#endif
