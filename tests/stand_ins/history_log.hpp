// Purpose: appends histories to a file as JSON lines.
#ifndef FESCUEVANE_TESTS_STAND_INS_HISTORY_LOG_HPP
#define FESCUEVANE_TESTS_STAND_INS_HISTORY_LOG_HPP

#include <fstream>
#include <string>

namespace fescuevane::stand_ins
{

struct history_entry;

// Flushes each line, so that a killed process loses none. An empty path
// discards the history.
class history_log
{
public:
    explicit history_log(std::string const& path);

    void append(history_entry const& entry);

private:
    std::ofstream file_;
};

std::string format_history(history_entry const& entry); // one JSON object

} // namespace fescuevane::stand_ins

#endif
