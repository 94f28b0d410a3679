// Purpose: the value types that all packages share, and the parts that tables
// are built of.
//
// Index of sections
//   1. Identifiers
//   2. Values
//   3. Parts of tables
//   4. Free functions
#ifndef FESCUEVANE_CORE_CORE_HPP
#define FESCUEVANE_CORE_CORE_HPP

// 1. Identifiers
#include "core/basic_id.hpp" // string identifier of one kind of entity
#include "core/ids.hpp"      // team_id, target_id, host_id, ...
#include "core/job_key.hpp"  // team and job id
#include "core/shard_id.hpp" // failure domain and index
#include "core/task_key.hpp" // job, task index, attempt

// 2. Values
#include "core/instant.hpp"      // point in time, microseconds
#include "core/job_result.hpp"   // what a caller gets back
#include "core/job_spec.hpp"     // what a caller asks for
#include "core/on_time_span.hpp" // since when a process has run on time
#include "core/resources.hpp"    // processors, memory, accelerators
#include "core/work_kind.hpp"    // work_kind, job_state, outcome

// 3. Parts of tables
#include "core/column.hpp"    // one field, a cell per row
#include "core/row_index.hpp" // key to row

// 4. Free functions
#include "core/hashing.hpp" // stable hashes
#include "core/names.hpp"   // enumerators to and from text

#endif
