// Purpose: reads JSON objects strictly and names the place of an error.
// Internal to the package.
#ifndef FESCUEVANE_STATE_JSON_READER_HPP
#define FESCUEVANE_STATE_JSON_READER_HPP

#include <nlohmann/json.hpp>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace fescuevane::state
{

// Views one JSON value; `place_` is its path, such as "teams[2].share". All
// members throw `ticket_error` with the place and what was expected there.
class json_reader
{
public:
    json_reader(nlohmann::json const& value, std::string place)
        : value_(value), place_(std::move(place))
    {
    }

    [[noreturn]] void fail(std::string const& expected) const;

    void expect_object(std::initializer_list<std::string_view> fields) const;
    bool has(std::string_view field) const; // present and not null
    json_reader  at(std::string_view field) const;
    std::size_t  read_size() const; // of an array
    json_reader  at(std::size_t position) const;
    std::int64_t read_integer(std::int64_t least, std::int64_t most) const;
    bool         read_bool() const;
    std::string  read_text(std::size_t most_bytes) const;
    std::string  read_id() const; // [A-Za-z0-9_.-]{1,64}

private:
    nlohmann::json const& value_;
    std::string const     place_;
};

} // namespace fescuevane::state

#endif
