// Purpose: checked reading of the JSON of stored rows. Internal to the package.
#ifndef FESCUEVANE_CELL_ROW_JSON_HPP
#define FESCUEVANE_CELL_ROW_JSON_HPP

#include "cell/record_error.hpp"

#include <nlohmann/json.hpp>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::cell
{

// Runs `read` on the parsed text and converts exceptions of the JSON library to
// record_error.
template <typename Read>
auto parse_row(std::string const& text, Read read)
{
    try
    {
        return read(nlohmann::json::parse(text));
    }
    catch (nlohmann::json::exception const& error)
    {
        throw record_error(std::string("stored row: ") + error.what());
    }
}

// The conversions of the JSON library wrap numbers that don't fit.
template <typename Number>
Number read_number(nlohmann::json const& value)
{
    bool const whole = value.is_number_integer();
    bool const fits =
        whole && (value.is_number_unsigned()
                      ? std::in_range<Number>(value.get<std::uint64_t>())
                      : std::in_range<Number>(value.get<std::int64_t>()));
    if (!fits)
    {
        throw record_error("stored row: expected a whole number in range");
    }
    return value.get<Number>();
}

template <typename Number>
Number read_number(nlohmann::json const& row, char const* name)
{
    return read_number<Number>(row.at(name));
}

// Reads a quantity, time or duration, which is never negative.
inline std::int64_t read_amount(nlohmann::json const& value)
{
    auto const amount = read_number<std::int64_t>(value);
    if (amount < 0)
    {
        throw record_error("stored row: expected an amount of at least 0");
    }
    return amount;
}

inline std::int64_t read_amount(nlohmann::json const& row, char const* name)
{
    return read_amount(row.at(name));
}

// Reads a number that only increases. A row with the highest value would stay
// in force for good, so values that don't fit in a signed number are refused.
inline std::uint64_t read_monotonic(nlohmann::json const& row, char const* name)
{
    return static_cast<std::uint64_t>(read_amount(row, name));
}

inline std::uint32_t read_count(nlohmann::json const& row, char const* name,
                                std::uint32_t max)
{
    auto const value = read_number<std::uint32_t>(row.at(name));
    if (value > max)
    {
        throw record_error(std::string("stored row: ") + name + " above " +
                           std::to_string(max));
    }
    return value;
}

inline std::vector<std::uint32_t> read_numbers(nlohmann::json const& list)
{
    std::vector<std::uint32_t> numbers;
    for (nlohmann::json const& value : list)
    {
        numbers.push_back(read_number<std::uint32_t>(value));
    }
    return numbers;
}

} // namespace fescuevane::cell

#endif
