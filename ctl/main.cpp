// Purpose: main function of fescuevanectl.
#include "ctl/ctl.hpp"

#include <iostream>

int main(int count, char** values)
{
    return fescuevane::ctl::run_program({values + 1, values + count}, std::cout,
                                        std::cerr);
}
