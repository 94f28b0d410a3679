// Purpose: the JSON type of the command line; keeps the order of fields.
#ifndef FESCUEVANE_CTL_JSON_HPP
#define FESCUEVANE_CTL_JSON_HPP

#include <nlohmann/json.hpp>

namespace fescuevane::ctl
{

using json = nlohmann::ordered_json;

} // namespace fescuevane::ctl

#endif
