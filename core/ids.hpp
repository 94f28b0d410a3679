// Purpose: the identifier types of all entities.
#ifndef FESCUEVANE_CORE_IDS_HPP
#define FESCUEVANE_CORE_IDS_HPP

#include "core/basic_id.hpp"

#include <cstdint>

namespace fescuevane
{

using team_id = basic_id<struct team_tag>; // a customer's team
using job_id = basic_id<struct job_tag>;   // unique within a team
using organisation_id = basic_id<struct organisation_tag>; // a customer
using queue_id = basic_id<struct queue_tag>; // where staged jobs are submitted
using service_id = basic_id<struct service_tag>; // class of work, queue name
using target_id = basic_id<struct target_tag>;   // a worker that runs tasks
using rack_id = basic_id<struct rack_tag>;       // targets that fail together
using host_id = basic_id<struct host_tag>;       // a host of an entry process
using domain_id = basic_id<struct domain_tag>;   // a failure domain

using epoch = std::uint64_t;         // ownership term of a shard, from 1
using ticket_number = std::uint64_t; // from 1, 0: no ticket
using revision = std::uint64_t;      // version of a platform table row, from 1

} // namespace fescuevane

#endif
