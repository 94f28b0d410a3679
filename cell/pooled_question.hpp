// Purpose: request to the policy service, as seen by the choice of the next one
// to send. Internal to the package.
#ifndef FESCUEVANE_CELL_POOLED_QUESTION_HPP
#define FESCUEVANE_CELL_POOLED_QUESTION_HPP

namespace fescuevane::cell
{

struct pooled_question
{
    bool const is_long_ = false;
    bool const sent_ = false;
    bool const overdue_ = false; // long, no short one is to pass it any more

    friend auto operator<=>(pooled_question const&,
                            pooled_question const&) = default;
};

} // namespace fescuevane::cell

#endif
