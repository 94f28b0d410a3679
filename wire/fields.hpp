// Purpose: detail of the codecs: checks of single fields. Each check throws
// `decode_error` with the name of the field.
#ifndef FESCUEVANE_WIRE_FIELDS_HPP
#define FESCUEVANE_WIRE_FIELDS_HPP

#include "core/job_spec.hpp"
#include "wire/bounds.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace fescuevane::wire::detail
{

std::string join_field(char const* parent, char const* name); // "spec.team"

// 1 to `max_id_bytes` printable ASCII characters without '/', which separates
// the parts of a row key, '#' and quotes.
void check_id(std::string const& value, std::string const& field);
void check_text(std::string const& value, std::string const& field,
                std::size_t max_bytes);
void check_range(std::int64_t value, std::int64_t low, std::int64_t high,
                 std::string const& field);
void check_present(bool is_present, std::string const& field);
void check_enumerator(bool is_known, std::string const& field);

template <typename Id>
Id decode_id(std::string const& value, std::string const& field)
{
    check_id(value, field);
    return Id(value);
}

template <typename Id>
Id decode_optional_id(std::string const& value, std::string const& field)
{
    return value.empty() ? Id() : decode_id<Id>(value, field);
}

shared_bytes       decode_bytes(std::string const& value,
                                std::string const& field); // empty: null
std::string const& encode_bytes(shared_bytes const& value);

} // namespace fescuevane::wire::detail

#endif
