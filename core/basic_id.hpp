// Purpose: string identifiers that can't be mixed up with one another.
#ifndef FESCUEVANE_CORE_BASIC_ID_HPP
#define FESCUEVANE_CORE_BASIC_ID_HPP

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace fescuevane
{

// Identifier of one kind of entity. `Tag` makes identifiers of different kinds
// different types. Immutable but for assignment as a whole.
template <typename Tag>
class basic_id
{
public:
    basic_id() = default;
    explicit basic_id(std::string value) : value_(std::move(value)) {}

    std::string const& str() const { return value_; }
    bool               empty() const { return value_.empty(); }

    friend auto operator<=>(basic_id const&, basic_id const&) = default;

private:
    std::string value_;
};

} // namespace fescuevane

template <typename Tag>
struct std::hash<fescuevane::basic_id<Tag>>
{
    std::size_t operator()(fescuevane::basic_id<Tag> const& id) const
    {
        return std::hash<std::string>{}(id.str());
    }
};

#endif
